//! Follows which upstreams are registered.

use std::rc::Rc;

use dw_follow::follow;
use dw_follow::Follower;
use dw_follow::Pace;
use dw_port::Feed;
use dw_port::Registration;
use dw_port::TableVersion;

use crate::routes::longest_wait_ms;
use crate::shared::Shared;

struct Upstreams(Rc<Shared>);

impl Follower<Registration> for Upstreams {
    fn name(&self) -> &'static str {
        "registrations"
    }

    fn snapshot(&mut self, items: Vec<Registration>) {
        let mut all = Vec::new();
        for item in items {
            match item {
                Registration::Put(listed) => all.push(listed),
                Registration::Removed(_) => {}
                Registration::Unreadable(row) => log::debug!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "registration cannot be read and is ignored"
                ),
            }
        }
        let now = self.0.now();
        log::info!(upstreams = all.len(); "registrations are read");
        self.0.directory.borrow_mut().replace(all, now);
        self.0.listed.set(true);
        self.forget();
    }

    fn changes(&mut self, items: Vec<Registration>) {
        let now = self.0.now();
        for item in items {
            match item {
                Registration::Put(listed) => self.put(listed),
                Registration::Removed(upstream) => {
                    log::info!(upstream:%; "registration is removed");
                    self.0.directory.borrow_mut().remove(&upstream, now);
                }
                Registration::Unreadable(row) => log::debug!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "registration cannot be read and is ignored"
                ),
            }
        }
        self.forget();
    }

    fn read_up_to(&mut self, version: TableVersion) {
        self.0.listed_version.set(version.0);
    }

    fn lost(&mut self) {
        let now = self.0.now();
        self.0.directory.borrow_mut().table_lost(now);
    }

    fn answered(&mut self) {
        let now = self.0.now();
        self.0.directory.borrow_mut().table_answered(now);
    }
}

impl Upstreams {
    fn put(&self, listed: dw_member::Listed) {
        let mut directory = self.0.directory.borrow_mut();
        let known = directory.get(&listed.upstream).map(|entry| &entry.listed);
        let restarted = known.is_some_and(|known| known.born_ms != listed.born_ms);
        if known.is_none_or(|known| known.leaving != listed.leaving || restarted) {
            log::info!(
                upstream:% = listed.upstream, service:% = listed.service, addr:% = listed.addr,
                leaving = listed.leaving, restarted;
                "registration has changed"
            );
        }
        if restarted {
            self.0.place.borrow_mut().cache_lost(&listed.upstream);
        }
        directory.put(listed);
    }

    /// Drops what is kept for upstreams that are gone.
    fn forget(&self) {
        let directory = self.0.directory.borrow();
        let is_known = |id: &dw_base::UpstreamId| directory.get(id).is_some();
        self.0.place.borrow_mut().retain(is_known);
        self.0.weights.borrow_mut().retain(is_known);
        let mut view = self.0.view.borrow_mut();
        view.retain(|addr| directory.at(addr).is_some());
    }
}

/// Follows the registrations until the task is aborted.
pub(crate) async fn follow_registrations(shared: Rc<Shared>, feed: Box<dyn Feed<Registration>>) {
    let clock = shared.clock.clone();
    let pace = Pace {
        longest_wait_ms: longest_wait_ms(&shared),
        pause_ms: Pace::pause_within(shared.boot().bounds.leaving_ms),
    };
    follow(feed, Upstreams(shared), pace, clock).await;
}

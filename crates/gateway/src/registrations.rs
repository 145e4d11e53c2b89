//! Follows which upstreams are registered.

use std::rc::Rc;

use dw_follow::Follower;
use dw_follow::PollSettings;
use dw_member::RegisteredUpstream;
use dw_port::Feed;
use dw_port::Registration;
use dw_port::TableVersion;

use crate::gossip::tell_all;
use crate::shared::Shared;
use crate::tables::follow_table;
use crate::tables::Followed;

/// Takes in registrations.
struct Upstreams {
    shared: Rc<Shared>,
    /// Whether what was read since the last position concerns all routers.
    concerns_all: bool,
}

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
                Registration::InvalidRow(row) => log::debug!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "registration cannot be read and is ignored"
                ),
            }
        }
        let now = self.shared.now();
        log::info!(upstreams = all.len(); "registrations are read");
        self.shared.directory.borrow_mut().replace(all, now);
        self.shared.listed.set(true);
        self.forget();
    }

    fn changes(&mut self, items: Vec<Registration>) {
        let now = self.shared.now();
        for item in items {
            match item {
                Registration::Put(listed) => self.put(listed),
                Registration::Removed(upstream) => {
                    log::info!(upstream:%; "registration is removed");
                    self.concerns_all = true;
                    self.shared.directory.borrow_mut().remove(&upstream, now);
                }
                Registration::InvalidRow(row) => log::debug!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "registration cannot be read and is ignored"
                ),
            }
        }
        self.forget();
    }

    fn set_position(&mut self, version: TableVersion) {
        let now = self.shared.now();
        self.shared.listed_version.set(version.0);
        let mut tables = self.shared.tables.borrow_mut();
        tables.answered(Followed::Registrations, now);
        if std::mem::take(&mut self.concerns_all) {
            tables.registered(version);
            tell_all(&self.shared);
        }
    }

    fn unreachable(&mut self) {
        let now = self.shared.now();
        self.shared.directory.borrow_mut().table_unreachable(now);
    }

    fn reachable(&mut self) {
        let now = self.shared.now();
        self.shared.directory.borrow_mut().table_reachable(now);
    }
}

impl Upstreams {
    fn put(&mut self, listed: RegisteredUpstream) {
        self.concerns_all |= self.is_news_for_all(&listed);
        let mut directory = self.shared.directory.borrow_mut();
        let known = directory
            .get(&listed.upstream)
            .map(|entry| &entry.registration);
        let restarted = known.is_some_and(|known| known.started_ms != listed.started_ms);
        if known.is_none_or(|known| known.leaving != listed.leaving || restarted) {
            log::info!(
                upstream:% = listed.upstream, service:% = listed.service, addr:% = listed.addr,
                leaving = listed.leaving, restarted;
                "registration has changed"
            );
        }
        if restarted {
            self.shared.place.borrow_mut().clear_cache(&listed.upstream);
        }
        directory.put(listed);
    }

    /// Returns whether all routers should read a registration: its weights are told by its sidecar.
    fn is_news_for_all(&self, listed: &RegisteredUpstream) -> bool {
        let directory = self.shared.directory.borrow();
        let Some(known) = directory.get(&listed.upstream) else {
            return true;
        };
        let known = &known.registration;
        let same = known.leaving == listed.leaving
            && known.started_ms == listed.started_ms
            && known.addr == listed.addr
            && known.service == listed.service
            && known.slots == listed.slots;
        let view = self.shared.view.borrow();
        let is_told = view.engine(listed.addr, self.shared.now()).is_some();
        !same || (known.models != listed.models && !is_told)
    }

    /// Drops what is kept for upstreams that are gone.
    fn forget(&self) {
        let directory = self.shared.directory.borrow();
        let is_known = |id: &dw_base::UpstreamId| directory.get(id).is_some();
        self.shared.place.borrow_mut().retain(is_known);
        self.shared.weights.borrow_mut().retain(is_known);
        let mut view = self.shared.view.borrow_mut();
        view.retain(|addr| directory.at(addr).is_some());
    }
}

/// Follows the registrations until the task is aborted.
pub(crate) async fn follow_registrations(shared: Rc<Shared>, feed: Box<dyn Feed<Registration>>) {
    let pause_ms = PollSettings::pause_within(shared.boot().bounds.leaving_ms);
    let upstreams = Upstreams {
        shared: shared.clone(),
        concerns_all: true,
    };
    follow_table(shared, Followed::Registrations, feed, upstreams, pause_ms).await;
}

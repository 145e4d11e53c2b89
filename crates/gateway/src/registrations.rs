//! Follows the registrations of upstreams.

use std::rc::Rc;

use dw_fleet::FollowedTable;
use dw_follow::CallResult;
use dw_follow::Follower;
use dw_follow::PollSettings;
use dw_follow::TablePaths;
use dw_member::RegisteredUpstream;
use dw_port::Registration;
use dw_port::TableVersion;

use crate::gossip::request_announcement;
use crate::origins;
use crate::shared::Shared;
use crate::tables::follow_table;

/// Applies registrations to the directory of upstreams.
struct RegistrationFollower {
    shared: Rc<Shared>,
    /// Whether a change read since the last position must reach all routers.
    affects_all_routers: bool,
}

impl Follower<Registration> for RegistrationFollower {
    fn name(&self) -> &'static str {
        "registrations"
    }

    fn snapshot(&mut self, items: Vec<Registration>) {
        let mut all = Vec::new();
        for item in items {
            match item {
                Registration::Put(registration) => all.push(registration),
                Registration::Removed(_) => {}
                Registration::InvalidRow(row) => log::debug!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "ignoring invalid registration"
                ),
            }
        }
        let now = self.shared.now();
        log::info!(upstreams = all.len(); "read registrations");
        self.shared.directory.borrow_mut().replace(all, now);
        self.shared.registrations_read.set(true);
        self.remove_unregistered();
    }

    fn changes(&mut self, items: Vec<Registration>) {
        let now = self.shared.now();
        for item in items {
            match item {
                Registration::Put(registration) => self.put(registration),
                Registration::Removed(upstream) => {
                    log::info!(upstream:%; "registration removed");
                    self.affects_all_routers = true;
                    self.shared.directory.borrow_mut().remove(&upstream, now);
                }
                Registration::InvalidRow(row) => log::debug!(
                    key = row.key.as_str(), detail = row.detail.as_str();
                    "ignoring invalid registration"
                ),
            }
        }
        self.remove_unregistered();
    }

    fn called(&mut self, result: CallResult) {
        self.shared.metrics.record_table_call(result);
    }

    fn set_position(&mut self, version: TableVersion) {
        let now = self.shared.now();
        self.shared.registrations_version.set(version.0);
        let mut tables = self.shared.tables.borrow_mut();
        tables.record_answer(FollowedTable::Registrations, now);
        if std::mem::take(&mut self.affects_all_routers) {
            tables.set_registrations_position(version.0);
            request_announcement(&self.shared);
        }
    }

    /// What was registered since the copy is lost, and positions that others have announced count less
    /// than those of the new era.
    fn restored(&mut self) {
        self.affects_all_routers = true;
        let now = self.shared.now();
        self.shared.directory.borrow_mut().table_restored(now);
    }

    fn unreachable(&mut self) {
        let now = self.shared.now();
        self.shared.directory.borrow_mut().table_unreachable(now);
        let mut tables = self.shared.tables.borrow_mut();
        tables.record_failure(FollowedTable::Registrations, now);
        request_announcement(&self.shared);
    }

    fn reachable(&mut self) {
        let now = self.shared.now();
        self.shared.directory.borrow_mut().table_reachable(now);
    }
}

impl RegistrationFollower {
    fn put(&mut self, registration: RegisteredUpstream) {
        self.affects_all_routers |= self.must_reach_all_routers(&registration);
        let mut directory = self.shared.directory.borrow_mut();
        let known = directory
            .get(&registration.upstream)
            .map(|entry| &entry.registration);
        let restarted = known.is_some_and(|known| known.started_ms != registration.started_ms);
        if known.is_none_or(|known| known.leaving != registration.leaving || restarted) {
            log::info!(
                upstream:% = registration.upstream, service:% = registration.service,
                addr:% = registration.addr, leaving = registration.leaving, restarted;
                "registration changed"
            );
        }
        if restarted {
            self.shared
                .placement
                .borrow_mut()
                .clear_cache(&registration.upstream);
        }
        directory.put(registration);
    }

    /// Returns whether all routers should read a registration. A change of its models alone does
    /// not count if the upstream's sidecar announces its weights.
    fn must_reach_all_routers(&self, registration: &RegisteredUpstream) -> bool {
        let directory = self.shared.directory.borrow();
        let Some(known) = directory.get(&registration.upstream) else {
            return true;
        };
        let known = &known.registration;
        let is_unchanged = known.leaving == registration.leaving
            && known.started_ms == registration.started_ms
            && known.addr == registration.addr
            && known.service == registration.service
            && known.slots == registration.slots;
        let view = self.shared.view.borrow();
        let is_announced = view.engine(registration.addr, self.shared.now()).is_some();
        !is_unchanged || (known.models != registration.models && !is_announced)
    }

    /// Drops the state of upstreams that are no longer registered.
    fn remove_unregistered(&self) {
        let directory = self.shared.directory.borrow();
        let now = self.shared.now();
        origins::observe(&self.shared, &directory, now, now);
        self.shared.quotas.set_engines(&directory);
        let is_known = |id: &dw_base::UpstreamId| directory.get(id).is_some();
        self.shared.placement.borrow_mut().retain(is_known);
        self.shared.weights.borrow_mut().retain(is_known);
        let mut view = self.shared.view.borrow_mut();
        view.retain(|addr| directory.at(addr).is_some());
    }
}

/// Follows the registrations until the task is aborted.
pub(crate) async fn follow_registrations(shared: Rc<Shared>, paths: TablePaths<Registration>) {
    let pause_ms = PollSettings::pause_within(shared.boot().bounds.leaving_ms);
    let follower = RegistrationFollower {
        shared: shared.clone(),
        affects_all_routers: true,
    };
    follow_table(
        shared,
        FollowedTable::Registrations,
        paths,
        follower,
        pause_ms,
    )
    .await;
}

//! Registered upstreams that a router reaches directly.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::UpstreamId;

use crate::health::Health;
use crate::notices::Notice;
use crate::notices::Notices;
use crate::registered_upstream::RegisteredUpstream;
use crate::removals::Removals;

/// Time after an outage of the table, or after its store came back from a copy, in which upstreams may
/// register again.
const REREGISTRATION_MS: DurationMs = DurationMs(2_000);

/// One registered upstream.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Registration.
    pub registration: RegisteredUpstream,
    /// Health, from its answers and failures.
    pub health: Health,
    /// Leaving notice and pause from its answers.
    notice: Notice,
    /// When the registration was removed, if the upstream may still register again.
    lapsed_at: Option<TimeMs>,
    /// Whether another upstream has started at the same address since.
    displaced: bool,
    /// Whether its registration was removed before the store came back from a copy, and only the copy has
    /// brought it back.
    only_in_copy: bool,
}

impl Entry {
    /// Returns whether it takes no new work, according to its registration, a removal of it or its answers.
    pub fn is_leaving(&self) -> bool {
        self.registration.leaving || self.notice.leaving || self.only_in_copy
    }

    /// Returns whether a pause that it requested from this router has not ended yet.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.notice.paused_until
    }
}

/// Reachability of the table from this router.
#[derive(Clone, Copy, Debug, Default)]
struct TableState {
    unreachable_since: Option<TimeMs>,
    /// End of the time in which a removed or missing registration may belong to a live upstream.
    lapses_until: Option<TimeMs>,
    /// End of the time in which a registration that was removed before the store came back from a copy may be
    /// one of the copy alone.
    copied_until: Option<TimeMs>,
}

/// Registered upstreams with their health and notices.
#[derive(Clone, Debug)]
pub struct Directory {
    entries: BTreeMap<UpstreamId, Entry>,
    notices: Notices,
    removals: Removals,
    table: TableState,
    lapse_ms: DurationMs,
}

impl Directory {
    /// Creates an empty directory; registrations lapse after `lapse_ms` without a heartbeat.
    pub fn new(lapse_ms: DurationMs) -> Self {
        Directory {
            entries: BTreeMap::new(),
            notices: Notices::default(),
            removals: Removals::default(),
            table: TableState::default(),
            lapse_ms,
        }
    }

    /// Records that the table cannot be reached.
    pub fn table_unreachable(&mut self, now: TimeMs) {
        self.table.unreachable_since.get_or_insert(now);
    }

    /// Records that the table responds.
    ///
    /// Registrations of live upstreams can have lapsed only in an outage of at least `lapse_ms`.
    pub fn table_reachable(&mut self, now: TimeMs) {
        let Some(since) = self.table.unreachable_since.take() else {
            return;
        };
        if now.since(since) >= self.lapse_ms {
            self.table.lapses_until = Some(now + REREGISTRATION_MS);
        }
    }

    /// Records that the store of the table has come back from a copy.
    ///
    /// Upstreams that registered after the copy are missing until they register again, one that
    /// has announced since that it is leaving is read as not leaving, and one whose registration was removed
    /// since is registered until its heartbeats are missed.
    pub fn table_restored(&mut self, now: TimeMs) {
        self.table.lapses_until = Some(now + REREGISTRATION_MS);
        self.table.copied_until = Some(now + REREGISTRATION_MS + self.lapse_ms);
        for (id, entry) in &mut self.entries {
            if entry.registration.leaving && !entry.notice.leaving {
                entry.notice.leaving = true;
                let started_ms = entry.registration.started_ms;
                self.notices.set(id, started_ms, entry.notice, now);
            }
        }
    }

    /// Replaces all registrations; missing ones are handled as by [`Directory::remove`].
    pub fn replace(&mut self, all: Vec<RegisteredUpstream>, now: TimeMs) {
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !all.iter().any(|registration| registration.upstream == **id))
            .cloned()
            .collect();
        for registration in all {
            let is_copied = self.table.copied_until.is_some_and(|until| now < until);
            let was_removed = self
                .removals
                .contains(&registration.upstream, registration.started_ms);
            self.insert(registration, is_copied && was_removed);
        }
        for id in missing {
            self.remove_or_mark_lapsed(&id, now);
        }
        self.update_displaced();
    }

    /// Adds or updates one registration that its upstream has written.
    pub fn put(&mut self, registration: RegisteredUpstream) {
        self.removals
            .forget(&registration.upstream, registration.started_ms);
        self.insert(registration, false);
        self.update_displaced();
    }

    fn insert(&mut self, registration: RegisteredUpstream, only_in_copy: bool) {
        let id = registration.upstream.clone();
        let notice = self.notices.get(&id, registration.started_ms);
        match self.entries.get_mut(&id) {
            Some(entry) => {
                if entry.registration.started_ms != registration.started_ms
                    || entry.registration.addr != registration.addr
                {
                    entry.health = Health::default();
                }
                entry.registration = registration;
                entry.notice = notice;
                entry.lapsed_at = None;
                entry.only_in_copy = only_in_copy;
            }
            None => {
                let entry = Entry {
                    registration,
                    health: Health::default(),
                    notice,
                    lapsed_at: None,
                    displaced: false,
                    only_in_copy,
                };
                self.entries.insert(id, entry);
            }
        }
    }

    /// Removes a registration, or marks it as lapsed shortly after an outage of the table.
    pub fn remove(&mut self, id: &UpstreamId, now: TimeMs) {
        self.remove_or_mark_lapsed(id, now);
        self.update_displaced();
    }

    fn remove_or_mark_lapsed(&mut self, id: &UpstreamId, now: TimeMs) {
        if self.table.lapses_until.is_some_and(|until| now < until) {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.lapsed_at.get_or_insert(now);
            }
            return;
        }
        if let Some(entry) = self.entries.remove(id) {
            self.removals.record(id, entry.registration.started_ms, now);
        }
    }

    /// Records that an upstream announced in an answer that it is leaving; returns whether this was
    /// not known.
    pub fn mark_leaving(&mut self, id: &UpstreamId, now: TimeMs) -> bool {
        self.update_notice(id, now, |notice| {
            !std::mem::replace(&mut notice.leaving, true)
        })
    }

    /// Records that an upstream asked in an answer for no requests until a time.
    pub fn pause_until(&mut self, id: &UpstreamId, until: TimeMs, now: TimeMs) {
        self.update_notice(id, now, |notice| {
            notice.paused_until = notice.paused_until.max(until);
            true
        });
    }

    fn update_notice(
        &mut self,
        id: &UpstreamId,
        now: TimeMs,
        change: impl FnOnce(&mut Notice) -> bool,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let is_changed = change(&mut entry.notice);
        self.notices
            .set(id, entry.registration.started_ms, entry.notice, now);
        is_changed
    }

    /// Returns when the first upstream of a service takes requests again, if all upstreams that are
    /// not leaving are paused.
    pub fn paused_until(&self, service: &ServiceId, now: TimeMs) -> Option<TimeMs> {
        self.blocked_until(service, now, |_| None)
    }

    /// Returns when the first upstream of a service takes requests again, if all upstreams that are
    /// not leaving are paused, or take none until the time that `denied_until` returns.
    pub fn blocked_until(
        &self,
        service: &ServiceId,
        now: TimeMs,
        denied_until: impl Fn(&Entry) -> Option<TimeMs>,
    ) -> Option<TimeMs> {
        let end = |entry: &Entry| {
            let denied_until = denied_until(entry).unwrap_or_default();
            entry.notice.paused_until.max(denied_until)
        };
        let first = self.serving(service).map(end).min();
        first.filter(|first| now < *first)
    }

    /// Removes lapsed registrations that were not renewed in time after an outage of the table, and
    /// old notices.
    pub fn expire(&mut self, now: TimeMs) {
        let entries = &self.entries;
        self.notices.retain(|id| entries.contains_key(id), now);
        self.removals.expire(now);
        self.expire_copied(now);
        let Some(until) = self.table.lapses_until else {
            return;
        };
        if now >= until {
            self.table.lapses_until = None;
            let removals = &mut self.removals;
            self.entries.retain(|id, entry| {
                if entry.lapsed_at.is_some() {
                    removals.record(id, entry.registration.started_ms, now);
                }
                entry.lapsed_at.is_none()
            });
            self.update_displaced();
        }
    }

    /// Takes registrations that only a copy had brought back for those of live upstreams, once the heartbeats of
    /// others would have been missed.
    fn expire_copied(&mut self, now: TimeMs) {
        if self.table.copied_until.is_some_and(|until| now >= until) {
            self.table.copied_until = None;
            for entry in self.entries.values_mut() {
                entry.only_in_copy = false;
            }
        }
    }

    /// Marks registrations as displaced if a later upstream has started at the same address, which
    /// means that the earlier one has ended.
    ///
    /// Load pattern: all VMs lose power, and for some heartbeats each engine is registered twice.
    /// A request to the earlier registration is refused, and a router that has just started has a
    /// retry budget for a few requests only.
    fn update_displaced(&mut self) {
        let mut latest_starts: HashMap<SocketAddr, u64> = HashMap::new();
        for entry in self.entries.values() {
            let started_ms = latest_starts.entry(entry.registration.addr).or_default();
            *started_ms = entry.registration.started_ms.max(*started_ms);
        }
        for entry in self.entries.values_mut() {
            let latest_start_ms = latest_starts.get(&entry.registration.addr);
            entry.displaced = latest_start_ms
                .is_some_and(|started_ms| entry.registration.started_ms < *started_ms);
        }
    }

    /// Returns an upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns the health of an upstream, to record an answer or a failure.
    pub fn health(&mut self, id: &UpstreamId) -> Option<&mut Health> {
        self.entries.get_mut(id).map(|entry| &mut entry.health)
    }

    /// Returns all upstreams, except those displaced by a later one at the same address.
    pub fn all(&self) -> impl Iterator<Item = &Entry> + Clone {
        self.entries.values().filter(|entry| !entry.displaced)
    }

    /// Returns the model engines among [`Directory::all`].
    pub fn engines(&self) -> impl Iterator<Item = &Entry> + Clone {
        self.all()
            .filter(|entry| !entry.registration.models.is_empty())
    }

    /// Returns the upstream at an address.
    pub fn at(&self, addr: &SocketAddr) -> Option<&Entry> {
        self.all().find(|entry| entry.registration.addr == *addr)
    }

    /// Returns the upstreams of a service that receive new work.
    pub fn serving<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Entry> {
        let serves = move |entry: &&Entry| entry.registration.service == *service;
        self.all()
            .filter(serves)
            .filter(|entry| !entry.is_leaving())
    }
}

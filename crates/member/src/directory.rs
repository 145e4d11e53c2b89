//! Upstreams as a router that reaches them directly sees them.

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

/// Time after the return of the table in which registrations that lapsed may come back.
const RETURN_MS: DurationMs = DurationMs(2_000);

/// One registered upstream.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Registration.
    pub registration: RegisteredUpstream,
    /// What its answers and failures say.
    pub health: Health,
    /// What it has said of itself in its answers.
    notice: Notice,
    /// When the registration was removed, if it may still come back.
    lapsed: Option<TimeMs>,
    /// Whether another upstream has started at its address since.
    displaced: bool,
}

impl Entry {
    /// Returns whether it takes no new work, by its registration or because it has said so.
    pub fn is_leaving(&self) -> bool {
        self.registration.leaving || self.notice.leaving
    }

    /// Returns whether it has asked this router for a pause that has not ended yet.
    pub fn is_paused(&self, now: TimeMs) -> bool {
        now < self.notice.paused_until
    }
}

/// The table as this router sees it.
#[derive(Clone, Copy, Debug, Default)]
struct TableState {
    lost: Option<TimeMs>,
    /// Until when a removal may be the lapse of a live upstream.
    lapses_until: Option<TimeMs>,
}

/// Registered upstreams, with what is known of each.
#[derive(Clone, Debug)]
pub struct Directory {
    entries: BTreeMap<UpstreamId, Entry>,
    notices: Notices,
    table: TableState,
    lapse_ms: DurationMs,
}

impl Directory {
    /// Creates an empty directory; registrations lapse after `lapse_ms` without a heartbeat.
    pub fn new(lapse_ms: DurationMs) -> Self {
        Directory {
            entries: BTreeMap::new(),
            notices: Notices::default(),
            table: TableState::default(),
            lapse_ms,
        }
    }

    /// Learns that the table cannot be reached.
    pub fn table_unreachable(&mut self, now: TimeMs) {
        self.table.lost.get_or_insert(now);
    }

    /// Learns that the table answers.
    ///
    /// Only an outage as long as the life of a registration can have made live ones lapse.
    pub fn table_reachable(&mut self, now: TimeMs) {
        let Some(lost) = self.table.lost.take() else {
            return;
        };
        if now.since(lost) >= self.lapse_ms {
            self.table.lapses_until = Some(now + RETURN_MS);
        }
    }

    /// Takes over all registrations.
    pub fn replace(&mut self, all: Vec<RegisteredUpstream>, now: TimeMs) {
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !all.iter().any(|listed| listed.upstream == **id))
            .cloned()
            .collect();
        for listed in all {
            self.insert(listed);
        }
        for id in missing {
            self.drop_or_lapse(&id, now);
        }
        self.find_displaced();
    }

    /// Takes over one registration.
    pub fn put(&mut self, registration: RegisteredUpstream) {
        self.insert(registration);
        self.find_displaced();
    }

    fn insert(&mut self, registration: RegisteredUpstream) {
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
                entry.lapsed = None;
            }
            None => {
                let entry = Entry {
                    registration,
                    health: Health::default(),
                    notice,
                    lapsed: None,
                    displaced: false,
                };
                self.entries.insert(id, entry);
            }
        }
    }

    /// Learns that a registration was removed.
    pub fn remove(&mut self, id: &UpstreamId, now: TimeMs) {
        self.drop_or_lapse(id, now);
        self.find_displaced();
    }

    fn drop_or_lapse(&mut self, id: &UpstreamId, now: TimeMs) {
        if self.table.lapses_until.is_some_and(|until| now < until) {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.lapsed.get_or_insert(now);
            }
            return;
        }
        self.entries.remove(id);
    }

    /// Learns from an answer of an upstream that it leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, id: &UpstreamId, now: TimeMs) -> bool {
        self.notice(id, now, |notice| {
            !std::mem::replace(&mut notice.leaving, true)
        })
    }

    /// Learns from an answer of an upstream that it wants no requests until a time.
    pub fn pause_until(&mut self, id: &UpstreamId, until: TimeMs, now: TimeMs) {
        self.notice(id, now, |notice| {
            notice.paused_until = notice.paused_until.max(until);
            true
        });
    }

    fn notice(
        &mut self,
        id: &UpstreamId,
        now: TimeMs,
        change: impl FnOnce(&mut Notice) -> bool,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let is_news = change(&mut entry.notice);
        self.notices
            .set(id, entry.registration.started_ms, entry.notice, now);
        is_news
    }

    /// Returns when the first upstream of a service takes requests again, if all that are not
    /// leaving have asked for a pause.
    pub fn paused_until(&self, service: &ServiceId, now: TimeMs) -> Option<TimeMs> {
        let ends = || self.serving(service).map(|entry| entry.notice.paused_until);
        ends().min().filter(|first| now < *first)
    }

    /// Drops the registrations that did not come back after an outage of the table.
    pub fn expire(&mut self, now: TimeMs) {
        let entries = &self.entries;
        self.notices.retain(|id| entries.contains_key(id), now);
        let Some(until) = self.table.lapses_until else {
            return;
        };
        if now >= until {
            self.table.lapses_until = None;
            self.entries.retain(|_, entry| entry.lapsed.is_none());
            self.find_displaced();
        }
    }

    /// Finds registrations of upstreams that have ended because others started at their address.
    ///
    /// Load pattern: all VMs lose power, and for some heartbeats each engine is registered twice.
    /// A request to the earlier registration is refused, and a router that has just started has
    /// repeats for a few only.
    fn find_displaced(&mut self) {
        let mut youngest: HashMap<SocketAddr, u64> = HashMap::new();
        for entry in self.entries.values() {
            let started_ms = youngest.entry(entry.registration.addr).or_default();
            *started_ms = entry.registration.started_ms.max(*started_ms);
        }
        for entry in self.entries.values_mut() {
            let youngest_ms = youngest.get(&entry.registration.addr);
            entry.displaced =
                youngest_ms.is_some_and(|started_ms| entry.registration.started_ms < *started_ms);
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

    /// Returns all upstreams but those whose address a younger one has.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| !entry.displaced)
    }

    /// Returns the model engines among them.
    pub fn engines(&self) -> impl Iterator<Item = &Entry> {
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

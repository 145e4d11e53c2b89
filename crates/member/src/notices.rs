//! Leaving notices and pauses that upstreams announced in their answers.
//!
//! Load pattern: a burst fills many upstreams at once, each of them rejects requests and asks for a
//! pause, and all routers see the pauses end at the same time. Also, an upstream leaves while the
//! table is unavailable and cannot show it. A notice outlives the registration, which may lapse and
//! be renewed.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;

/// Time after which the notice of an upstream that is not registered is removed.
const RETENTION_MS: DurationMs = DurationMs(600_000);

/// Leaving notice and pause that an upstream has announced since one of its starts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// End of the pause that it requested from this router.
    pub paused_until: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct StoredNotice {
    notice: Notice,
    updated_at: TimeMs,
}

/// Notices by upstream and start time: a restart begins without one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices(HashMap<(UpstreamId, u64), StoredNotice>);

impl Notices {
    /// Returns the notice of one start of an upstream.
    pub(crate) fn get(&self, id: &UpstreamId, started_ms: u64) -> Notice {
        let stored = self.0.get(&(id.clone(), started_ms));
        stored.map_or(Notice::default(), |stored| stored.notice)
    }

    /// Records the notice of one start of an upstream.
    pub(crate) fn set(&mut self, id: &UpstreamId, started_ms: u64, notice: Notice, now: TimeMs) {
        let stored = StoredNotice {
            notice,
            updated_at: now,
        };
        self.0.insert((id.clone(), started_ms), stored);
    }

    /// Removes old notices of upstreams for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool, now: TimeMs) {
        self.0
            .retain(|(id, _), stored| keep(id) || now.since(stored.updated_at) < RETENTION_MS);
    }
}

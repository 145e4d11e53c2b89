//! What upstreams have said of themselves in their answers.
//!
//! Load pattern: a burst fills many upstreams at once, each of them turns requests away and asks
//! for a pause, and the ends of the pauses fall together at all routers; and an upstream leaves
//! while the table cannot say so. A notice outlives the registration, which may lapse and come back.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;

/// Time after which the notice of an upstream that is not registered is forgotten.
const KEEP_MS: DurationMs = DurationMs(600_000);

/// What one start of an upstream has said of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Notice {
    /// Whether it leaves.
    pub leaving: bool,
    /// Until when it wants no requests from this router.
    pub paused_until: TimeMs,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    notice: Notice,
    at: TimeMs,
}

/// Notices by upstream and by the time of its start: a later start has none.
#[derive(Clone, Debug, Default)]
pub(crate) struct Notices(HashMap<(UpstreamId, u64), Heard>);

impl Notices {
    /// Returns the notice of one start of an upstream.
    pub(crate) fn get(&self, id: &UpstreamId, started_ms: u64) -> Notice {
        let heard = self.0.get(&(id.clone(), started_ms));
        heard.map_or(Notice::default(), |heard| heard.notice)
    }

    /// Records the notice of one start of an upstream.
    pub(crate) fn set(&mut self, id: &UpstreamId, started_ms: u64, notice: Notice, now: TimeMs) {
        let heard = Heard { notice, at: now };
        self.0.insert((id.clone(), started_ms), heard);
    }

    /// Forgets old notices of upstreams for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool, now: TimeMs) {
        self.0
            .retain(|(id, _), heard| keep(id) || now.since(heard.at) < KEEP_MS);
    }
}

//! Upstreams whose registration was removed.
//!
//! A store that comes back from a copy brings such a registration back, although the upstream has left and
//! still serves for a while. That it was removed is known only to the processes that have read it.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;

/// Time after which a removal is forgotten; a copy is some seconds old.
const RETENTION_MS: DurationMs = DurationMs(600_000);

/// Times of removals by upstream and start time: another start is another upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Removals(HashMap<(UpstreamId, u64), TimeMs>);

impl Removals {
    /// Records that the registration of one start of an upstream was removed.
    pub(crate) fn record(&mut self, id: &UpstreamId, started_ms: u64, now: TimeMs) {
        self.0.insert((id.clone(), started_ms), now);
    }

    /// Forgets the removal of an upstream that has registered again.
    pub(crate) fn forget(&mut self, id: &UpstreamId, started_ms: u64) {
        self.0.remove(&(id.clone(), started_ms));
    }

    /// Returns whether the registration of one start of an upstream was removed.
    pub(crate) fn contains(&self, id: &UpstreamId, started_ms: u64) -> bool {
        self.0.contains_key(&(id.clone(), started_ms))
    }

    /// Forgets old removals.
    pub(crate) fn expire(&mut self, now: TimeMs) {
        self.0.retain(|_, at| now.since(*at) < RETENTION_MS);
    }
}

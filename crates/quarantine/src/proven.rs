//! Keys that whole answers have lately shown to be sound.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::TimeMs;

use crate::key::SuspectKey;

/// Maximum number of keys remembered; those answered longest ago are dropped first.
const MAX_KEYS: usize = 8_192;

/// Time for which an answer is remembered.
const RETENTION_MS: DurationMs = DurationMs(600_000);

/// Keys with an answer, and the time of the last one.
#[derive(Clone, Debug)]
pub(crate) struct Proven<K>(HashMap<K, TimeMs>);

impl<K> Default for Proven<K> {
    fn default() -> Self {
        Proven(HashMap::new())
    }
}

impl<K: SuspectKey> Proven<K> {
    /// Records an answer.
    pub(crate) fn record(&mut self, key: K, now: TimeMs) {
        if self.0.len() >= MAX_KEYS && !self.0.contains_key(&key) {
            self.drop_earliest();
        }
        self.0.insert(key, now);
    }

    /// Returns whether there was an answer lately.
    pub(crate) fn contains(&self, key: K, now: TimeMs) -> bool {
        let answered_at = self.0.get(&key);
        answered_at.is_some_and(|at| now.since(*at) < RETENTION_MS)
    }

    fn drop_earliest(&mut self) {
        let mut times: Vec<TimeMs> = self.0.values().copied().collect();
        let at = times.len() / 4;
        let (_, earliest, _) = times.select_nth_unstable(at);
        let earliest = *earliest;
        self.0.retain(|_, at| *at > earliest);
    }
}

//! Circuit breaker for calls to the KV store.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Time during which the breaker stays open after a failed call. At most one request per interval
/// has to wait for a timeout.
pub const BREAKER_PAUSE_MS: DurationMs = DurationMs(5_000);

/// Opens after a failure, then lets one probe call through per interval until a call succeeds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Breaker {
    open_until: Option<TimeMs>,
}

impl Breaker {
    /// Returns whether calls are blocked.
    pub(crate) fn is_open(&self, now: TimeMs) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// Returns whether a call may be made. After a failure, a permitted call is a probe and opens the
    /// breaker again for the next interval.
    pub(crate) fn try_acquire(&mut self, now: TimeMs) -> bool {
        if self.is_open(now) {
            return false;
        }
        if self.open_until.is_some() {
            self.record_failure(now);
        }
        true
    }

    /// Records a failed call and opens the breaker.
    pub(crate) fn record_failure(&mut self, now: TimeMs) {
        self.open_until = Some(now + BREAKER_PAUSE_MS);
    }

    /// Records a successful call and closes the breaker.
    pub(crate) fn record_success(&mut self) {
        self.open_until = None;
    }
}

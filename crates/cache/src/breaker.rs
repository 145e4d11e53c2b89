//! Circuit breaker for a store that may be down.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Time without calls after a failed one. A request waits for at most one timeout, and only one
/// request in this time does.
pub const BREAKER_PAUSE_MS: DurationMs = DurationMs(5_000);

/// Stops calls after a failure, and lets single ones through until one succeeds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Breaker {
    open_until: Option<TimeMs>,
}

impl Breaker {
    /// Returns whether calls are stopped.
    pub(crate) fn is_open(&self, now: TimeMs) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// Returns whether a call may be made; after a pause it is the only one until the next pause.
    pub(crate) fn allow(&mut self, now: TimeMs) -> bool {
        if self.is_open(now) {
            return false;
        }
        if self.open_until.is_some() {
            self.failed(now);
        }
        true
    }

    /// Notes a call that failed.
    pub(crate) fn failed(&mut self, now: TimeMs) {
        self.open_until = Some(now + BREAKER_PAUSE_MS);
    }

    /// Notes a call that succeeded.
    pub(crate) fn succeeded(&mut self) {
        self.open_until = None;
    }
}

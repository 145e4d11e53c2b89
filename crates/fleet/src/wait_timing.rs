//! How long a call to a table may wait for changes.

use dw_base::DurationMs;

use crate::hint_timing::passing_on_ms;
use crate::hint_timing::CALL_MS;

/// Shortest wait of a call, so that a deployment with tight bounds does not call all the time.
const MIN_WAIT_MS: DurationMs = DurationMs(500);

/// Times that decide for how long a call to a table may wait for changes.
///
/// The answer to a call may be lost while its connection stays open, as when the table gives no answers for a
/// moment. The caller learns that only once the call has ended, and other routers that rely on it learn it from
/// the caller. For the caller all of that must be over before the bounds of the deployment hold again. Nothing
/// may have happened to those that rely on it, so for them it must be over within the bound of calm.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitTiming {
    /// Time without a disruption from which the bounds of the deployment hold.
    pub settle_ms: DurationMs,
    /// Time within which a change must be in force where nothing is disrupted.
    pub bound_ms: DurationMs,
    /// Time allowed for an answer in addition to the wait.
    pub answer_timeout_ms: DurationMs,
    /// Pause before the call after the one whose answer was lost.
    pub retry_pause_ms: DurationMs,
    /// Whether other processes leave reading the table to the caller.
    pub is_relied_on: bool,
}

impl WaitTiming {
    /// Returns the longest wait of a call with which a change whose answers are lost is in force in time.
    pub fn max_wait_ms(&self) -> DurationMs {
        let in_force_ms = match self.is_relied_on {
            true => self.settle_ms.min(self.bound_ms),
            false => self.settle_ms,
        };
        let wait_ms = in_force_ms.saturating_sub(self.after_wait_ms());
        wait_ms.max(MIN_WAIT_MS)
    }

    /// Returns the longest time from the moment at which the table answers again until a change is in force
    /// everywhere.
    pub fn total_ms(&self) -> DurationMs {
        self.max_wait_ms() + self.after_wait_ms()
    }

    /// Returns the longest time from the end of a wait whose answer is lost until all routers have read the
    /// change.
    fn after_wait_ms(&self) -> DurationMs {
        let read_ms = self.answer_timeout_ms + self.retry_pause_ms + CALL_MS;
        match self.is_relied_on {
            true => read_ms + passing_on_ms(),
            false => read_ms,
        }
    }
}

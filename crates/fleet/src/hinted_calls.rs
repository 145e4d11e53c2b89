//! Limits the calls for announced positions that calls do not satisfy.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// First pause between two calls for the same announced position.
const MIN_PAUSE_MS: DurationMs = DurationMs(500);

/// Longest pause between two calls for the same announced position. Answers may be behind for a while, and the
/// call after that must still be in time. 340 routers then make 680 calls a second for two tables, of the 2,000
/// that the smallest deployments allow.
const MAX_PAUSE_MS: DurationMs = DurationMs(1_000);

#[derive(Clone, Copy, Debug)]
struct Called {
    announced: u64,
    at: TimeMs,
    pause_ms: DurationMs,
}

/// Calls of one router to a table because others announce a later position.
///
/// A call may not satisfy the announcement, for example if the position is that of another history of the
/// table. Without a pause every router would then call the table all the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct HintedCalls(Option<Called>);

impl HintedCalls {
    /// Returns whether the table may be called for an announced position, and records the call.
    pub fn may_call(&mut self, announced: u64, now: TimeMs) -> bool {
        let same = self.0.filter(|called| called.announced == announced);
        let pause_ms = match same {
            Some(called) if now.since(called.at) < called.pause_ms => return false,
            Some(called) => DurationMs(called.pause_ms.0 * 2).min(MAX_PAUSE_MS),
            None => MIN_PAUSE_MS,
        };
        self.0 = Some(Called {
            announced,
            at: now,
            pause_ms,
        });
        true
    }
}

//! Times of a shutdown.
//!
//! Load pattern: the VMs are stopped in turn while callers keep sending on open connections, and
//! long streams are under way. Requests that are taken late are cut off by the end of the process.

use dw_base::DurationMs;

/// Time in which requests are still taken: the balancer misses two probes meanwhile, and what is
/// taken later may not be complete before SIGKILL.
const ACCEPT_MS: DurationMs = DurationMs(2_700);

/// Time before SIGKILL at which the process ends by itself.
const EXIT_MARGIN_MS: DurationMs = DurationMs(200);

/// Times of a shutdown, from SIGTERM on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainTimes {
    /// Until when requests are taken on open and new connections.
    pub accept_ms: DurationMs,
    /// When the process ends though requests are under way.
    pub exit_ms: DurationMs,
}

impl DrainTimes {
    /// Returns the times for a grace period between SIGTERM and SIGKILL.
    pub fn new(grace_ms: DurationMs) -> Self {
        let exit_ms = grace_ms.saturating_sub(EXIT_MARGIN_MS);
        DrainTimes {
            accept_ms: ACCEPT_MS.min(exit_ms),
            exit_ms,
        }
    }
}

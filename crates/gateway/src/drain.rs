//! Timing of a graceful shutdown.
//!
//! Load pattern: the VMs are stopped one after another while callers keep sending on open
//! connections and long streams are running. Requests that are accepted too late are cut off when
//! the process exits.

use dw_base::DurationMs;

/// Time after SIGTERM during which requests are accepted. It lets the balancer see two failed
/// probes; requests that are accepted later may not complete before SIGKILL.
const ACCEPT_MS: DurationMs = DurationMs(2_700);

/// Time before SIGKILL at which the process exits by itself.
const EXIT_MARGIN_MS: DurationMs = DurationMs(200);

/// Times of a graceful shutdown, counted from SIGTERM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainTimes {
    /// Until when requests are accepted on open and new connections; later ones are refused as not run.
    pub accept_ms: DurationMs,
    /// When requests that still run get their final answer, and the process exits.
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

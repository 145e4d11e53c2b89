//! How long a router relies on others that read the platform's tables.

use dw_base::DurationMs;
use dw_base::NodeId;

use crate::aggregate::router_hash;
use crate::pace::RELAY_MAX_PAUSE_MS;
use crate::pace::RELAY_MIN_PAUSE_MS;
use crate::pace::RELAY_ROUND_PAUSE_MS;
use crate::pace::ROUTER_MAX_PAUSE_MS;
use crate::pace::ROUTER_MIN_PAUSE_MS;

/// Time between two looks of a router at what others have announced.
pub const HINT_CHECK_INTERVAL_MS: DurationMs = DurationMs(100);

/// Time for a call to the table that answers at once, and for applying the change.
pub(crate) const CALL_MS: DurationMs = DurationMs(100);

/// Longest time over which the first calls of all routers spread once they rely on themselves: at 340
/// routers with two tables they stay below 2,000 calls a second.
const MAX_SPREAD_MS: DurationMs = DurationMs(500);

/// Times that decide for how long a router may rely on others for one table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HintTiming {
    /// Time within which a change must be in force everywhere.
    pub bound_ms: DurationMs,
    /// Pause of a router after it has read a change that others announced.
    pub pause_ms: DurationMs,
    /// Longest time until a reader notices that the table no longer reaches it.
    pub silence_ms: DurationMs,
}

impl HintTiming {
    /// Returns the age of the readers' last evidence from which this router reads the table itself, or
    /// nothing if it must read it always.
    ///
    /// A change may come right after the readers' last evidence. Half of the bound is left for reading it,
    /// as a router that has lost the others gets their requests too. Routers rely on others only if
    /// announcements in calm are younger than that, and if it is still in time to read the table after
    /// readers have noticed a silent one.
    pub fn max_age_ms(&self, router: &NodeId) -> Option<DurationMs> {
        let latest_ms = self.bound_ms.saturating_sub(self.reading_ms());
        let noticed_ms = self.silence_ms + ROUTER_MIN_PAUSE_MS + relay_ms();
        let max_age_ms = latest_ms.min(DurationMs(self.bound_ms.0 / 2));
        let min_age_ms = announced_ms() + CALL_MS;
        if max_age_ms < min_age_ms || latest_ms < noticed_ms {
            return None;
        }
        let spread_ms = max_age_ms.saturating_sub(min_age_ms).min(MAX_SPREAD_MS);
        let share_ms = (spread_ms.0 * u64::from(router_hash(router))) >> u32::BITS;
        Some(max_age_ms.saturating_sub(DurationMs(share_ms)))
    }

    /// Returns the longest time from the moment at which others are too old until their last change is
    /// read.
    fn reading_ms(&self) -> DurationMs {
        self.pause_ms + HINT_CHECK_INTERVAL_MS + CALL_MS
    }
}

/// Returns the longest time that a relay takes to pass on what a router has announced.
fn relay_ms() -> DurationMs {
    RELAY_MAX_PAUSE_MS + RELAY_MIN_PAUSE_MS + RELAY_ROUND_PAUSE_MS
}

/// Returns the longest time from a change that a reader has read until the routers that rely on it have read it.
pub(crate) fn passing_on_ms() -> DurationMs {
    ROUTER_MIN_PAUSE_MS + relay_ms() + HINT_CHECK_INTERVAL_MS + CALL_MS
}

/// Returns the longest age of announcements of a reader that waits for changes.
fn announced_ms() -> DurationMs {
    ROUTER_MIN_PAUSE_MS + ROUTER_MAX_PAUSE_MS + relay_ms()
}

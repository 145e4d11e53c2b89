//! Turns of one router at a limit that all routers share without exchanging messages.
//!
//! Load pattern: hundreds of routers share a limit of a few requests a second. A bucket in each saves up
//! one request, and once the fleet is pressed all of them are sent at the same time.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Time from the start of a turn in which it can be used.
const TURN_MS: DurationMs = DurationMs(1_000);

/// Turns of one router: one in each cycle, at a place of its own, and an unused one lapses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turns {
    /// Cycle of the last turn that was used.
    used_cycle: Option<u64>,
}

impl Turns {
    /// Uses the turn of this cycle, or returns the time until the next turn. `place` is uniformly
    /// distributed over the routers and stays the same for one router.
    ///
    /// # Errors
    ///
    /// Returns the time until the next turn if this router has none now.
    pub fn take(
        &mut self,
        cycle_ms: DurationMs,
        place: u32,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        let cycle_ms = cycle_ms.0.max(1);
        let place_ms = ((u128::from(place) * u128::from(cycle_ms)) >> 32) as u64;
        let shifted_ms = now.0.saturating_add(place_ms);
        let (cycle, in_cycle_ms) = (shifted_ms / cycle_ms, shifted_ms % cycle_ms);
        if in_cycle_ms < TURN_MS.0 && self.used_cycle != Some(cycle) {
            self.used_cycle = Some(cycle);
            return Ok(());
        }
        Err(DurationMs(cycle_ms - in_cycle_ms))
    }
}

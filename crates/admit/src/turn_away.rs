//! When a request that is turned away may come back.
//!
//! Load pattern: engines load weights or are down for a fraction of a second, and all requests of
//! that time come back together. The time to come back is spread over the time in which room
//! appears, and it stays within the third of its time that a caller is willing to wait.

use dw_base::DurationMs;

/// Shortest time to come back; engines are back after a load at the earliest.
const SHORTEST_MS: u64 = 150;

/// Time over which returns are spread.
const SPREAD_MS: u64 = 350;

/// Part of the remaining time that a caller is willing to wait.
const WILLING_PART: u64 = 3;

/// Returns when a caller with `left_ms` may come back; `point` is uniform in `0..=u32::MAX`.
pub fn retry_after(left_ms: DurationMs, point: u32) -> DurationMs {
    let spread = (u64::from(point) * SPREAD_MS) >> 32;
    let most = (left_ms.0 / WILLING_PART).max(1);
    DurationMs((SHORTEST_MS + spread).min(most))
}

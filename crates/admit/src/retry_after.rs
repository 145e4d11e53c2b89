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

/// The same for requests that are turned away because first tokens come late: queues of a second
/// or two must be worked off before.
const OVERLOAD_SHORTEST_MS: u64 = 800;
const OVERLOAD_SPREAD_MS: u64 = 2_400;

/// Part of the remaining time that a caller is willing to wait.
const WILLING_PART: u64 = 3;

/// Returns when a caller with `left_ms` may come back; `point` is uniform in `0..=u32::MAX`.
pub fn retry_after(left_ms: DurationMs, point: u32) -> DurationMs {
    spread(left_ms, point, SHORTEST_MS, SPREAD_MS)
}

/// The same for a request that is turned away because first tokens come late.
pub fn retry_after_overload(left_ms: DurationMs, point: u32) -> DurationMs {
    spread(left_ms, point, OVERLOAD_SHORTEST_MS, OVERLOAD_SPREAD_MS)
}

/// The same while all upstreams have asked for a pause, the first of which ends in `pause_ms`.
///
/// Load pattern: a burst fills all upstreams, and their pauses end together.
pub fn retry_after_pause(left_ms: DurationMs, point: u32, pause_ms: DurationMs) -> DurationMs {
    spread(left_ms, point, pause_ms.0.max(SHORTEST_MS), SPREAD_MS)
}

fn spread(left_ms: DurationMs, point: u32, min_pause_ms: u64, spread_ms: u64) -> DurationMs {
    let most = (left_ms.0 / WILLING_PART).max(1);
    let min_pause_ms = min_pause_ms.min(most);
    let spread_ms = spread_ms.min(most - min_pause_ms);
    DurationMs(min_pause_ms + ((u64::from(point) * spread_ms) >> 32))
}

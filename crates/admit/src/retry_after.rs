//! Retry delays for refused requests.
//!
//! Engines that load weights or are down for a fraction of a second cause a burst of refusals.
//! Without jitter, all of these requests would be retried at the same time. The delays are spread
//! over the time in which capacity becomes available, and are limited to a third of the remaining
//! time of the request, because callers do not wait longer than that.

use dw_base::DurationMs;

/// Shortest delay; engines that load weights are not available again earlier.
const MIN_DELAY_MS: u64 = 150;

/// Range of the jitter that is added to the shortest delay.
const JITTER_MS: u64 = 350;

/// Shortest delay for requests that are shed in an overload: queues of one or two seconds must
/// drain first.
const OVERLOAD_MIN_DELAY_MS: u64 = 800;

/// Range of the jitter for requests that are shed in an overload.
const OVERLOAD_JITTER_MS: u64 = 2_400;

/// The delay is at most the remaining time divided by this, since callers do not wait longer.
const MAX_DELAY_DIVISOR: u64 = 3;

/// Returns the delay for a request whose deadline is `remaining_ms` away. `point` is uniformly
/// distributed in `0..=u32::MAX`.
pub fn retry_after(remaining_ms: DurationMs, point: u32) -> DurationMs {
    with_jitter(remaining_ms, point, MIN_DELAY_MS, JITTER_MS)
}

/// Returns the delay for a request that is shed in an overload; see [`retry_after`].
pub fn retry_after_overload(remaining_ms: DurationMs, point: u32) -> DurationMs {
    with_jitter(
        remaining_ms,
        point,
        OVERLOAD_MIN_DELAY_MS,
        OVERLOAD_JITTER_MS,
    )
}

/// Returns the delay while all upstreams have asked for a pause; the first pause ends in
/// `pause_ms`.
///
/// The delay has jitter because a burst fills all upstreams, so that their pauses end together.
pub fn retry_after_pause(remaining_ms: DurationMs, point: u32, pause_ms: DurationMs) -> DurationMs {
    with_jitter(remaining_ms, point, pause_ms.0.max(MIN_DELAY_MS), JITTER_MS)
}

/// Returns the delay while all upstreams have named request limits and have no permits left; the next
/// one is expected in `wait_ms`.
///
/// Limits last, so the delays are spread over all the time that callers wait.
pub fn retry_after_limit(remaining_ms: DurationMs, point: u32, wait_ms: DurationMs) -> DurationMs {
    with_jitter(remaining_ms, point, wait_ms.0.max(MIN_DELAY_MS), u64::MAX)
}

fn with_jitter(
    remaining_ms: DurationMs,
    point: u32,
    min_delay_ms: u64,
    jitter_ms: u64,
) -> DurationMs {
    let max_delay_ms = (remaining_ms.0 / MAX_DELAY_DIVISOR).max(1);
    let min_delay_ms = min_delay_ms.min(max_delay_ms);
    let jitter_ms = jitter_ms.min(max_delay_ms - min_delay_ms);
    DurationMs(min_delay_ms + ((u64::from(point) * jitter_ms) >> 32))
}

//! Tests of the retry delays of refused requests.

use dw_admit::retry_after;
use dw_admit::retry_after_pause;
use dw_base::DurationMs;

/// Guards against callers that all retry at the same time after an engine was unavailable.
#[test]
fn retry_delays_are_spread() {
    let delays: Vec<u64> = (0..1_000u64)
        .map(|index| (index * u64::from(u32::MAX) / 1_000) as u32)
        .map(|point| retry_after(DurationMs(15_000), point).0)
        .collect();
    let range = delays
        .iter()
        .max()
        .zip(delays.iter().min())
        .map(|(longest, shortest)| longest - shortest);
    assert!(range.is_some_and(|range| range >= 300));
    let within = |start: u64| {
        delays
            .iter()
            .filter(|t| (start..start + 50).contains(t))
            .count()
    };
    assert!((150..500).step_by(50).all(|start| within(start) < 200));
}

/// Guards against a delay that is longer than callers wait: a third of the remaining time.
#[test]
fn retry_delay_fits_remaining_time() {
    for remaining_ms in [1, 30, 300, 800, 2_500] {
        let longest = retry_after(DurationMs(remaining_ms), u32::MAX);
        assert!(
            longest.0 <= (remaining_ms / 3).max(1),
            "{remaining_ms}: {longest}"
        );
    }
}

/// Guards against callers that retry before the pauses of the upstreams end, or all at the same
/// time afterwards.
#[test]
fn retry_delays_follow_a_pause_and_are_spread() {
    let delay_ms = |point| retry_after_pause(DurationMs(15_000), point, DurationMs(2_000)).0;
    let (first, last) = (delay_ms(0), delay_ms(u32::MAX));
    assert!(first >= 2_000 && last >= first + 300, "{first} to {last}");
}

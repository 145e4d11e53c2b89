//! When requests that are turned away may come back.

use dw_admit::retry_after;
use dw_admit::retry_after_pause;
use dw_base::DurationMs;

/// Guards against callers who all come back at the same moment, after an engine was away.
#[test]
fn returns_are_spread() {
    let times: Vec<u64> = (0..1_000u64)
        .map(|at| (at * u64::from(u32::MAX) / 1_000) as u32)
        .map(|point| retry_after(DurationMs(15_000), point).0)
        .collect();
    let width = times
        .iter()
        .max()
        .zip(times.iter().min())
        .map(|(most, least)| most - least);
    assert!(width.is_some_and(|width| width >= 300));
    let within = |start: u64| {
        times
            .iter()
            .filter(|t| (start..start + 50).contains(t))
            .count()
    };
    assert!((150..500).step_by(50).all(|start| within(start) < 200));
}

/// Guards against a time that a caller does not wait for: it waits up to a third of what is left.
#[test]
fn time_fits_into_what_is_left() {
    for left in [1, 30, 300, 800, 2_500] {
        let most = retry_after(DurationMs(left), u32::MAX);
        assert!(most.0 <= (left / 3).max(1), "{left}: {most}");
    }
}

/// Guards against callers who come back before the pause of all upstreams ends, or all at its end.
#[test]
fn returns_follow_a_pause_and_are_spread() {
    let time = |point| retry_after_pause(DurationMs(15_000), point, DurationMs(2_000)).0;
    let (first, last) = (time(0), time(u32::MAX));
    assert!(first >= 2_000 && last >= first + 300, "{first} to {last}");
}

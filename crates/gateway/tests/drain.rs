//! Times of a shutdown.

use dw_base::DurationMs;
use dw_gateway::DrainTimes;

/// Guards against requests that are taken so late that SIGKILL cuts them off. Requests up to 3 s
/// after SIGTERM may still run in the last sixth of the grace period; later ones may not be cut.
/// Found on letargo-ops, hunt day 162b-23: a stream taken after 3.24 s was cut at 7.6 s.
#[test]
fn requests_are_taken_for_less_than_three_seconds() {
    let drain = DrainTimes::new(DurationMs(8_000));
    assert!(drain.accept_ms < DurationMs(3_000));
    // The balancer probes once a second and takes a VM out after two misses.
    assert!(drain.accept_ms > DurationMs(2_000));
}

/// Guards against an end before the last sixth of the grace period, and after SIGKILL.
#[test]
fn process_uses_its_grace_period() {
    for grace_ms in [1_000, 8_000, 30_000] {
        let drain = DrainTimes::new(DurationMs(grace_ms));
        assert!(drain.exit_ms.0 < grace_ms && drain.exit_ms.0 >= grace_ms * 5 / 6 - 200);
        assert!(drain.accept_ms <= drain.exit_ms);
    }
}

//! Timing of a graceful shutdown.

use dw_base::DurationMs;
use dw_gateway::DrainTimes;

/// Guards against requests that are accepted so late that the end of the process cuts them off.
/// Only requests accepted up to 3 s after SIGTERM may still be running in the last sixth of the
/// grace period. A stream that was accepted after 3.24 s was once cut off at 7.6 s.
#[test]
fn requests_are_taken_for_less_than_three_seconds() {
    let drain = DrainTimes::new(DurationMs(8_000));
    assert!(drain.accept_ms < DurationMs(3_000));
    // The balancer probes once a second and takes a VM out after two failed probes.
    assert!(drain.accept_ms > DurationMs(2_000));
}

/// Guards against a process that exits before the last sixth of the grace period or not before
/// SIGKILL.
#[test]
fn process_uses_its_grace_period() {
    for grace_ms in [1_000, 8_000, 30_000] {
        let drain = DrainTimes::new(DurationMs(grace_ms));
        assert!(drain.exit_ms.0 < grace_ms && drain.exit_ms.0 >= grace_ms * 5 / 6 - 200);
        assert!(drain.accept_ms <= drain.exit_ms);
    }
}

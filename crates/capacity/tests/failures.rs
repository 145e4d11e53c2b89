//! Failures beside an overload, replayed against the ledger without a network.

mod fake;

use dw_capacity::EngineReport;
use dw_capacity::Ledger;

use crate::fake::Fake;
use crate::fake::SHORT;

/// Guards against goodput that stays low after engines crash and their load comes to the others.
#[test]
fn load_of_crashed_engines_leaves_goodput() {
    let mut fake = Fake::new();
    fake.play(SHORT, (0.8, 2_000));
    // 0.4 of the engines are gone, and the rest gets their load.
    let played = fake.play(SHORT, (0.8 / 0.6, 4_000));
    let best = Fake::new().play(SHORT, (0.9, 4_000));
    assert!(played.in_time * 10 >= best.in_time * 8, "{played:?}");
    fake.play(SHORT, (0.8, 3_000));
    let after = fake.play(SHORT, (0.8, 2_000));
    assert_eq!((after.late, after.refused), (0, 0), "{after:?}");
}

/// Guards against a restarted sidecar that fills an engine anew because its ledger is empty.
#[test]
fn restarted_sidecar_keeps_goodput() {
    let mut fake = Fake::new();
    fake.play(SHORT, (2.0, 2_000));
    fake.ledger = Ledger::default();
    let played = fake.play(SHORT, (2.0, 3_000));
    assert!(played.in_time > played.late * 8, "{played:?}");
}

/// Guards against a thawed sidecar that goes on from the ledger of before, and against requests that wait
/// for its answers.
#[test]
fn frozen_sidecar_and_lost_answers_keep_goodput() {
    let mut fake = Fake::new();
    fake.play(SHORT, (1.5, 2_000));
    fake.answers = false;
    let alone = fake.play(SHORT, (1.5, 2_000));
    assert!(alone.in_time > 0 && alone.refused > 0, "{alone:?}");
    fake.answers = true;
    fake.play(SHORT, (0.5, 3_000));
    let after = fake.play(SHORT, (0.8, 2_000));
    assert_eq!((after.late, after.refused), (0, 0), "{after:?}");
}

/// Guards against a ledger that does not know of the work that routers send without asking.
#[test]
fn work_that_nobody_asked_for_counts() {
    let mut fake = Fake::new();
    fake.play(SHORT, (1.2, 2_000));
    for _ in 0..60 {
        fake.send(SHORT);
    }
    for _ in 0..320 {
        fake.step();
    }
    assert!(!fake.offer(SHORT));
}

/// Guards against admissions that outlive the engine's start.
#[test]
fn restarted_engine_has_an_empty_ledger() {
    let mut fake = Fake::new();
    fake.runs = false;
    fake.play(SHORT, (3.0, 1_000));
    fake.crash();
    let restarted = EngineReport {
        started_ms: 2,
        ..EngineReport::default()
    };
    let now = dw_base::TimeMs(fake.now_ms);
    fake.ledger.observe(restarted, now);
    assert_eq!(fake.ledger.queue_ms().0, 0);
}

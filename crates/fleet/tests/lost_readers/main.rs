//! Changes of the platform's tables in the moment at which the routers that read them for others are lost.

#[allow(dead_code)]
#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod router;

use dw_base::DurationMs;
use dw_fleet::FollowedTable;
use dw_fleet::WaitTiming;
use proptest::prelude::*;

use crate::common::router as router_state;
use crate::fleet::Fleet;
use crate::router::Bounds;
use crate::router::Loss;
use crate::router::ANSWER_TIMEOUT_MS;
use crate::router::BOUNDS_MS;
use crate::router::CALM_MS;
use crate::router::FIRST_RETRY_PAUSE_MS;
use crate::router::STEP_MS;
use crate::router::TABLES;

fn loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        Just(Loss::Ended),
        Just(Loss::CutFromStore),
        Just(Loss::CutFromRelays),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a configuration, or an upstream that leaves, that takes effect too late at routers in
    /// calm, since those that read the tables for them were lost around the change or an earlier one.
    #[test]
    fn change_as_the_readers_are_lost_is_read_in_time(
        bound_at in 0..BOUNDS_MS.len(),
        routers in 3_u8..12,
        loss in loss(),
        with_relays in any::<bool>(),
        is_declaration in any::<bool>(),
        calm_ms in 0_u64..6_000,
        earlier_ms in 0_u64..3_000,
        (is_before, offset_ms) in (any::<bool>(), 0_u64..3_000),
    ) {
        let mut fleet = Fleet::new(routers, BOUNDS_MS[bound_at]);
        let table = TABLES[usize::from(!is_declaration)];
        fleet.run(CALM_MS + calm_ms);
        fleet.bounds.positions[table as usize] += 1;
        fleet.run(earlier_ms);
        let bound_ms = fleet.bounds.bound_ms.0;
        let offset_ms = offset_ms.min(bound_ms);
        match is_before {
            true => {
                fleet.bounds.positions[table as usize] += 1;
                fleet.run(offset_ms.min(500));
                fleet.lose_readers(loss, with_relays);
                fleet.run(bound_ms - offset_ms.min(500));
            }
            false => {
                fleet.lose_readers(loss, with_relays);
                fleet.run(offset_ms);
                fleet.bounds.positions[table as usize] += 1;
                fleet.run(bound_ms);
            }
        }
        prop_assert!(fleet.has_been_read(table), "{table:?} within {bound_ms} ms");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a configuration, or an upstream that leaves, that takes effect too late since the answers
    /// to calls that wait for changes were lost for a moment: at a router that reads the table itself, and at
    /// those that rely on it, which takes a call that waits for evidence that it follows the table.
    #[test]
    fn change_whose_answers_are_lost_is_read_in_time(
        bound_at in 0..BOUNDS_MS.len(),
        routers in 1_u8..12,
        silenced in prop_oneof![Just(u16::MAX), any::<u16>()],
        is_declaration in any::<bool>(),
        calm_ms in 0_u64..6_000,
        silent_ms in 10_u64..3_000,
        change_ms in 0_u64..3_000,
    ) {
        let mut fleet = Fleet::new(routers, BOUNDS_MS[bound_at]);
        let table = TABLES[usize::from(!is_declaration)];
        fleet.run(CALM_MS + calm_ms);
        let change_at = fleet.now + DurationMs(change_ms.min(silent_ms));
        let silent_until = fleet.now + DurationMs(silent_ms);
        let mut is_changed = false;
        while fleet.now < silent_until {
            fleet.lose_answers(silenced);
            if !is_changed && fleet.now >= change_at {
                is_changed = true;
                fleet.bounds.positions[table as usize] += 1;
            }
            fleet.step();
            fleet.lose_answers(silenced);
        }
        if !is_changed {
            fleet.bounds.positions[table as usize] += 1;
        }
        let due_at = change_at + fleet.bounds.bound_ms;
        let due_at = due_at.max(fleet.now + fleet.bounds.settle_ms());
        let left_ms = due_at.since(fleet.now);
        fleet.run(left_ms.0);
        prop_assert!(fleet.has_been_read(table), "{table:?} within {left_ms} of the silence");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a configuration, or an upstream that leaves, that takes effect too late at routers in calm,
    /// since they rely on readers whose calls wait and are not answered. Nothing harms the others, so their
    /// bound is that of calm.
    #[test]
    fn change_that_readers_are_not_told_is_read_by_the_others_in_time(
        bound_at in 0..BOUNDS_MS.len(),
        routers in 3_u8..12,
        is_declaration in any::<bool>(),
        earlier_ms in 0_u64..6_000,
        calm_ms in 0_u64..6_000,
        change_ms in prop_oneof![0_u64..200, 0_u64..6_000],
    ) {
        let mut fleet = Fleet::new(routers, BOUNDS_MS[bound_at]);
        let table = TABLES[usize::from(!is_declaration)];
        fleet.run(CALM_MS);
        // Calls to the two tables begin at different times afterwards.
        fleet.bounds.positions[FollowedTable::Registrations as usize] += 1;
        fleet.run(earlier_ms);
        fleet.bounds.positions[FollowedTable::Declarations as usize] += 1;
        fleet.run(3_000 + calm_ms);
        for router in &mut fleet.routers {
            router.is_silenced = router.state.is_reader;
        }
        let bound_ms = fleet.bounds.bound_ms.0;
        for step in 0..(change_ms + bound_ms) / STEP_MS.0 {
            if step == change_ms / STEP_MS.0 {
                fleet.bounds.positions[table as usize] += 1;
            }
            fleet.lose_answers_of_readers();
            fleet.step();
        }
        prop_assert!(fleet.has_been_read(table), "{table:?} within {bound_ms} ms");
    }

    /// Guards against a configuration that is read too late because calls for it were answered from a copy that was
    /// behind for some seconds: the pause between them must stay short. Changes that follow one another would
    /// hide it, as the pause starts anew with each.
    #[test]
    fn change_that_a_stale_answer_lacked_is_read_in_time(
        bound_at in 0..BOUNDS_MS.len(),
        routers in 3_u8..12,
        is_declaration in any::<bool>(),
        calm_ms in 0_u64..6_000,
        stale_ms in 100_u64..10_000,
    ) {
        let mut fleet = Fleet::new(routers, BOUNDS_MS[bound_at]);
        let table = TABLES[usize::from(!is_declaration)];
        fleet.run(CALM_MS + calm_ms);
        fleet.bounds.old_positions = Some(fleet.bounds.positions);
        fleet.bounds.positions[table as usize] += 1;
        fleet.run(stale_ms);
        fleet.bounds.old_positions = None;
        let bound_ms = fleet.bounds.bound_ms.0;
        fleet.run(bound_ms);
        prop_assert!(fleet.has_been_read(table), "{table:?} within {bound_ms} ms");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a configuration, or an upstream that leaves, that takes effect too late because relays of a
    /// data centre read what arrives late, and announce old news as fresh.
    #[test]
    fn change_that_late_relays_announce_is_read_in_time(
        bound_at in 0..BOUNDS_MS.len(),
        routers in 3_u8..12,
        is_declaration in any::<bool>(),
        lags_ms in [0_u64..20_000, 0_u64..20_000],
        is_one_in_time in any::<bool>(),
        calm_ms in 0_u64..6_000,
    ) {
        let mut fleet = Fleet::new(routers, BOUNDS_MS[bound_at]);
        let table = TABLES[usize::from(!is_declaration)];
        fleet.run(CALM_MS);
        fleet.relay_lags_ms = lags_ms.map(DurationMs);
        if is_one_in_time {
            fleet.relay_lags_ms[1] = DurationMs::ZERO;
        }
        fleet.run(lags_ms[0].max(lags_ms[1]) + calm_ms);
        fleet.bounds.positions[table as usize] += 1;
        let bound_ms = fleet.bounds.bound_ms.0;
        fleet.run(bound_ms);
        prop_assert!(fleet.has_been_read(table), "{table:?} within {bound_ms} ms");
    }
}

/// Guards against a sum of waits, timeouts and pauses that is longer than a deployment allows after a
/// disruption.
#[test]
fn lost_call_is_over_before_the_bounds_hold_again() {
    // Of the deployments, and of the target.
    for (bound_ms, settle_ms) in [
        (2_000, 3_000),
        (3_000, 4_000),
        (4_000, 5_000),
        (13_000, 14_000),
    ] {
        let bounds = Bounds {
            bound_ms: DurationMs(bound_ms),
            positions: [1; 2],
            old_positions: None,
        };
        assert_eq!(bounds.settle_ms(), DurationMs(settle_ms));
        for is_relied_on in [false, true] {
            let timing = WaitTiming {
                settle_ms: bounds.settle_ms(),
                bound_ms: bounds.bound_ms,
                answer_timeout_ms: ANSWER_TIMEOUT_MS,
                retry_pause_ms: FIRST_RETRY_PAUSE_MS,
                is_relied_on,
            };
            let total_ms = timing.total_ms();
            let settings = bounds.settings(
                FollowedTable::Declarations,
                &router_state(1, 1, &[]).1.router,
            );
            // Those that rely on the caller are in calm.
            let limit_ms = match is_relied_on && settings.max_hint_age_ms.is_some() {
                true => bounds.bound_ms,
                false => bounds.settle_ms(),
            };
            assert!(total_ms <= limit_ms, "{total_ms} of {limit_ms}");
        }
    }
}

/// Guards against calls of routers that rely on others in calm, which would grow with their number: those
/// of two readers for each table, as long as a call waits, and one of each other router a minute.
#[test]
fn others_do_not_read_in_calm() {
    const CALM_S: u64 = 60;
    let routers = 40;
    let mut fleet = Fleet::new(routers, 4_000);
    fleet.run(CALM_MS);
    fleet.calls = 0;
    fleet.run(CALM_S * 1_000);
    let wait_ms = fleet
        .bounds
        .settings(TABLES[0], &fleet.routers[0].node)
        .max_wait_ms;
    let of_readers = 2 * 2 * CALM_S * 1_000 / wait_ms.0 + 4;
    let of_others = 2 * u64::from(routers - 2) * 2;
    assert!(
        fleet.calls as u64 <= of_readers + of_others,
        "{}",
        fleet.calls
    );
    // Registrations that change all the time, as while engines load weights.
    fleet.calls = 0;
    for _ in 0..CALM_S {
        fleet.bounds.positions[FollowedTable::Registrations as usize] += 1;
        fleet.run(1_000);
    }
    let readings = CALM_S * 1_000 / 1_600 + 2;
    // Each change costs a router one call, and one more if it has relied on itself meanwhile.
    let bound = 2 * u64::from(routers) * readings + of_readers + of_others;
    assert!(fleet.calls as u64 <= bound, "{} of {bound}", fleet.calls);
}

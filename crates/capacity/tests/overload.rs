//! Overloads of one engine, replayed against the ledger without a network.

mod fake;

use crate::fake::Fake;
use crate::fake::Request;
use crate::fake::SHORT;

/// Part of the best goodput that an overload must leave.
const LEAST_GOODPUT: f64 = 0.8;

fn best_goodput() -> f64 {
    let played = Fake::new().play(SHORT, (0.9, 4_000));
    f64::from(played.in_time)
}

/// Guards against goodput that collapses when routers fill an engine with what it cannot begin in time,
/// and against an overload that lasts after its cause.
#[test]
fn three_times_too_much_keeps_goodput() {
    let mut fake = Fake::new();
    fake.play(SHORT, (0.5, 1_000));
    let played = fake.play(SHORT, (3.0, 4_000));
    assert!(
        f64::from(played.in_time) >= LEAST_GOODPUT * best_goodput(),
        "{played:?}"
    );
    assert!(played.refused > played.asked / 2, "{played:?}");
    assert!(fake.max_wait_told_ms < 1_000, "{}", fake.max_wait_told_ms);
    fake.play(SHORT, (0.8, 3_000));
    let after = fake.play(SHORT, (0.8, 2_000));
    assert!(after.late + after.refused == 0, "{after:?}");
}

/// Guards against questions and refusals in calm.
#[test]
fn calm_refuses_nothing() {
    let played = Fake::new().play(SHORT, (0.6, 4_000));
    assert_eq!((played.refused, played.late), (0, 0), "{played:?}");
}

/// Guards against a hot organisation that takes the room of small ones during a burst.
#[test]
fn small_organisations_keep_theirs_beside_a_hot_one() {
    const SMALL: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let small = |org| Request { org, ..SHORT };
    let mut fake = Fake::new();
    let each_second = |fake: &mut Fake, _: u64| {
        if fake.now_ms.is_multiple_of(125) {
            let org = SMALL[(fake.now_ms / 125) as usize % SMALL.len()];
            fake.offer(small(org));
        }
    };
    fake.play_beside(SHORT, (0.7, 2_000), each_second);
    // Routers learn of the burst from hints.
    fake.play_beside(SHORT, (1.7, 1_250), each_second);
    let lost = |fake: &Fake| -> u32 {
        let counts = SMALL.map(|org| fake.counts(&small(org)));
        counts.iter().map(|c| c.refused + c.late).sum()
    };
    let lost_at_first = lost(&fake);
    assert!(lost_at_first <= 2, "{lost_at_first}");
    let hot = fake.play_beside(SHORT, (1.7, 1_750), each_second);
    fake.play_beside(SHORT, (0.0, 1_000), |_, _| {});
    assert_eq!(lost(&fake), lost_at_first);
    assert!(hot.in_time > 0 && hot.refused > 0, "{hot:?}");
}

/// Guards against urgent requests that are refused because of less urgent ones that they overtake.
#[test]
fn urgent_requests_pass_less_urgent_ones() {
    let less = Request {
        priority: 4,
        ..SHORT
    };
    let mut fake = Fake::new();
    let played = fake.play_beside(less, (2.0, 4_000), |fake, at_ms| {
        if at_ms.is_multiple_of(40) {
            fake.offer(SHORT);
        }
    });
    let urgent = fake.counts(&SHORT);
    assert!(
        urgent.in_time + 2 >= urgent.asked && urgent.refused == 0,
        "{urgent:?}"
    );
    assert!(played.in_time > 0, "{played:?}");
}

/// Guards against an engine that is given more than its memory holds, and so preempts. Routers ask once
/// their hints show a queue.
#[test]
fn memory_is_not_exceeded() {
    let mut fake = Fake::new();
    fake.kv_total = 15_000;
    fake.play(SHORT, (3.0, 2_000));
    fake.most_memory = 0;
    let played = fake.play(SHORT, (3.0, 4_000));
    assert!(fake.most_memory <= fake.kv_total, "{}", fake.most_memory);
    assert!(played.in_time > 0, "{played:?}");
}

/// Guards against a prompt that can never meet its objective and is refused by an idle engine, and one
/// that displaces requests in time at a busy engine.
#[test]
fn late_requests_are_served_by_idle_engines_only() {
    let long = Request {
        tokens: 40_000,
        priority: 2,
        ..SHORT
    };
    let mut fake = Fake::new();
    assert!(fake.offer(long));
    let mut fake = Fake::new();
    fake.play(SHORT, (1.5, 1_000));
    assert!(!fake.offer(long));
}

//! Requests that are turned away while first tokens come late.

use std::ops::Range;

use dw_admit::retry_after_overload;
use dw_admit::Offer;
use dw_admit::Overload;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;

/// A kind of requests.
#[derive(Clone, Copy)]
struct Kind {
    priority: u8,
    tokens: Tokens,
    objective_ms: DurationMs,
    /// Time between two of them.
    pause_ms: u64,
}

const FLAG: Kind = Kind {
    priority: 0,
    tokens: Tokens(2_400),
    objective_ms: DurationMs(500),
    pause_ms: 20,
};

const SUMMARY: Kind = Kind {
    priority: 1,
    tokens: Tokens(12_000),
    objective_ms: DurationMs(1_000),
    pause_ms: 100,
};

/// Tokens that all engines compute in a millisecond. The kinds ask for 240.
const SPEED: f64 = 300.0;

/// Part of the work that cold caches add at most.
const COLD_PART: f64 = 0.6;

/// Wait at which they add it.
const COLD_WAIT_MS: f64 = 600.0;

/// Half of the engines are away in this time.
const AWAY_MS: Range<u64> = 1_000..4_000;

const END_MS: u64 = 20_000;

#[derive(Default)]
struct Outcome {
    /// End of the last 100 ms in which a flag waited longer than its objective.
    late_until_ms: u64,
    /// Turned away and offered by kind, the flags first.
    turned_away: [u32; 2],
    offered: [u32; 2],
}

/// A request whose first token comes when the queue before it is worked off.
struct Waiting {
    due_tokens: f64,
    sent_ms: u64,
    objective_ms: DurationMs,
}

/// Plays engines whose caches grow cold as their queue grows.
fn play(turns_away: bool) -> Outcome {
    let mut overload = Overload::default();
    let mut outcome = Outcome::default();
    let (mut queued, mut done) = (0.0f64, 0.0f64);
    let mut waiting: Vec<Waiting> = Vec::new();
    for now_ms in 0..END_MS {
        let now = TimeMs(now_ms);
        let is_away = AWAY_MS.contains(&now_ms);
        let speed = if is_away { SPEED / 2.0 } else { SPEED };
        let wait_ms = (queued - done) / SPEED;
        for (at, kind) in [FLAG, SUMMARY].into_iter().enumerate() {
            if now_ms % kind.pause_ms != 0 {
                continue;
            }
            outcome.offered[at] += 1;
            let offer = Offer {
                priority: kind.priority,
                tokens: kind.tokens,
                expected_ms: DurationMs(wait_ms as u64),
                objective_ms: kind.objective_ms,
                point: (now_ms as u32 / 20).wrapping_mul(2_654_435_769),
            };
            if overload.reject(&offer, now).is_some() && turns_away {
                outcome.turned_away[at] += 1;
                continue;
            }
            let cold = 1.0 + COLD_PART * (wait_ms / COLD_WAIT_MS).min(1.0);
            queued += kind.tokens.0 as f64 * cold;
            waiting.push(Waiting {
                due_tokens: queued,
                sent_ms: now_ms,
                objective_ms: kind.objective_ms,
            });
        }
        done = (done + speed).min(queued);
        waiting.retain(|request| {
            let is_waiting = request.due_tokens > done;
            if !is_waiting {
                let waited_ms = now_ms - request.sent_ms;
                overload.record_first_token(DurationMs(waited_ms), request.objective_ms, now);
                if request.objective_ms == FLAG.objective_ms && waited_ms > FLAG.objective_ms.0 {
                    outcome.late_until_ms = now_ms;
                }
            }
            is_waiting
        });
    }
    outcome
}

/// Guards against an overload that lasts after the engines are back, since queues keep caches cold.
#[test]
fn overload_ends_soon_after_the_engines_are_back() {
    let without = play(false);
    assert!(
        without.late_until_ms > END_MS - 500,
        "{}",
        without.late_until_ms
    );
    let with = play(true);
    assert!(
        with.late_until_ms < AWAY_MS.end + 4_000,
        "{}",
        with.late_until_ms
    );
}

/// Guards against urgent requests that are turned away while less urgent ones are taken.
#[test]
fn least_urgent_are_turned_away_first() {
    let outcome = play(true);
    let part = |at: usize| f64::from(outcome.turned_away[at]) / f64::from(outcome.offered[at]);
    assert!(part(1) > 0.1, "{}", part(1));
    assert!(part(0) < part(1) / 2.0, "{} and {}", part(0), part(1));
}

/// Guards against requests that are turned away at ordinary load, or although an engine is free.
#[test]
fn nothing_is_turned_away_without_need() {
    let mut overload = Overload::default();
    let mut offer = Offer {
        priority: 1,
        tokens: Tokens(12_000),
        expected_ms: DurationMs(700),
        objective_ms: DurationMs(1_000),
        point: 0,
    };
    let mut late = Overload::default();
    for step in 0..1_000 {
        let now = TimeMs(step * 20);
        overload.record_first_token(
            DurationMs(if step % 5 == 0 { 1_200 } else { 300 }),
            DurationMs(1_000),
            now,
        );
        assert!(overload.reject(&offer, now).is_none());
        late.record_first_token(DurationMs(1_200), DurationMs(1_000), now);
        offer.expected_ms = DurationMs(if step % 2 == 0 { 700 } else { 100 });
        let is_turned_away = late.reject(&offer, now).is_some();
        assert!(!is_turned_away || offer.expected_ms == DurationMs(700));
        offer.expected_ms = DurationMs(700);
    }
    assert!(late.share() > 0.5);
}

/// Guards against callers who come back together while the queues are still long, and against a
/// time that they do not wait for.
#[test]
fn returns_after_an_overload_are_spread_over_seconds() {
    let back = |left, point| retry_after_overload(DurationMs(left), point).0;
    assert!(back(15_000, 0) >= 500);
    assert!(back(15_000, u32::MAX) - back(15_000, 0) >= 2_000);
    for left in [1, 30, 800, 3_000] {
        assert!(back(left, u32::MAX) <= (left / 3).max(1));
    }
}

/// Plays 4 s in which all first tokens are late, and then `relieved_ms` in which none is.
fn overloaded(relieved_ms: u64) -> (Overload, TimeMs) {
    let mut overload = Overload::default();
    let end_ms = 4_000 + relieved_ms;
    for now_ms in (0..end_ms).step_by(20) {
        let waited_ms = DurationMs(if now_ms < 4_000 { 2_000 } else { 100 });
        overload.record_first_token(waited_ms, DurationMs(1_000), TimeMs(now_ms));
        overload.reject(&summary(u32::MAX), TimeMs(now_ms));
    }
    (overload, TimeMs(end_ms))
}

fn summary(point: u32) -> Offer {
    Offer {
        priority: 1,
        tokens: Tokens(12_000),
        expected_ms: DurationMs(900),
        objective_ms: DurationMs(1_000),
        point,
    }
}

/// Guards against a remainder of the share, which goes on turning requests away and tells of an
/// overload that has ended.
#[test]
fn share_is_nothing_or_a_whole_step() {
    for overloaded_ms in (1_000..4_000).step_by(200) {
        let mut overload = Overload::default();
        for now_ms in (0..overloaded_ms + 8_000).step_by(20) {
            let waited_ms = DurationMs(if now_ms < overloaded_ms { 2_000 } else { 100 });
            overload.record_first_token(waited_ms, DurationMs(1_000), TimeMs(now_ms));
            overload.reject(&summary(u32::MAX), TimeMs(now_ms));
            let share = overload.share();
            assert!(share == 0.0 || share > 0.01, "{share} at {now_ms} ms");
        }
    }
}

/// Guards against returns within a part of the time: the number that decides who is turned away is
/// small for all of them.
#[test]
fn returns_of_those_turned_away_are_spread() {
    let (mut overload, now) = overloaded(1_800);
    assert!(
        (0.1..0.8).contains(&overload.share()),
        "{}",
        overload.share()
    );
    let mut returns = Vec::new();
    for point in (0..u32::MAX).step_by(1 << 24) {
        if let Some(rank) = overload.reject(&summary(point), now) {
            returns.push(retry_after_overload(DurationMs(15_000), rank).0);
        }
    }
    let width = returns.iter().max().zip(returns.iter().min());
    assert!(
        width.is_some_and(|(most, least)| most - least > 2_000),
        "{width:?}"
    );
}

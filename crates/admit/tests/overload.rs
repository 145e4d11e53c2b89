//! Tests of load shedding while the time to first token exceeds its objective.

use std::ops::Range;

use dw_admit::retry_after_overload;
use dw_admit::Offer;
use dw_admit::Overload;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;

/// A class of requests that arrive at regular intervals.
#[derive(Clone, Copy)]
struct RequestClass {
    priority: u8,
    tokens: Tokens,
    objective_ms: DurationMs,
    /// Interval between two requests.
    interval_ms: u64,
}

const FLAG: RequestClass = RequestClass {
    priority: 0,
    tokens: Tokens(2_400),
    objective_ms: DurationMs(500),
    interval_ms: 20,
};

const SUMMARY: RequestClass = RequestClass {
    priority: 1,
    tokens: Tokens(12_000),
    objective_ms: DurationMs(1_000),
    interval_ms: 100,
};

/// Number of tokens that all engines compute per millisecond. The two classes demand 240.
const TOKENS_PER_MS: f64 = 300.0;

/// Maximum work that cold caches add, relative to the work with warm caches.
const MAX_COLD_OVERHEAD: f64 = 0.6;

/// Wait from which cold caches add the maximum work.
const MAX_COLD_WAIT_MS: f64 = 600.0;

/// Period during which half of the engines are unavailable.
const OUTAGE_MS: Range<u64> = 1_000..4_000;

const END_MS: u64 = 20_000;

#[derive(Default)]
struct Totals {
    /// Last time at which a [`FLAG`] request received its first token later than its objective.
    last_late_ms: u64,
    /// Number of shed requests of [`FLAG`] and [`SUMMARY`].
    shed: [u32; 2],
    /// Number of offered requests of [`FLAG`] and [`SUMMARY`].
    offered: [u32; 2],
}

/// A request whose first token comes when the queue before it has been computed.
struct SentRequest {
    computed_at_tokens: f64,
    sent_ms: u64,
    objective_ms: DurationMs,
}

/// Simulates engines whose caches become colder as their queue grows.
fn simulate(with_shedding: bool) -> Totals {
    let mut overload = Overload::default();
    let mut totals = Totals::default();
    let (mut queued, mut computed) = (0.0f64, 0.0f64);
    let mut waiting: Vec<SentRequest> = Vec::new();
    for now_ms in 0..END_MS {
        let now = TimeMs(now_ms);
        let is_outage = OUTAGE_MS.contains(&now_ms);
        let speed = if is_outage {
            TOKENS_PER_MS / 2.0
        } else {
            TOKENS_PER_MS
        };
        let wait_ms = (queued - computed) / TOKENS_PER_MS;
        for (index, class) in [FLAG, SUMMARY].into_iter().enumerate() {
            if now_ms % class.interval_ms != 0 {
                continue;
            }
            totals.offered[index] += 1;
            let offer = Offer {
                priority: class.priority,
                tokens: class.tokens,
                expected_ms: DurationMs(wait_ms as u64),
                objective_ms: class.objective_ms,
                point: (now_ms as u32 / 20).wrapping_mul(2_654_435_769),
            };
            if overload.reject(&offer, now).is_some() && with_shedding {
                totals.shed[index] += 1;
                continue;
            }
            let cold_factor = 1.0 + MAX_COLD_OVERHEAD * (wait_ms / MAX_COLD_WAIT_MS).min(1.0);
            queued += class.tokens.0 as f64 * cold_factor;
            waiting.push(SentRequest {
                computed_at_tokens: queued,
                sent_ms: now_ms,
                objective_ms: class.objective_ms,
            });
        }
        computed = (computed + speed).min(queued);
        waiting.retain(|request| {
            let is_waiting = request.computed_at_tokens > computed;
            if !is_waiting {
                let waited_ms = now_ms - request.sent_ms;
                overload.record_first_token(DurationMs(waited_ms), request.objective_ms, now);
                if request.objective_ms == FLAG.objective_ms && waited_ms > FLAG.objective_ms.0 {
                    totals.last_late_ms = now_ms;
                }
            }
            is_waiting
        });
    }
    totals
}

/// Guards against an overload that persists after the engines are available again, because long
/// queues keep the caches cold.
#[test]
fn overload_ends_soon_after_the_engines_are_back() {
    let unprotected = simulate(false);
    assert!(
        unprotected.last_late_ms > END_MS - 500,
        "{}",
        unprotected.last_late_ms
    );
    let protected = simulate(true);
    assert!(
        protected.last_late_ms < OUTAGE_MS.end + 4_000,
        "{}",
        protected.last_late_ms
    );
}

/// Guards against shedding urgent requests while less urgent ones are admitted.
#[test]
fn least_urgent_requests_are_shed_first() {
    let totals = simulate(true);
    let shed_ratio =
        |index: usize| f64::from(totals.shed[index]) / f64::from(totals.offered[index]);
    assert!(shed_ratio(1) > 0.1, "{}", shed_ratio(1));
    assert!(
        shed_ratio(0) < shed_ratio(1) / 2.0,
        "{} and {}",
        shed_ratio(0),
        shed_ratio(1)
    );
}

/// Guards against shedding at normal load, and against shedding requests that are expected to meet
/// their objective easily because an engine is idle.
#[test]
fn nothing_is_shed_at_normal_load() {
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
        let is_shed = late.reject(&offer, now).is_some();
        assert!(!is_shed || offer.expected_ms == DurationMs(700));
        offer.expected_ms = DurationMs(700);
    }
    assert!(late.share() > 0.5);
}

/// Guards against retries that arrive together while the queues are still long, and against delays
/// that are longer than callers wait.
#[test]
fn retry_delays_after_an_overload_are_spread_over_seconds() {
    let delay_ms = |remaining_ms, point| retry_after_overload(DurationMs(remaining_ms), point).0;
    assert!(delay_ms(15_000, 0) >= 500);
    assert!(delay_ms(15_000, u32::MAX) - delay_ms(15_000, 0) >= 2_000);
    for remaining_ms in [1, 30, 800, 3_000] {
        assert!(delay_ms(remaining_ms, u32::MAX) <= (remaining_ms / 3).max(1));
    }
}

/// Simulates 4 s in which all first tokens are late, and then `recovery_ms` in which none is late.
fn after_overload(recovery_ms: u64) -> (Overload, TimeMs) {
    let mut overload = Overload::default();
    let end_ms = 4_000 + recovery_ms;
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

/// Guards against a rounding remainder in the shed ratio, which would continue to shed requests and
/// to report an overload that has ended.
#[test]
fn share_is_zero_or_a_whole_step() {
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

/// Guards against retry delays that use only part of their range: the number that selects the shed
/// requests is small for all of them, so it must be rescaled before it sets the delay.
#[test]
fn retry_delays_of_shed_requests_are_spread() {
    let (mut overload, now) = after_overload(1_800);
    assert!(
        (0.1..0.8).contains(&overload.share()),
        "{}",
        overload.share()
    );
    let mut delays = Vec::new();
    for point in (0..u32::MAX).step_by(1 << 24) {
        if let Some(rank) = overload.reject(&summary(point), now) {
            delays.push(retry_after_overload(DurationMs(15_000), rank).0);
        }
    }
    let range = delays.iter().max().zip(delays.iter().min());
    assert!(
        range.is_some_and(|(longest, shortest)| longest - shortest > 2_000),
        "{range:?}"
    );
}

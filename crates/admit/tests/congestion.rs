//! Tests of load shedding while a router's own processor is late.

use std::collections::VecDeque;

use dw_admit::Congestion;
use dw_admit::LAG_INTERVAL_MS;
use dw_base::DurationMs;
use dw_base::TimeMs;
use rand::RngExt;

const OBJECTIVE_MS: DurationMs = DurationMs(400);

/// Processor time of a served request; 250 requests per second use all of the core.
const SERVED_MS: f64 = 4.0;

/// Processor time of a refused request.
const REFUSED_MS: f64 = SERVED_MS / 5.0;

/// Usual load, a quarter of what the core serves.
const USUAL_PER_S: u64 = 62;

/// Priorities of the requests, in turn.
const PRIORITIES: [u8; 4] = [0, 0, 1, 5];

/// A router whose tasks run one after another, in the order in which they became ready.
#[derive(Default)]
struct Router {
    congestion: Congestion,
    /// When the processor is done with all that is ready.
    busy_until_ms: f64,
    /// Requests that are ready, by arrival.
    ready: VecDeque<(u64, u8, u32)>,
    /// Refused and all requests by priority.
    refused: [u64; 10],
    asked: [u64; 10],
    max_lag_ms: u64,
}

impl Router {
    /// Plays a load from one time to another, one step each millisecond.
    fn play(&mut self, from_ms: u64, to_ms: u64, per_s: u64) {
        let mut rng = dw_base::seeded_rng(from_ms);
        let mut timer_ms = from_ms + LAG_INTERVAL_MS.0;
        for now in from_ms..to_ms {
            let arrivals = (now + 1) * per_s / 1_000 - now * per_s / 1_000;
            for _ in 0..arrivals {
                let priority = PRIORITIES[rng.random_range(0..PRIORITIES.len())];
                self.ready.push_back((now, priority, rng.random()));
            }
            while self.busy_until_ms <= now as f64 {
                let timer_is_next = self.ready.front().is_none_or(|next| next.0 >= timer_ms);
                if timer_is_next && timer_ms <= now {
                    let lag_ms = now - timer_ms;
                    self.max_lag_ms = self.max_lag_ms.max(lag_ms);
                    self.congestion.record_lag(DurationMs(lag_ms), TimeMs(now));
                    timer_ms = now + LAG_INTERVAL_MS.0;
                } else if let Some((_, priority, point)) = self.ready.pop_front() {
                    let is_refused = self.congestion.refuses(priority, point, TimeMs(now));
                    self.asked[usize::from(priority)] += 1;
                    self.refused[usize::from(priority)] += u64::from(is_refused);
                    let cost_ms = if is_refused { REFUSED_MS } else { SERVED_MS };
                    self.busy_until_ms = self.busy_until_ms.max(now as f64) + cost_ms;
                } else {
                    break;
                }
            }
        }
    }

    fn new() -> Self {
        let mut router = Router::default();
        router.congestion.set_objective(OBJECTIVE_MS);
        router
    }

    /// Returns the refused part of the requests with a priority.
    fn refused_part(&self, priority: usize) -> f64 {
        self.refused[priority] as f64 / self.asked[priority].max(1) as f64
    }
}

/// Guards against refusals in calm, also where the processor is handed out in slices.
#[test]
fn calm_refuses_nothing() {
    let mut router = Router::new();
    router.play(0, 10_000, USUAL_PER_S);
    assert_eq!(router.refused, [0; 10]);
    let mut sliced = Congestion::default();
    sliced.set_objective(OBJECTIVE_MS);
    let mut now = TimeMs(0);
    for lag_ms in [0, 90, 20, 60, 99, 0].repeat(50) {
        now = now + LAG_INTERVAL_MS + DurationMs(lag_ms);
        assert!(!sliced.refuses(9, 0, now), "before the timer");
        sliced.record_lag(DurationMs(lag_ms), now);
        assert!(!sliced.refuses(9, 0, now), "after the timer");
    }
}

/// Guards against tasks that run half a second late at ten times the usual load, and against refusing
/// urgent requests as often as others.
#[test]
fn ten_times_the_usual_load_keeps_tasks_in_time() {
    let mut router = Router::new();
    router.play(0, 2_000, USUAL_PER_S);
    router.play(2_000, 8_000, 10 * USUAL_PER_S);
    assert!(router.max_lag_ms <= 500, "{} ms late", router.max_lag_ms);
    let [urgent, usual, least] = [0, 1, 5].map(|priority| router.refused_part(priority));
    assert!(least > usual && usual > urgent, "{:?}", router.refused);
    assert!(urgent < 0.8 * least, "{:?}", router.refused);
}

/// Guards against a gateway that goes on refusing after the load is usual again.
#[test]
fn refusals_end_within_a_second_of_the_load() {
    let mut router = Router::new();
    router.play(0, 3_000, 10 * USUAL_PER_S);
    router.play(3_000, 4_000, USUAL_PER_S);
    let before = router.refused;
    router.play(4_000, 6_000, USUAL_PER_S);
    assert_eq!(router.refused, before);
}

/// Guards against refusals because of a lag that was a suspension of the process.
#[test]
fn freeze_refuses_nothing_after_it() {
    let mut congestion = Congestion::default();
    congestion.set_objective(OBJECTIVE_MS);
    congestion.record_lag(DurationMs(0), TimeMs(0));
    let mut now = TimeMs(5_000);
    // The requests that have waited run before the timer.
    for _ in 0..3 {
        assert!(!congestion.refuses(9, 0, now), "at once");
        now = now + DurationMs(5);
    }
    congestion.record_lag(DurationMs(4_965), now);
    assert!(!congestion.refuses(9, 0, now));
    // What else has waited is worked off.
    now = now + LAG_INTERVAL_MS + DurationMs(180);
    congestion.record_lag(DurationMs(180), now);
    for _ in 0..3 {
        now = now + LAG_INTERVAL_MS;
        congestion.record_lag(DurationMs(0), now);
    }
    assert!(!congestion.refuses(9, 0, now), "150 ms later");
}

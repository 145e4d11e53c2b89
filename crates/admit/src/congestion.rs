//! Load shedding while a router's own processor is late.
//!
//! Load pattern: callers send ten times the usual load to a router with a small part of a core. Its
//! tasks then run late, so that closes of callers, the end of a drain and health checks are noticed late
//! as well, and requests reach an upstream when most of their objective has passed. The lag of a timer
//! tells this before any answer is late. A single late timer, as after the process was suspended, refuses
//! nothing.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Interval between two measurements of the lag.
pub const LAG_INTERVAL_MS: DurationMs = DurationMs(50);

/// The lag may be the shortest objective divided by this.
const OBJECTIVE_DIVISOR: u64 = 4;

/// Smallest bound of the lag: a quota of the processor for each tenth of a second delays timers by as much
/// once it is used up.
const MIN_BOUND_MS: DurationMs = DurationMs(100);

/// Largest bound of the lag: half a second after a caller has left, its request must not be running.
const MAX_BOUND_MS: DurationMs = DurationMs(150);

/// Part of the requests by which the shed ratio rises when the lag is at its bound.
const RAISE_RATIO: f64 = 0.1;

/// Largest rise of the shed ratio in one step.
const MAX_RAISE_RATIO: f64 = 0.3;

/// Fall of the shed ratio with each measurement in time; the largest ratio is gone within a second.
const LOWER_RATIO: f64 = 0.07;

/// Number of priority levels; 0 is the highest priority.
const PRIORITY_LEVELS: usize = 10;

/// Time for which requests are handled while a timer is overdue, before the overdue time counts. The first
/// requests after a suspension see an overdue timer too.
const CONFIRM_MS: DurationMs = DurationMs(20);

/// Part of the requests that is refused while an overdue timer is late by the bound.
const OVERDUE_RATIO: f64 = 0.25;

/// Factor applied to the numbers of requests at each measurement.
const OFFERED_DECAY: f64 = 0.9;

/// Load shedding for one process, from the lag of its own timers.
#[derive(Clone, Debug)]
pub struct Congestion {
    bound_ms: DurationMs,
    /// When the next timer is due.
    due: Option<TimeMs>,
    /// When a request was first handled while that timer was late.
    overdue_since: Option<TimeMs>,
    was_late: bool,
    ratio: f64,
    /// Decayed numbers of requests by priority.
    offered: [f64; PRIORITY_LEVELS],
}

impl Default for Congestion {
    fn default() -> Self {
        Congestion {
            bound_ms: MAX_BOUND_MS,
            due: None,
            overdue_since: None,
            was_late: false,
            ratio: 0.0,
            offered: [0.0; PRIORITY_LEVELS],
        }
    }
}

impl Congestion {
    /// Sets the bound of the lag from the shortest objective of all routes.
    pub fn set_objective(&mut self, shortest_ms: DurationMs) {
        let bound_ms = DurationMs(shortest_ms.0 / OBJECTIVE_DIVISOR);
        self.bound_ms = bound_ms.max(MIN_BOUND_MS).min(MAX_BOUND_MS);
    }

    /// Records that a timer fired `lag_ms` late, and that the next one starts. Returns whether requests
    /// begin or cease to be refused.
    pub fn record_lag(&mut self, lag_ms: DurationMs, now: TimeMs) -> bool {
        let was_refusing = self.ratio > 0.0;
        let is_late = lag_ms > self.bound_ms;
        if is_late && self.was_late {
            let raise = RAISE_RATIO * lag_ms.0 as f64 / self.bound_ms.0 as f64;
            self.ratio = (self.ratio + raise.min(MAX_RAISE_RATIO)).min(1.0);
        } else if !is_late {
            // Below a hundredth it is a rounding error of the steps.
            let lowered = self.ratio - LOWER_RATIO;
            self.ratio = if lowered < 0.01 { 0.0 } else { lowered };
        }
        self.was_late = is_late;
        self.due = Some(now + LAG_INTERVAL_MS);
        self.overdue_since = None;
        for offered in &mut self.offered {
            *offered *= OFFERED_DECAY;
        }
        was_refusing != (self.ratio > 0.0)
    }

    /// Returns the part of the requests that is refused.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Decides whether a new request is refused; `point` is uniformly distributed over `u32` and selects
    /// among requests of the same priority.
    pub fn refuses(&mut self, priority: u8, point: u32, now: TimeMs) -> bool {
        let priority = usize::from(priority).min(PRIORITY_LEVELS - 1);
        self.offered[priority] += 1.0;
        let ratio = self.ratio.max(self.overdue_ratio(now));
        if ratio == 0.0 {
            return false;
        }
        let total: f64 = self.offered.iter().sum();
        let less_urgent: f64 = self.offered[priority + 1..].iter().sum();
        let refused = (total * ratio - less_urgent) / self.offered[priority];
        f64::from(point) < refused * f64::from(u32::MAX)
    }

    /// Returns the part of the requests that is refused because the next timer is overdue.
    fn overdue_ratio(&mut self, now: TimeMs) -> f64 {
        let overdue_ms = self.due.map_or(DurationMs::ZERO, |due| now.since(due));
        if overdue_ms <= self.bound_ms {
            return 0.0;
        }
        let since = *self.overdue_since.get_or_insert(now);
        if now.since(since) < CONFIRM_MS {
            return 0.0;
        }
        (OVERDUE_RATIO * overdue_ms.0 as f64 / self.bound_ms.0 as f64).min(1.0)
    }
}

//! Load shedding while the time to first token exceeds its objective.
//!
//! This protects against a self-sustaining overload. It starts, for example, when a quarter of the
//! engines are unavailable while the others load new weights: caches are cold, so prefills take
//! longer, queues grow, requests are spread over all engines, and the caches stay cold, although
//! the engines could serve the load with warm caches. Shedding the requests with the lowest
//! priority for one or two seconds drains the queues, so that the caches become warm again.

use std::collections::VecDeque;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Window over which first tokens are compared with their objectives.
const WINDOW_MS: DurationMs = DurationMs(1_000);

/// Maximum number of first tokens in the window.
const MAX_SAMPLES: usize = 256;

/// Minimum number of first tokens in the window for the shed ratio to be raised.
const MIN_SAMPLES: usize = 5;

/// Ratio of late first tokens above which the shed ratio is raised.
const RAISE_LATE_RATIO: f64 = 0.5;

/// Ratio of late first tokens below which the shed ratio is lowered.
const LOWER_LATE_RATIO: f64 = 0.25;

/// Interval between two changes of the shed ratio. The effect of a change is visible only after the
/// time to a first token.
const STEP_INTERVAL_MS: DurationMs = DurationMs(200);

/// Amount by which the shed ratio changes in one step.
const RATIO_PER_STEP: f64 = 0.06;

/// Maximum number of steps. It limits the shed ratio to 0.9, so that the remaining requests still
/// provide measurements.
const MAX_STEPS: u32 = 15;

/// Requests whose expected time to first token is within this fraction of their objective are never
/// shed.
const NEVER_SHED_RATIO: f64 = 0.4;

/// Number of priority levels; 0 is the highest priority.
const PRIORITY_LEVELS: usize = 10;

/// Time constant of the exponential decay of the offered work.
const OFFERED_DECAY_MS: f64 = 2_000.0;

#[derive(Clone, Copy, Debug)]
struct FirstToken {
    at: TimeMs,
    is_late: bool,
}

/// A request that is about to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of tokens in the prompt.
    pub tokens: Tokens,
    /// Expected time to its first token.
    pub expected_ms: DurationMs,
    /// Objective for the time to its first token.
    pub objective_ms: DurationMs,
    /// Uniformly distributed number that selects among requests of the same priority.
    pub point: u32,
}

/// Load shedding for one service in one router.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    first_tokens: VecDeque<FirstToken>,
    /// Shed ratio as a number of steps of [`RATIO_PER_STEP`]. Adding and subtracting fractions would not return
    /// exactly to zero.
    steps: u32,
    updated: TimeMs,
    offered: [f64; PRIORITY_LEVELS],
    decayed: TimeMs,
}

impl Overload {
    /// Records that a caller received its first token, or disconnected without one, after
    /// `waited_ms`.
    pub fn record_first_token(
        &mut self,
        waited_ms: DurationMs,
        objective_ms: DurationMs,
        now: TimeMs,
    ) {
        if self.first_tokens.len() == MAX_SAMPLES {
            self.first_tokens.pop_front();
        }
        self.first_tokens.push_back(FirstToken {
            at: now,
            is_late: waited_ms > objective_ms,
        });
    }

    /// Returns the shed ratio: the fraction of the offered work that is refused.
    pub fn share(&self) -> f64 {
        f64::from(self.steps) * RATIO_PER_STEP
    }

    /// Decides whether a request is shed. Returns `None` if it is to be sent. Otherwise returns its
    /// point rescaled among the shed requests, so that it is uniformly distributed again.
    pub fn reject(&mut self, offer: &Offer, now: TimeMs) -> Option<u32> {
        self.record_offer(offer, now);
        self.update_steps(now);
        let never_shed_ms = offer.objective_ms.0 as f64 * NEVER_SHED_RATIO;
        if self.steps == 0 || offer.expected_ms.0 as f64 <= never_shed_ms {
            return None;
        }
        let shed_ratio = self.priority_shed_ratio(offer.priority);
        let is_shed = f64::from(offer.point) < shed_ratio * f64::from(u32::MAX);
        is_shed.then(|| (f64::from(offer.point) / shed_ratio) as u32)
    }

    /// Returns the fraction of the requests with this priority that is shed. Requests with lower
    /// priorities are shed first.
    fn priority_shed_ratio(&self, priority: u8) -> f64 {
        let priority = priority_index(priority);
        let total: f64 = self.offered.iter().sum();
        let lower_priority: f64 = self.offered[priority + 1..].iter().sum();
        let to_shed = (total * self.share() - lower_priority).max(0.0);
        (to_shed / self.offered[priority].max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn record_offer(&mut self, offer: &Offer, now: TimeMs) {
        let decay = (-(now.since(self.decayed).0 as f64) / OFFERED_DECAY_MS).exp();
        for work in &mut self.offered {
            *work *= decay;
        }
        self.decayed = now;
        self.offered[priority_index(offer.priority)] += offer.tokens.0 as f64;
    }

    fn update_steps(&mut self, now: TimeMs) {
        if now.since(self.updated) < STEP_INTERVAL_MS {
            return;
        }
        self.updated = now;
        let is_expired = |first: &FirstToken| now.since(first.at) >= WINDOW_MS;
        while self.first_tokens.front().is_some_and(is_expired) {
            self.first_tokens.pop_front();
        }
        let count = self.first_tokens.len();
        let late = self.first_tokens.iter().filter(|first| first.is_late);
        let late_ratio = late.count() as f64 / count.max(1) as f64;
        if count >= MIN_SAMPLES && late_ratio > RAISE_LATE_RATIO {
            self.steps = (self.steps + 1).min(MAX_STEPS);
        } else if late_ratio < LOWER_LATE_RATIO {
            self.steps = self.steps.saturating_sub(1);
        }
    }
}

fn priority_index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITY_LEVELS - 1)
}

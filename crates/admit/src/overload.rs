//! Which requests are turned away while first tokens come late.
//!
//! Load pattern: a quarter of the engines are away while the others load new weights. Caches are
//! cold, so prompts take longer, queues grow, requests spread over all engines, and caches stay
//! cold. This lasts although the engines have room for the load with warm caches. Turning away the
//! least urgent part for a second or two empties the queues, and the caches become warm.

use std::collections::VecDeque;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Time over which first tokens are compared with their objectives.
const WINDOW_MS: DurationMs = DurationMs(1_000);

/// First tokens that are remembered at most.
const MAX_SAMPLES: usize = 256;

/// First tokens below which nothing is concluded.
const FEWEST_SAMPLES: usize = 5;

/// Share of late first tokens above which more is turned away.
const OVERLOADED_LATE_SHARE: f64 = 0.5;

/// Share of late first tokens below which less is turned away.
const RELIEVED_LATE_SHARE: f64 = 0.25;

/// Time between two changes of the share. The effect of a change shows after the time to a first
/// token.
const STEP_MS: DurationMs = DurationMs(200);

/// Part of the work by which the share changes.
const STEP: f64 = 0.06;

/// Steps to the greatest part of the work that is turned away, 0.9, so that first tokens go on to
/// be measured.
const MOST_STEPS: u32 = 15;

/// Part of the objective within which a request is expected to begin that is always taken.
const SOON_PART: f64 = 0.4;

/// Priorities, 0 first.
const PRIORITIES: usize = 10;

/// Time in which the weight of offered work falls to a third.
const OFFER_MS: f64 = 2_000.0;

#[derive(Clone, Copy, Debug)]
struct FirstToken {
    at: TimeMs,
    is_late: bool,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Priority, 0 first.
    pub priority: u8,
    /// Length of the prompt.
    pub tokens: Tokens,
    /// Expected time to its first token.
    pub expected_ms: DurationMs,
    /// Time within which its first token should come.
    pub objective_ms: DurationMs,
    /// Uniform number that decides among requests of the same priority.
    pub point: u32,
}

/// Work of one service that one router turns away.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    first_tokens: VecDeque<FirstToken>,
    /// Part of the work that is turned away, in steps: a sum of shares would not return to zero.
    steps: u32,
    stepped: TimeMs,
    offered: [f64; PRIORITIES],
    faded: TimeMs,
}

impl Overload {
    /// Records a first token, or that a caller left without one, after `waited_ms`.
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

    /// Returns the part of the work that is turned away.
    pub fn share(&self) -> f64 {
        f64::from(self.steps) * STEP
    }

    /// Returns the rank of a request among those that are turned away, which is uniform like its
    /// point; nothing if it is to be sent.
    pub fn reject(&mut self, offer: &Offer, now: TimeMs) -> Option<u32> {
        self.offer(offer, now);
        self.step(now);
        let soon_ms = offer.objective_ms.0 as f64 * SOON_PART;
        if self.steps == 0 || offer.expected_ms.0 as f64 <= soon_ms {
            return None;
        }
        let part = self.part(offer.priority);
        let is_turned_away = f64::from(offer.point) < part * f64::from(u32::MAX);
        is_turned_away.then(|| (f64::from(offer.point) / part) as u32)
    }

    /// Returns the part of the requests of a priority that is turned away: all less urgent ones
    /// go first.
    fn part(&self, priority: u8) -> f64 {
        let priority = index(priority);
        let all: f64 = self.offered.iter().sum();
        let less_urgent: f64 = self.offered[priority + 1..].iter().sum();
        let left = (all * self.share() - less_urgent).max(0.0);
        (left / self.offered[priority].max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn offer(&mut self, offer: &Offer, now: TimeMs) {
        let fade = (-(now.since(self.faded).0 as f64) / OFFER_MS).exp();
        for work in &mut self.offered {
            *work *= fade;
        }
        self.faded = now;
        self.offered[index(offer.priority)] += offer.tokens.0 as f64;
    }

    fn step(&mut self, now: TimeMs) {
        if now.since(self.stepped) < STEP_MS {
            return;
        }
        self.stepped = now;
        let old = |first: &FirstToken| now.since(first.at) >= WINDOW_MS;
        while self.first_tokens.front().is_some_and(old) {
            self.first_tokens.pop_front();
        }
        let count = self.first_tokens.len();
        let late = self.first_tokens.iter().filter(|first| first.is_late);
        let late_share = late.count() as f64 / count.max(1) as f64;
        if count >= FEWEST_SAMPLES && late_share > OVERLOADED_LATE_SHARE {
            self.steps = (self.steps + 1).min(MOST_STEPS);
        } else if late_share < RELIEVED_LATE_SHARE {
            self.steps = self.steps.saturating_sub(1);
        }
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}

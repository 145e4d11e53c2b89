//! Token bucket for one agent's share of a rate limit that covers the whole deployment.

use dw_base::TimeMs;

/// Minimum capacity. With less than 2 tokens, no call could pass a reserve of half the capacity.
const MIN_CAPACITY: f64 = 2.0;

/// Token bucket with a capacity of one second of the agent's rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    total_per_s: f64,
    rate_per_s: f64,
    tokens: f64,
    refilled_at: TimeMs,
}

impl Allowance {
    /// Creates a full bucket for the only agent of a deployment.
    pub(crate) fn new(total_per_s: f64, now: TimeMs) -> Self {
        Allowance {
            total_per_s,
            rate_per_s: total_per_s,
            tokens: total_per_s.max(MIN_CAPACITY),
            refilled_at: now,
        }
    }

    /// Sets this agent's rate to an equal share of the total and discards tokens above the new
    /// capacity.
    pub(crate) fn set_agent_count(&mut self, agents: usize, now: TimeMs) {
        self.refill(now);
        self.rate_per_s = self.total_per_s / agents.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes one token if at least the fraction `reserve` of the capacity remains afterwards.
    pub(crate) fn try_take(&mut self, reserve: f64, now: TimeMs) -> bool {
        self.refill(now);
        let granted = self.tokens >= 1.0 + reserve * self.capacity();
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    fn refill(&mut self, now: TimeMs) {
        let elapsed_s = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        self.rate_per_s.max(MIN_CAPACITY)
    }
}

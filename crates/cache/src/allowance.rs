//! A share of a rate that all agents of a deployment have together.

use dw_base::TimeMs;

/// Smallest capacity; with less, no call could leave half of the capacity to others.
const MIN_CAPACITY: f64 = 2.0;

/// Token bucket that holds what one agent may use in one second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    total_per_s: f64,
    rate_per_s: f64,
    tokens: f64,
    filled_at: TimeMs,
}

impl Allowance {
    /// Creates a full bucket for the only agent of a deployment.
    pub(crate) fn new(total_per_s: f64, now: TimeMs) -> Self {
        Allowance {
            total_per_s,
            rate_per_s: total_per_s,
            tokens: total_per_s.max(MIN_CAPACITY),
            filled_at: now,
        }
    }

    /// Divides the total by the number of agents; calls saved up beyond the new share are lost.
    pub(crate) fn share(&mut self, agents: usize, now: TimeMs) {
        self.fill(now);
        self.rate_per_s = self.total_per_s / agents.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes one call if that leaves at least the part `reserve` of the capacity.
    pub(crate) fn take(&mut self, reserve: f64, now: TimeMs) -> bool {
        self.fill(now);
        let granted = self.tokens >= 1.0 + reserve * self.capacity();
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }

    fn fill(&mut self, now: TimeMs) {
        let elapsed_s = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        self.rate_per_s.max(MIN_CAPACITY)
    }
}

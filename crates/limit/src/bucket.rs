//! Token bucket.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// A token bucket that starts empty.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated: TimeMs,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(rate_per_s: f64, burst: f64, now: TimeMs) -> Self {
        Bucket {
            rate_per_s,
            burst,
            level: 0.0,
            updated: now,
        }
    }

    fn refill(&mut self, now: TimeMs) {
        let added = self.rate_per_s * now.since(self.updated).as_secs_f64();
        self.level = (self.level + added).min(self.burst);
        self.updated = self.updated.max(now);
    }

    /// Takes the whole amount or nothing; returns whether it was taken.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> bool {
        self.refill(now);
        let is_available = self.level >= amount;
        if is_available {
            self.level -= amount;
        }
        is_available
    }

    /// Returns the time until an amount can be taken, if no other is taken before.
    pub fn wait_ms(&self, amount: f64, now: TimeMs) -> DurationMs {
        let added = self.rate_per_s * now.since(self.updated).as_secs_f64();
        let missing = amount - (self.level + added);
        DurationMs((missing.max(0.0) * 1_000.0 / self.rate_per_s).ceil() as u64)
    }

    /// Takes up to the wanted amount as a loan and returns the amount that was taken.
    pub fn lend(&mut self, wanted: f64, now: TimeMs) -> f64 {
        self.refill(now);
        let loan = wanted.clamp(0.0, self.level);
        self.level -= loan;
        loan
    }

    /// Changes the rate, for example when the number of routers changes.
    pub fn set_rate(&mut self, rate_per_s: f64, burst: f64, now: TimeMs) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }
}

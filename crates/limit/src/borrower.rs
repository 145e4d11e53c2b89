//! Allowance of one router under one limit.

use dw_base::DurationMs;
use dw_base::TimeMs;

use crate::bucket::Bucket;

/// Time of recent use that one loan covers.
const LOAN_MS: f64 = 100.0;

/// How long an unused loan is valid.
const VALID: DurationMs = DurationMs(1_000);

/// Time constant of the recent use.
const USE_MS: f64 = 1_000.0;

/// Allowance of one router.
#[derive(Clone, Debug)]
pub struct Borrower {
    limit_per_s: f64,
    allowance: f64,
    used_at: TimeMs,
    demand: f64,
    demand_at: TimeMs,
    asked: bool,
    fallback: Option<Bucket>,
}

impl Borrower {
    /// Creates a borrower without allowance.
    pub fn new(limit_per_s: f64, now: TimeMs) -> Self {
        Borrower {
            limit_per_s,
            allowance: 0.0,
            used_at: now,
            demand: 0.0,
            demand_at: now,
            asked: false,
            fallback: None,
        }
    }

    /// Allows or refuses a request of an amount.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> bool {
        let decay = (-(now.since(self.demand_at).0 as f64) / USE_MS).exp();
        self.demand = self.demand * decay + amount;
        self.demand_at = now;
        if now.since(self.used_at) > VALID {
            self.allowance = 0.0;
        }
        if self.allowance >= amount {
            self.allowance -= amount;
            self.used_at = now;
            return true;
        }
        let fallback = self.fallback.as_mut();
        fallback.is_some_and(|bucket| bucket.take(amount, now))
    }

    /// Returns the amount to ask the owner for, if a loan is needed and none is on its way.
    pub fn amount_to_borrow(&mut self) -> Option<f64> {
        let batch = (self.demand * LOAN_MS / USE_MS).max(1.0);
        let needed = !self.asked && self.allowance < batch;
        self.asked |= needed;
        needed.then_some(batch)
    }

    /// Takes in a loan.
    pub fn add_loan(&mut self, amount: f64, now: TimeMs) {
        self.asked = false;
        self.fallback = None;
        self.allowance += amount;
        self.used_at = now;
    }

    /// Takes back an amount that was allowed and not used.
    pub fn refund(&mut self, amount: f64) {
        self.allowance += amount;
    }

    /// Uses limit/N until a loan arrives again.
    pub fn owner_unreachable(&mut self, routers: u32, now: TimeMs) {
        self.asked = false;
        let rate = self.limit_per_s / f64::from(routers.max(1));
        let burst = (rate * LOAN_MS / 1_000.0).max(1.0);
        match &mut self.fallback {
            Some(bucket) => bucket.set_rate(rate, burst, now),
            None => self.fallback = Some(Bucket::new(rate, burst, now)),
        }
    }

    /// Forgets a loan that was asked of the previous owner.
    pub fn owner_changed(&mut self) {
        self.asked = false;
    }
}

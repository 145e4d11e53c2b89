//! Allowance of one router for one limit.

use dw_base::DurationMs;
use dw_base::TimeMs;

use crate::bucket::Bucket;
use crate::turns::Turns;

/// Duration of recent demand that one loan covers.
const LOAN_COVERAGE_MS: f64 = 100.0;

/// Duration for which an unused loan is valid.
const LOAN_VALIDITY_MS: DurationMs = DurationMs(1_000);

/// Time constant of the exponential decay of the recent demand.
const DEMAND_DECAY_MS: f64 = 1_000.0;

/// A router's share of a limit whose owner it cannot reach.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Number of routers.
    pub routers: u32,
    /// Hash of the router's name, uniformly distributed.
    pub place: u32,
}

#[derive(Clone, Debug)]
enum Fallback {
    /// A share that is worth a request or more at a time.
    Bucket(Bucket),
    /// A smaller share.
    Turns {
        turns: Turns,
        rate_per_s: f64,
        place: u32,
    },
}

impl Fallback {
    fn new(rate_per_s: f64, place: u32, now: TimeMs) -> Self {
        let burst = rate_per_s * LOAN_COVERAGE_MS / 1_000.0;
        if burst >= 1.0 {
            return Fallback::Bucket(Bucket::new(rate_per_s, burst, now));
        }
        Fallback::Turns {
            turns: Turns::default(),
            rate_per_s,
            place,
        }
    }

    /// Changes the share.
    fn set_rate(&mut self, rate_per_s: f64, place: u32, now: TimeMs) {
        let burst = rate_per_s * LOAN_COVERAGE_MS / 1_000.0;
        match self {
            Fallback::Bucket(bucket) if burst >= 1.0 => bucket.set_rate(rate_per_s, burst, now),
            Fallback::Turns {
                rate_per_s: rate, ..
            } if burst < 1.0 => *rate = rate_per_s,
            _ => *self = Fallback::new(rate_per_s, place, now),
        }
    }

    fn take(&mut self, amount: f64, now: TimeMs) -> bool {
        match self {
            Fallback::Bucket(bucket) => bucket.take(amount, now),
            Fallback::Turns {
                turns,
                rate_per_s,
                place,
            } => {
                let cycle_ms = DurationMs((amount * 1_000.0 / *rate_per_s) as u64);
                turns.take(cycle_ms, *place, now).is_ok()
            }
        }
    }
}

/// Allowance of one router for one limit.
#[derive(Clone, Debug)]
pub struct Borrower {
    limit_per_s: f64,
    allowance: f64,
    used_at: TimeMs,
    demand: f64,
    demand_at: TimeMs,
    loan_pending: bool,
    fallback: Option<Fallback>,
}

impl Borrower {
    /// Creates a borrower without an allowance.
    pub fn new(limit_per_s: f64, now: TimeMs) -> Self {
        Borrower {
            limit_per_s,
            allowance: 0.0,
            used_at: now,
            demand: 0.0,
            demand_at: now,
            loan_pending: false,
            fallback: None,
        }
    }

    /// Takes an amount from the allowance for a request; returns whether the request is allowed.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> bool {
        let decay = (-(now.since(self.demand_at).0 as f64) / DEMAND_DECAY_MS).exp();
        self.demand = self.demand * decay + amount;
        self.demand_at = now;
        if now.since(self.used_at) > LOAN_VALIDITY_MS {
            self.allowance = 0.0;
        }
        if self.allowance >= amount {
            self.allowance -= amount;
            self.used_at = now;
            return true;
        }
        let fallback = self.fallback.as_mut();
        fallback.is_some_and(|share| share.take(amount, now))
    }

    /// Returns the amount to request from the owner, if a loan is needed and none is pending.
    pub fn amount_to_borrow(&mut self) -> Option<f64> {
        let loan = (self.demand * LOAN_COVERAGE_MS / DEMAND_DECAY_MS).max(1.0);
        let needed = !self.loan_pending && self.allowance < loan;
        self.loan_pending |= needed;
        needed.then_some(loan)
    }

    /// Adds a loan to the allowance.
    pub fn add_loan(&mut self, amount: f64, now: TimeMs) {
        self.loan_pending = false;
        self.fallback = None;
        self.allowance += amount;
        self.used_at = now;
    }

    /// Adds an amount that was taken but not used back to the allowance.
    pub fn refund(&mut self, amount: f64) {
        self.allowance += amount;
    }

    /// Records that the owner is unreachable. Until the next loan, the router uses an equal share
    /// of the limit, `limit / routers`.
    pub fn owner_unreachable(&mut self, share: Share, now: TimeMs) {
        self.loan_pending = false;
        let rate_per_s = self.limit_per_s / f64::from(share.routers.max(1));
        match &mut self.fallback {
            Some(fallback) => fallback.set_rate(rate_per_s, share.place, now),
            None => self.fallback = Some(Fallback::new(rate_per_s, share.place, now)),
        }
    }

    /// Stops waiting for a loan from the previous owner, so that one can be requested from the new
    /// owner.
    pub fn owner_changed(&mut self) {
        self.loan_pending = false;
    }
}

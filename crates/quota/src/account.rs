//! Account of one organisation at its counter.
//!
//! Load pattern: an organisation sends several times its quota, as many short urgent requests and a few
//! long less urgent ones, of which one alone uses a large part of a small quota.

use dw_base::DurationMs;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;

/// Number of urgencies; 0 is the most urgent.
const URGENCIES: usize = 10;

/// Rate covered by the least amount that can be saved up, for quotas with a smaller burst.
const MIN_BURST_MS: f64 = 100.0;

/// Time constant of the exponential decay of the recent demand by urgency.
const DEMAND_DECAY_MS: f64 = 1_000.0;

/// Duration of the recent urgent demand that less urgent requests leave.
const RESERVE_MS: f64 = 500.0;

/// Largest part of the burst that less urgent requests leave to urgent ones.
const MAX_RESERVE_FRACTION: f64 = 0.5;

/// Part of the rate that less urgent requests get even if urgent ones use all of it.
const LESS_URGENT_FRACTION: f64 = 0.1;

/// Part of the burst below zero down to which less urgent requests use that part of the rate.
const LESS_URGENT_DEBT_FRACTION: f64 = 0.25;

/// Longest time after which a denied request may ask again, as the quota may have risen.
const MAX_DENIAL_MS: u64 = 2_000;

/// Amounts that an organisation may still use.
///
/// A request is granted while the balance is positive, and may make it negative: a long prompt then needs
/// no saving up, which short ones would prevent, and later requests wait until the debt is paid.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    limit: QuotaLimit,
    balance: f64,
    /// What less urgent requests may use while urgent ones use up the balance.
    less_urgent: f64,
    updated: TimeMs,
    demand: [f64; URGENCIES],
    /// From when on the balance may become negative.
    debt_from: TimeMs,
    pub(crate) asked_at: TimeMs,
}

impl Account {
    /// Creates the account of an organisation of which nothing was granted since `since`.
    pub(crate) fn new(limit: QuotaLimit, since: TimeMs, debt_from: TimeMs) -> Self {
        Account {
            limit,
            balance: 0.0,
            less_urgent: 0.0,
            updated: since,
            demand: [0.0; URGENCIES],
            debt_from,
            asked_at: since,
        }
    }

    /// Returns the quota in force.
    pub(crate) fn limit(&self) -> QuotaLimit {
        self.limit
    }

    /// Replaces the quota by that of a newer configuration.
    pub(crate) fn set_limit(&mut self, limit: QuotaLimit, now: TimeMs) {
        self.refill(now);
        self.limit = limit;
        self.balance = self.balance.min(self.burst());
    }

    /// Takes the amount of a request, or returns the time after which one of its urgency is granted.
    pub(crate) fn take(
        &mut self,
        amount: QuotaAmount,
        urgency: u8,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        self.refill(now);
        self.asked_at = now;
        let urgency = usize::from(urgency).min(URGENCIES - 1);
        self.demand[urgency] += amount.0 as f64;
        let reserve = self.reserve(urgency);
        let amount = amount.0 as f64;
        let needed = match now < self.debt_from {
            true => reserve + amount,
            false => reserve,
        };
        if self.balance > needed {
            self.balance -= amount;
            return Ok(());
        }
        let least = -self.burst() * LESS_URGENT_DEBT_FRACTION;
        if reserve > 0.0 && self.less_urgent > 0.0 && self.balance > least && now >= self.debt_from
        {
            self.balance -= amount;
            self.less_urgent -= amount;
            return Ok(());
        }
        Err(self.wait_ms(needed, reserve > 0.0))
    }

    /// Adds an amount that was taken but not used.
    pub(crate) fn give_back(&mut self, amount: QuotaAmount, now: TimeMs) {
        self.refill(now);
        self.balance = (self.balance + amount.0 as f64).min(self.burst());
    }

    fn rate_per_ms(&self) -> f64 {
        self.limit.rate.per_s() / 1_000.0
    }

    fn burst(&self) -> f64 {
        (self.limit.burst.0 as f64).max(self.rate_per_ms() * MIN_BURST_MS)
    }

    fn refill(&mut self, now: TimeMs) {
        let passed_ms = now.since(self.updated).0 as f64;
        self.updated = self.updated.max(now);
        let added = passed_ms * self.rate_per_ms();
        let burst = self.burst();
        self.balance = (self.balance + added).min(burst);
        let most = burst * LESS_URGENT_FRACTION;
        self.less_urgent = (self.less_urgent + added * LESS_URGENT_FRACTION).min(most);
        let decay = (-passed_ms / DEMAND_DECAY_MS).exp();
        for demand in &mut self.demand {
            *demand *= decay;
        }
    }

    /// Returns the balance that requests of this urgency leave to more urgent ones.
    fn reserve(&self, urgency: usize) -> f64 {
        let more_urgent: f64 = self.demand[..urgency].iter().sum();
        let recent = more_urgent * RESERVE_MS / DEMAND_DECAY_MS;
        recent.min(self.burst() * MAX_RESERVE_FRACTION)
    }

    fn wait_ms(&self, needed: f64, is_less_urgent: bool) -> DurationMs {
        let rate = self.rate_per_ms();
        let mut wait_ms = (needed - self.balance) / rate;
        if is_less_urgent {
            let share_ms = -self.less_urgent / (rate * LESS_URGENT_FRACTION);
            let least = -self.burst() * LESS_URGENT_DEBT_FRACTION;
            wait_ms = wait_ms.min(share_ms.max((least - self.balance) / rate));
        }
        DurationMs((wait_ms.max(0.0) as u64 + 1).min(MAX_DENIAL_MS))
    }
}

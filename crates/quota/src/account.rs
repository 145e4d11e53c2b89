//! Account of one organisation at its counter.
//!
//! Load pattern: an organisation sends several times its quota, as many short urgent requests and a few
//! long less urgent ones, of which one alone uses a large part of a small quota.

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_wire::QuotaHandover;

/// Number of urgencies; 0 is the most urgent.
const URGENCIES: usize = 10;

/// Rate covered by the least amount that can be saved up, for quotas with a smaller burst.
pub const MIN_BURST_MS: f64 = 100.0;

/// Time constant of the exponential decay of the recent demand by urgency.
const DEMAND_DECAY_MS: f64 = 1_000.0;

/// Duration of the recent urgent demand that less urgent requests leave.
const RESERVE_MS: f64 = 500.0;

/// Largest part of the burst that less urgent requests leave to urgent ones.
const MAX_RESERVE_FRACTION: f64 = 0.5;

/// Part of the rate that less urgent requests get even if urgent ones use all of it.
const LESS_URGENT_FRACTION: f64 = 0.1;

/// Part of the burst below zero down to which less urgent requests use that part of the rate.
pub const LESS_URGENT_DEBT_FRACTION: f64 = 0.1;

/// Time for which an account that begins grants no debts: the debt that another process may have granted is
/// then no longer in the same window as one granted here.
const NO_DEBT_MS: DurationMs = DurationMs(8_000);

/// Rate covered by what is saved up meanwhile for a request that is larger than the burst.
const MAX_SAVING_MS: f64 = 2_000.0;

/// Time for which a version of the configuration must not have been named before an older one counts: the
/// store has come back from a copy if no router knows the version any more.
const LIMIT_LAPSE_MS: DurationMs = DurationMs(5_000);

/// Longest wait that is named.
const MAX_WAIT_MS: f64 = 60_000.0;

/// Amounts that an organisation may still use.
///
/// A request is granted while the balance is positive, and may make it negative: a long prompt then needs
/// no saving up, which short ones would prevent, and later requests wait until the debt is paid.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    limit: QuotaLimit,
    /// When the version of the configuration that holds it was last named.
    named_at: TimeMs,
    balance: f64,
    /// What less urgent requests may use while urgent ones use up the balance.
    less_urgent: f64,
    updated: TimeMs,
    demand: [f64; URGENCIES],
    /// From when on the balance may become negative.
    debt_from: TimeMs,
    /// Largest request since the account began, until then.
    saved_for: f64,
    /// Part of the quota that this process grants.
    part: f64,
    /// When another process has handed it over, if one has.
    handed_at: Option<TimeMs>,
    pub(crate) asked_at: TimeMs,
}

impl Account {
    /// Creates the account of an organisation of which nothing was granted since `since`, or nothing will
    /// be until then.
    pub(crate) fn new(limit: QuotaLimit, since: TimeMs, now: TimeMs) -> Self {
        Account {
            limit,
            named_at: now,
            balance: 0.0,
            less_urgent: 0.0,
            updated: since,
            demand: [0.0; URGENCIES],
            debt_from: since + NO_DEBT_MS,
            saved_for: 0.0,
            part: 1.0,
            handed_at: None,
            asked_at: now,
        }
    }

    /// Sets the part of the quota that this process grants. While it is not the whole, the other side of a
    /// split network may grant debts, so that this one grants none.
    pub(crate) fn set_part(&mut self, part: f64, now: TimeMs) {
        if part != self.part {
            self.refill(now);
            self.part = part;
            self.balance = self.balance.min(self.burst());
        }
        if part < 1.0 {
            self.debt_from = self.debt_from.max(now + NO_DEBT_MS);
        }
    }

    /// Creates the account that another process hands over.
    pub(crate) fn from_handover(handed: &QuotaHandover, now: TimeMs) -> Self {
        Account {
            balance: handed.balance as f64,
            less_urgent: handed.less_urgent as f64,
            updated: now,
            handed_at: Some(now),
            debt_from: match handed.may_owe {
                true => now,
                false => now + NO_DEBT_MS,
            },
            ..Account::new(handed.limit, now, now)
        }
    }

    /// Returns the account as the process that counts next gets it.
    pub(crate) fn handover(mut self, org: OrgId, now: TimeMs) -> QuotaHandover {
        self.refill(now);
        QuotaHandover {
            org,
            limit: self.limit,
            balance: self.balance as i64,
            less_urgent: self.less_urgent as i64,
            may_owe: now >= self.debt_from,
        }
    }

    /// Returns the time since another process has handed it over, if one has.
    pub(crate) fn handed_ms(&self, now: TimeMs) -> Option<DurationMs> {
        self.handed_at.map(|at| now.since(at))
    }

    /// Returns whether nothing was granted yet, as another process may still count.
    pub(crate) fn is_silent(&self, now: TimeMs) -> bool {
        now < self.updated
    }

    /// Takes note of the quota that a router names; returns the one before if another is in force now.
    pub(crate) fn update_limit(&mut self, limit: QuotaLimit, now: TimeMs) -> Option<QuotaLimit> {
        let is_older = limit.version < self.limit.version;
        if is_older && now.since(self.named_at) < LIMIT_LAPSE_MS {
            return None;
        }
        self.named_at = now;
        let before = std::mem::replace(&mut self.limit, limit);
        let is_same = (limit.rate, limit.burst) == (before.rate, before.burst);
        if is_same {
            return None;
        }
        self.limit = before;
        self.refill(now);
        self.limit = limit;
        // A debt takes as long to pay as before, as it was small in proportion to the higher quota.
        let ratio = (limit.rate.per_s() / before.rate.per_s().max(f64::MIN_POSITIVE)).min(1.0);
        for amount in [&mut self.balance, &mut self.less_urgent] {
            *amount = amount.max(*amount * ratio);
        }
        self.balance = self.balance.min(self.burst());
        Some(before)
    }

    /// Takes the amount of a request, or returns the time after which one of its urgency is granted.
    pub(crate) fn take(
        &mut self,
        amount: QuotaAmount,
        urgency: u8,
        now: TimeMs,
    ) -> Result<(), DurationMs> {
        let amount = amount.0 as f64;
        self.saved_for = self.saved_for.max(amount);
        self.refill(now);
        self.asked_at = now;
        let urgency = usize::from(urgency).min(URGENCIES - 1);
        self.demand[urgency] += amount;
        let reserve = self.reserve(urgency);
        let may_owe = now >= self.debt_from;
        let needed = match may_owe {
            true => reserve,
            false => (reserve + amount).min(self.capacity(now)),
        };
        if self.balance > needed || (!may_owe && self.balance >= needed && needed > 0.0) {
            self.balance -= amount;
            return Ok(());
        }
        let least = -self.burst() * LESS_URGENT_DEBT_FRACTION;
        if reserve > 0.0 && self.less_urgent > 0.0 && self.balance > least && may_owe {
            self.balance -= amount;
            self.less_urgent -= amount;
            return Ok(());
        }
        Err(self.wait_ms(needed, reserve > 0.0, now))
    }

    /// Adds an amount that was taken but not used.
    pub(crate) fn give_back(&mut self, amount: QuotaAmount, now: TimeMs) {
        self.refill(now);
        self.balance = (self.balance + amount.0 as f64).min(self.burst());
    }

    fn rate_per_ms(&self) -> f64 {
        self.limit.rate.per_s() * self.part / 1_000.0
    }

    fn burst(&self) -> f64 {
        let burst = self.limit.burst.0 as f64 * self.part;
        burst.max(self.rate_per_ms() * MIN_BURST_MS)
    }

    /// Returns how much can be saved up.
    fn capacity(&self, now: TimeMs) -> f64 {
        let saved = match now < self.debt_from {
            true => self.saved_for.min(self.rate_per_ms() * MAX_SAVING_MS),
            false => 0.0,
        };
        self.burst().max(saved)
    }

    fn refill(&mut self, now: TimeMs) {
        let passed_ms = now.since(self.updated).0 as f64;
        let capacity = self.capacity(now);
        self.updated = self.updated.max(now);
        let added = passed_ms * self.rate_per_ms();
        let burst = self.burst();
        self.balance = (self.balance + added).min(capacity);
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

    fn wait_ms(&self, needed: f64, is_less_urgent: bool, now: TimeMs) -> DurationMs {
        let rate = self.rate_per_ms();
        if rate == 0.0 {
            return DurationMs(MAX_WAIT_MS as u64);
        }
        let mut wait_ms = (needed - self.balance) / rate;
        if is_less_urgent && now >= self.debt_from {
            let share_ms = -self.less_urgent / (rate * LESS_URGENT_FRACTION);
            let least = -self.burst() * LESS_URGENT_DEBT_FRACTION;
            wait_ms = wait_ms.min(share_ms.max((least - self.balance) / rate));
        }
        let begins_ms = self.updated.since(now);
        begins_ms + DurationMs(wait_ms.clamp(0.0, MAX_WAIT_MS) as u64 + 1)
    }
}

//! Counts what organisations use of their quotas.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaResult;
use dw_wire::QuotaReturn;

use crate::account::Account;
use crate::order::first_counter;

/// Longest time between two calls of [`Counter::tick`] of a process that was not stopped meanwhile.
const MAX_TICK_GAP_MS: DurationMs = DurationMs(1_500);

/// Longest time for which two processes count for the same organisation: a process that starts, or is
/// reachable again, is heard by the others within it.
pub const MAX_OVERLAP_MS: DurationMs = DurationMs(1_000);

/// Time after which an account that nobody asks for is dropped.
const IDLE_EXPIRY_MS: DurationMs = DurationMs(30_000);

/// Maximum number of accounts.
const MAX_ACCOUNTS: usize = 8_192;

/// A change of a quota, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitChange {
    /// Quota before; absent for a new account.
    pub before: Option<QuotaLimit>,
    /// Quota now.
    pub after: QuotaLimit,
}

/// Counter of one process.
///
/// Processes take over from each other without an agreement. An account begins with what the quota has
/// added since another process can have counted last, so that no second burst is granted.
#[derive(Clone, Debug)]
pub struct Counter {
    own: SocketAddr,
    accounts: HashMap<OrgId, Account>,
    live: Vec<SocketAddr>,
    /// Since when the same processes are live.
    unchanged_since: TimeMs,
    ticked_at: TimeMs,
}

impl Counter {
    /// Creates the counter of the process beside the engine at `own`.
    pub fn new(own: SocketAddr, now: TimeMs) -> Self {
        Counter {
            own,
            accounts: HashMap::new(),
            live: vec![own],
            unchanged_since: now,
            ticked_at: now,
        }
    }

    /// Takes note of the live processes, this one included; must be called at least every second.
    pub fn tick(&mut self, live: Vec<SocketAddr>, now: TimeMs) {
        self.restart_after_gap(now);
        if live != self.live {
            self.live = live;
            self.unchanged_since = now;
        }
        self.accounts
            .retain(|_, account| now.since(account.asked_at) < IDLE_EXPIRY_MS);
    }

    /// Drops all accounts if this process was stopped, as another has counted meanwhile.
    fn restart_after_gap(&mut self, now: TimeMs) {
        if now.since(self.ticked_at) > MAX_TICK_GAP_MS {
            self.accounts.clear();
            self.unchanged_since = now;
        }
        self.ticked_at = now;
    }

    /// Decides about a request, and returns a change of the quota for the log.
    pub fn ask(
        &mut self,
        question: &QuotaQuestion,
        now: TimeMs,
    ) -> (QuotaResult, Option<LimitChange>) {
        self.restart_after_gap(now);
        let first = first_counter(&question.org, self.live.iter().copied());
        if first != Some(self.own) {
            self.accounts.remove(&question.org);
            return (QuotaResult::NotCounter, None);
        }
        let Some((account, change)) = self.account(question, now) else {
            return (QuotaResult::NotCounter, None);
        };
        let result = match account.take(question.amount, question.urgency, now) {
            Ok(()) => QuotaResult::Granted,
            Err(wait_ms) => QuotaResult::Denied(wait_ms),
        };
        (result, change)
    }

    /// Takes back what was granted to a request that did not run.
    pub fn give_back(&mut self, returned: &QuotaReturn, now: TimeMs) {
        if let Some(account) = self.accounts.get_mut(&returned.org) {
            account.give_back(returned.amount, now);
        }
    }

    /// Returns the number of accounts.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    fn account(
        &mut self,
        question: &QuotaQuestion,
        now: TimeMs,
    ) -> Option<(&mut Account, Option<LimitChange>)> {
        let limit = question.limit;
        if !self.accounts.contains_key(&question.org) {
            if self.accounts.len() >= MAX_ACCOUNTS {
                return None;
            }
            let since = self.unchanged_since;
            let account = Account::new(limit, since, since + MAX_OVERLAP_MS);
            self.accounts.insert(question.org.clone(), account);
            let change = LimitChange {
                before: None,
                after: limit,
            };
            return Some((self.accounts.get_mut(&question.org)?, Some(change)));
        }
        let account = self.accounts.get_mut(&question.org)?;
        let before = account.limit();
        let is_newer = limit.version > before.version
            && (limit.rate, limit.burst) != (before.rate, before.burst);
        if is_newer {
            account.set_limit(limit, now);
        }
        let change = is_newer.then_some(LimitChange {
            before: Some(before),
            after: limit,
        });
        Some((account, change))
    }
}

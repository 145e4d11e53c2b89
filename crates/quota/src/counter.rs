//! Counts what organisations use of their quotas.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_wire::QuotaHandover;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaResult;
use dw_wire::QuotaReturn;

use crate::account::Account;
use crate::order::counters;
use crate::order::first_counter;
use crate::recent_grants::RecentGrants;
use crate::split::GrantedPart;

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
    /// Part of each quota that the live processes grant.
    part: GrantedPart,
    /// Since when the same processes are live, without the changes soon after the start.
    unchanged_since: TimeMs,
    /// When this process started.
    started_at: TimeMs,
    ticked_at: TimeMs,
    recent_grants: RecentGrants,
}

impl Counter {
    /// Memory of an account, without the name of the organisation.
    pub const ACCOUNT_BYTES: usize = size_of::<(OrgId, Account)>();

    /// Memory of a question that was granted lately.
    pub const RECENT_GRANT_BYTES: usize = RecentGrants::GRANT_BYTES;

    /// Creates the counter of the process beside the engine at `own`.
    pub fn new(own: SocketAddr, now: TimeMs) -> Self {
        Counter {
            own,
            accounts: HashMap::new(),
            live: vec![own],
            part: GrantedPart::default(),
            unchanged_since: now,
            started_at: now,
            ticked_at: now,
            recent_grants: RecentGrants::default(),
        }
    }

    /// Takes note of the live processes that may count, this one included if it may, and of how many are
    /// registered, live or not; must be called at least every second.
    ///
    /// Returns the accounts that another process counts from now on, with that process.
    pub fn tick(
        &mut self,
        live: Vec<SocketAddr>,
        registered: usize,
        now: TimeMs,
    ) -> Vec<(SocketAddr, QuotaHandover)> {
        self.restart_after_gap(now);
        self.part.update(live.len(), registered, now);
        let mut moved = Vec::new();
        if live != self.live {
            let old = std::mem::replace(&mut self.live, live);
            // A process that counted before this one started hears it as soon as it is heard.
            if now > self.started_at + MAX_OVERLAP_MS {
                self.unchanged_since = now;
            }
            moved = self.remove_moved(now);
            self.drop_doubtful(&old, now);
        }
        self.accounts
            .retain(|_, account| now.since(account.asked_at) < IDLE_EXPIRY_MS);
        for account in self.accounts.values_mut() {
            account.set_part(self.part.get(), now);
        }
        self.recent_grants.expire(now);
        moved
    }

    /// Removes the accounts for which another process comes first now.
    fn remove_moved(&mut self, now: TimeMs) -> Vec<(SocketAddr, QuotaHandover)> {
        let mut moved = Vec::new();
        for (org, account) in std::mem::take(&mut self.accounts) {
            match first_counter(&org, self.live.iter().copied()) {
                Some(first) if first != self.own => {
                    moved.push((first, account.handover(org, now)));
                }
                _ => {
                    self.accounts.insert(org, account);
                }
            }
        }
        moved
    }

    /// Drops the accounts for which a process that has become live comes second: it has counted for them
    /// if it did not hear this one, unless it has just handed them over.
    fn drop_doubtful(&mut self, old: &[SocketAddr], now: TimeMs) {
        let is_new = |addr: &SocketAddr| !old.contains(addr);
        if !self.live.iter().any(is_new) {
            return;
        }
        let live = &self.live;
        self.accounts.retain(|org, account| {
            if account.handed_ms(now).is_some_and(|ms| ms < MAX_OVERLAP_MS) {
                return true;
            }
            let [_, second] = counters(org, live.iter().copied());
            !second.as_ref().is_some_and(is_new)
        });
    }

    /// Goes on with the account of a process that has ceased to count, unless this one has granted
    /// something for the organisation since it began itself. Returns whether it does.
    pub fn take_over(&mut self, handed: &QuotaHandover, now: TimeMs) -> bool {
        self.restart_after_gap(now);
        let known = self.accounts.get(&handed.org);
        let has_begun = known.is_some_and(|account| !account.is_silent(now));
        if has_begun || (known.is_none() && self.accounts.len() >= MAX_ACCOUNTS) {
            return false;
        }
        let mut account = Account::from_handover(handed, now);
        account.set_part(self.part.get(), now);
        self.accounts.insert(handed.org.clone(), account);
        true
    }

    /// Drops all accounts if this process was stopped, as another has counted meanwhile.
    fn restart_after_gap(&mut self, now: TimeMs) {
        if now.since(self.ticked_at) > MAX_TICK_GAP_MS {
            self.accounts.clear();
            self.unchanged_since = now;
        }
        self.ticked_at = now;
    }

    /// Decides about a request of the router at `from`, and returns a change of the quota for the log.
    pub fn ask(
        &mut self,
        from: SocketAddr,
        question: &QuotaQuestion,
        now: TimeMs,
    ) -> (QuotaResult, Option<LimitChange>) {
        self.restart_after_gap(now);
        if self.recent_grants.contains(from, question.number) {
            return (QuotaResult::Granted, None);
        }
        let Some((account, change)) = self.account(question, now) else {
            return (QuotaResult::NotCounter, None);
        };
        let result = match account.take(question.amount, question.urgency, now) {
            Ok(()) => QuotaResult::Granted,
            Err(wait_ms) => QuotaResult::Denied(wait_ms),
        };
        if result == QuotaResult::Granted {
            self.recent_grants.insert(from, question.number, now);
        }
        (result, change)
    }

    /// Takes back what was granted to a request that did not run, or that did not get the answer.
    pub fn give_back(&mut self, from: SocketAddr, returned: &QuotaReturn, now: TimeMs) {
        if let Some(number) = returned.number {
            if !self.recent_grants.remove(from, number) {
                return;
            }
        }
        if let Some(account) = self.accounts.get_mut(&returned.org) {
            account.give_back(returned.amount, now);
        }
    }

    /// Returns the part of each quota that this process grants.
    pub fn part(&self) -> f64 {
        self.part.get()
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
        if self.accounts.contains_key(&question.org) {
            let account = self.accounts.get_mut(&question.org)?;
            let before = account.update_limit(limit, now);
            let change = before.map(|before| LimitChange {
                before: Some(before),
                after: limit,
            });
            return Some((account, change));
        }
        let first = first_counter(&question.org, self.live.iter().copied());
        if first != Some(self.own) || self.accounts.len() >= MAX_ACCOUNTS {
            return None;
        }
        let mut account = Account::new(limit, self.unchanged_since + MAX_OVERLAP_MS, now);
        account.set_part(self.part.get(), now);
        let change = LimitChange {
            before: None,
            after: limit,
        };
        let account = self.accounts.entry(question.org.clone()).or_insert(account);
        Some((account, Some(change)))
    }
}

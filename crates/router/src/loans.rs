//! Limits of organisations, shared by all routers through loans from an owner.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::OrgId;
use dw_base::PrefixKey;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_config::Config;
use dw_config::ConfigSource;
use dw_config::Limit;
use dw_config::Object;
use dw_config::ObjectKind;
use dw_limit::owner;
use dw_limit::Borrower;
use dw_limit::Bucket;
use dw_limit::Share;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use sha2::Digest;
use sha2::Sha256;

use crate::filter::limit::LimitExceeded;
use crate::filter::limit::LimitRequest;
use crate::filter::limit::Limiter;
use crate::handle::NodeHandle;

/// Longest wait for a loan. Data centres are 1.5 ms apart, and a longer wait refuses requests that
/// limit/N would allow.
const LOAN_WAIT: Duration = Duration::from_millis(100);

/// How long a loan may be used (section 5.3 of the design).
const VALID_MS: DurationMs = DurationMs(1_000);

/// Shortest and longest time after which more is asked for.
const ASK_AGAIN_MS: (u64, u64) = (10, 1_000);

/// Longest time that a refused caller is told to wait.
const MOST_RETRY_MS: u64 = 60_000;

/// Name of a limit.
type Key = (OrgId, Option<ServiceId>);

/// Use of one quantity, requests or tokens, of one limit at this router.
#[derive(Debug)]
struct Line {
    per_s: f64,
    borrower: Borrower,
    /// Amount of the newest request, which a loan must cover.
    unit: f64,
    /// Allowed beyond the loans, and repaid from the next one. One request may be owed, so that
    /// the first request after a pause need not wait for a loan.
    debt: f64,
}

impl Line {
    fn new(per_s: f64, now: TimeMs) -> Self {
        Line {
            per_s,
            borrower: Borrower::new(per_s, now),
            unit: 0.0,
            debt: 0.0,
        }
    }

    fn take(&mut self, amount: f64, now: TimeMs) -> bool {
        self.unit = amount;
        if self.borrower.take(amount, now) {
            return true;
        }
        let owes = self.debt > 0.0;
        if !owes {
            self.debt = amount;
        }
        !owes
    }

    /// Returns allowance that was not used.
    fn refund(&mut self, amount: f64) {
        let repaid = amount.min(self.debt);
        self.debt -= repaid;
        self.borrower.refund(amount - repaid);
    }

    fn wanted(&mut self) -> f64 {
        let wanted = self.borrower.amount_to_borrow();
        wanted.map_or(0.0, |wanted| wanted.max(self.unit) + self.debt)
    }

    fn add_loan(&mut self, amount: f64, now: TimeMs) {
        let repaid = amount.min(self.debt);
        self.debt -= repaid;
        self.borrower.add_loan(amount - repaid, now);
    }

    fn retry_after(&self, amount: f64) -> u64 {
        let ms = (amount + self.debt) * 1_000.0 / self.per_s.max(f64::MIN_POSITIVE);
        (ms.ceil() as u64).clamp(ASK_AGAIN_MS.0, MOST_RETRY_MS)
    }
}

/// Use of one limit at this router.
#[derive(Debug)]
struct Use {
    requests: Option<Line>,
    tokens: Option<Line>,
    ask_at: TimeMs,
}

impl Use {
    fn new(limit: &Limit, now: TimeMs) -> Self {
        Use {
            requests: limit.requests_per_s.map(|rate| Line::new(rate.get(), now)),
            tokens: limit.tokens_per_s.map(|rate| Line::new(rate.get(), now)),
            ask_at: now,
        }
    }

    /// Returns the lines with what a request takes of them.
    fn lines(&mut self, tokens: Tokens) -> impl Iterator<Item = (&mut Line, f64)> {
        let requests = self.requests.iter_mut().map(|line| (line, 1.0));
        let tokens = self.tokens.iter_mut().map(move |l| (l, tokens.0 as f64));
        requests.chain(tokens)
    }

    /// Returns the requests and tokens to ask the owner for.
    fn wanted(&mut self, now: TimeMs) -> Option<(f64, f64)> {
        if now < self.ask_at {
            return None;
        }
        let requests = self.requests.as_mut().map_or(0.0, Line::wanted);
        let tokens = self.tokens.as_mut().map_or(0.0, Line::wanted);
        (requests > 0.0 || tokens > 0.0).then_some((requests, tokens))
    }

    fn add_loan(&mut self, (requests, tokens): (f64, f64), loan: &Loan, now: TimeMs) {
        if let Some(line) = self.requests.as_mut().filter(|_| requests > 0.0) {
            line.add_loan(loan.requests, now);
        }
        if let Some(line) = self.tokens.as_mut().filter(|_| tokens > 0.0) {
            line.add_loan(loan.tokens, now);
        }
        if loan.requests < requests || loan.tokens < tokens {
            self.ask_at = now + loan.retry_after_ms;
        }
    }

    fn unreachable(&mut self, share: Share, now: TimeMs) {
        for line in self.requests.iter_mut().chain(&mut self.tokens) {
            line.borrower.owner_unreachable(share, now);
        }
        self.ask_at = now + DurationMs(LOAN_WAIT.as_millis() as u64);
    }
}

/// Allowance of a limit that this router owns.
#[derive(Debug)]
struct Owned {
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
}

impl Owned {
    /// Creates empty buckets that hold at most the allowance of one second.
    fn new(limit: &Limit, now: TimeMs) -> Self {
        let bucket = |per_s: f64| Bucket::new(per_s, per_s.max(1.0), now);
        Owned {
            requests: limit.requests_per_s.map(|rate| bucket(rate.get())),
            tokens: limit.tokens_per_s.map(|rate| bucket(rate.get())),
        }
    }

    fn lend(&mut self, limit: &Limit, (requests, tokens): (f64, f64), now: TimeMs) -> Loan {
        let lend = |bucket: &mut Option<Bucket>, wanted: f64| {
            let bucket = bucket.as_mut();
            bucket.map_or(wanted, |bucket| bucket.lend(wanted, now))
        };
        let loan_requests = lend(&mut self.requests, requests);
        let loan_tokens = lend(&mut self.tokens, tokens);
        let wait = |rate: Option<f64>, missing: f64| rate.map_or(0.0, |rate| missing / rate);
        let wait_s = wait(
            limit.requests_per_s.map(|r| r.get()),
            requests - loan_requests,
        )
        .max(wait(
            limit.tokens_per_s.map(|r| r.get()),
            tokens - loan_tokens,
        ));
        let retry_ms = ((wait_s * 1_000.0) as u64).clamp(ASK_AGAIN_MS.0, ASK_AGAIN_MS.1);
        Loan {
            requests: loan_requests,
            tokens: loan_tokens,
            valid_ms: VALID_MS,
            retry_after_ms: DurationMs(retry_ms),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// Configuration from which `limits` was made.
    of: Option<Arc<Config>>,
    /// Limits by organisation, made anew from each configuration, so that a request does not
    /// search all objects.
    limits: HashMap<OrgId, Vec<Limit>>,
    uses: HashMap<Key, Use>,
    owned: HashMap<Key, Owned>,
}

impl State {
    fn update(&mut self, config: &Arc<Config>) {
        if self.of.as_ref().is_some_and(|of| Arc::ptr_eq(of, config)) {
            return;
        }
        self.of = Some(config.clone());
        let old = std::mem::take(&mut self.limits);
        for object in config.of_kind(ObjectKind::Limit) {
            if let Object::Limit(limit) = object {
                let limits = self.limits.entry(limit.org.clone()).or_default();
                limits.push(limit.clone());
            }
        }
        let limits = &self.limits;
        let unchanged = |(org, service): &Key| {
            let of = |limits: &HashMap<OrgId, Vec<Limit>>| {
                let mut limits = limits.get(org)?.iter();
                limits.find(|limit| limit.service == *service).cloned()
            };
            of(&old) == of(limits)
        };
        self.uses.retain(|key, _| unchanged(key));
        self.owned.retain(|key, _| unchanged(key));
    }

    fn limit(&self, org: &OrgId, service: Option<&ServiceId>) -> Option<Limit> {
        let mut limits = self.limits.get(org)?.iter();
        let limit = limits.find(|limit| limit.service.as_ref() == service);
        limit.cloned()
    }

    /// Returns the limits that apply to a request.
    fn applying(&self, org: &OrgId, service: &ServiceId) -> Vec<Limit> {
        let limits = self.limits.get(org).into_iter().flatten();
        limits
            .filter(|limit| limit.service.as_ref().is_none_or(|s| s == service))
            .cloned()
            .collect()
    }
}

/// Grants use within limits that all routers share.
pub(crate) struct Loans {
    state: Arc<Mutex<State>>,
    config: Arc<dyn ConfigSource>,
    handle: Arc<NodeHandle>,
    node: NodeId,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn key(limit: &Limit) -> Key {
    (limit.org.clone(), limit.service.clone())
}

impl Loans {
    pub(crate) fn new(
        config: Arc<dyn ConfigSource>,
        handle: Arc<NodeHandle>,
        node: NodeId,
    ) -> Self {
        Loans {
            state: Arc::default(),
            config,
            handle,
            node,
        }
    }

    /// Returns the owner of an organisation's limits, and the number of routers.
    fn owner(&self, org: &OrgId) -> (NodeId, u32) {
        let mut routers = self.handle.routers();
        if !routers.contains(&self.node) {
            routers.push(self.node.clone());
        }
        let digest = Sha256::digest(org.as_str().as_bytes());
        let hash = digest.iter().take(16);
        let hash = hash.fold(0u128, |hash, byte| hash << 8 | u128::from(*byte));
        let chosen = owner(hash, routers.iter()).unwrap_or(&self.node).clone();
        (chosen, u32::try_from(routers.len()).unwrap_or(u32::MAX))
    }

    /// Gets allowance for all limits that run low: from this router's own buckets if it is the
    /// owner, by a call that no request waits for otherwise.
    fn refill(&self, state: &mut State, limits: &[Limit], now: TimeMs) {
        let mut found = None;
        for limit in limits {
            let key = key(limit);
            let entry = state.uses.entry(key.clone());
            let used = entry.or_insert_with(|| Use::new(limit, now));
            let Some(wanted) = used.wanted(now) else {
                continue;
            };
            // All limits of an organisation have the same owner.
            let (owner, routers) = found.get_or_insert_with(|| self.owner(&limit.org));
            if *owner == self.node {
                let entry = state.owned.entry(key);
                let owned = entry.or_insert_with(|| Owned::new(limit, now));
                let loan = owned.lend(limit, wanted, now);
                used.add_loan(wanted, &loan, now);
            } else {
                state.owned.remove(&key);
                self.borrow(owner.clone(), *routers, key, wanted);
            }
        }
    }

    fn borrow(&self, owner: NodeId, routers: u32, key: Key, wanted: (f64, f64)) {
        let request = LoanRequest {
            router: self.node.clone(),
            org: key.0.clone(),
            service: key.1.clone(),
            requests: wanted.0,
            tokens: wanted.1,
        };
        let share = Share {
            routers,
            place: (PrefixKey::root(self.node.as_str()).0 >> 32) as u32,
        };
        let (state, handle) = (self.state.clone(), self.handle.clone());
        tokio::spawn(async move {
            let borrowing = handle.borrow_from(&owner, request);
            let answer = tokio::time::timeout(LOAN_WAIT, borrowing).await;
            let now = handle.now();
            let mut state = lock(&state);
            let Some(used) = state.uses.get_mut(&key) else {
                return;
            };
            match answer {
                Ok(Ok(Ok(loan))) => used.add_loan(wanted, &loan, now),
                Ok(Ok(Err(denied))) => {
                    log::info!(owner:% = owner, reason:% = denied; "loan denied");
                    used.unreachable(share, now);
                }
                Ok(Err(_)) | Err(_) => used.unreachable(share, now),
            }
        });
    }
}

impl Limiter for Loans {
    fn admit(&self, request: &LimitRequest) -> Result<(), LimitExceeded> {
        let now = request.now;
        let mut state = lock(&self.state);
        state.update(&self.config.current());
        let limits = state.applying(&request.org, &request.service);
        self.refill(&mut state, &limits, now);
        let mut taken = Vec::new();
        let mut refused = None;
        for limit in &limits {
            let key = key(limit);
            let Some(used) = state.uses.get_mut(&key) else {
                continue;
            };
            for (index, (line, amount)) in used.lines(request.tokens).enumerate() {
                match line.take(amount, now) {
                    true => taken.push((key.clone(), index)),
                    false => refused = refused.max(Some(line.retry_after(amount))),
                }
            }
        }
        if refused.is_some() {
            for (key, index) in taken {
                let used = state.uses.get_mut(&key);
                let line = used.and_then(|used| used.lines(request.tokens).nth(index));
                if let Some((line, amount)) = line {
                    line.refund(amount);
                }
            }
        }
        self.refill(&mut state, &limits, now);
        match refused {
            Some(ms) => Err(LimitExceeded {
                retry_after_ms: DurationMs(ms),
            }),
            None => Ok(()),
        }
    }

    fn refund(&self, request: &LimitRequest, unused: Tokens) {
        let mut state = lock(&self.state);
        for limit in state.applying(&request.org, &request.service) {
            let Some(used) = state.uses.get_mut(&key(&limit)) else {
                continue;
            };
            if let Some(line) = &mut used.tokens {
                line.refund(unused.0 as f64);
            }
            // Only a request that was not run has used none of its tokens.
            if let Some(line) = used.requests.as_mut().filter(|_| unused == request.tokens) {
                line.refund(1.0);
            }
        }
    }

    fn lend(&self, request: &LoanRequest, now: TimeMs) -> Result<Loan, LoanDenied> {
        let (owner, _) = self.owner(&request.org);
        let mut state = lock(&self.state);
        if owner != self.node {
            // A later owner starts without a burst, also if it was the owner before.
            let key = (request.org.clone(), request.service.clone());
            state.owned.remove(&key);
            return Err(LoanDenied::NotOwner { owner: Some(owner) });
        }
        state.update(&self.config.current());
        let limit = state.limit(&request.org, request.service.as_ref());
        let limit = limit.ok_or(LoanDenied::NoLimit)?;
        let entry = state.owned.entry(key(&limit));
        let owned = entry.or_insert_with(|| Owned::new(&limit, now));
        Ok(owned.lend(&limit, (request.requests, request.tokens), now))
    }
}

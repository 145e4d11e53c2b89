//! Quotas of organisations: questions to the sidecars that count them.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_admit::retry_after_limit;
use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::TimeMs;
use dw_fleet::router_hash;
use dw_member::Directory;
use dw_port::RequestHead;
use dw_quota::Claim;
use dw_quota::Engines;
use dw_quota::Isolated;
use dw_quota::Requester;
use dw_route::Organisation;
use dw_route::Resolved;
use dw_route::Route;
use dw_wire::Datagram;
use dw_wire::QuotaAnswer;
use dw_wire::QuotaResult;
use tokio::net::UdpSocket;

use crate::answer::GatewayAnswer;
use crate::context::RequestContext;
use crate::questions::Question;
use crate::questions::Questions;
use crate::request::request_hash;
use crate::shared::Shared;

/// Times that a request waits for a counter's answer before it asks once more, and before it takes a turn:
/// single datagrams are lost, and a slow sidecar answers late.
const ANSWER_TIMEOUTS_MS: [DurationMs; 2] = [DurationMs(40), DurationMs(80)];

/// Quotas as this gateway knows them.
pub(crate) struct Quotas {
    requester: RefCell<Requester>,
    questions: Questions<QuotaResult>,
    engines: RefCell<Engines>,
}

impl Quotas {
    /// Creates the state in which nothing was asked.
    pub(crate) fn new(socket: Rc<UdpSocket>, inner_port: u16) -> Self {
        Quotas {
            requester: RefCell::default(),
            questions: Questions::new(socket, inner_port),
            engines: RefCell::default(),
        }
    }

    /// Passes the answer of a counter on to the request that waits for it.
    pub(crate) fn record_answer(&self, answer: QuotaAnswer) {
        // A request that has given up has withdrawn its question.
        self.questions.record_answer(answer.number, answer.result);
    }

    /// Takes note of the registered engines, whose sidecars count.
    pub(crate) fn set_engines(&self, directory: &Directory) {
        let engines = directory.engines().map(|entry| entry.registration.addr);
        self.engines.borrow_mut().set(engines);
    }

    /// Removes what is known about organisations without a quota.
    pub(crate) fn retain(&self, limited: &HashSet<&OrgId>) {
        let is_limited = |org: &OrgId| limited.contains(org);
        self.requester.borrow_mut().retain(is_limited);
    }
}

/// Returns what a request uses of its organisation's quota, if there is one.
fn claim(organisation: &Organisation, route: &Route, head: &RequestHead) -> Option<Claim> {
    let quota = organisation.quota.as_ref()?;
    Some(Claim {
        org: organisation.org.clone(),
        limit: quota.limit,
        amount: quota.amount(head.declared_tokens),
        // The priority of the organisation is the same for all of its requests.
        urgency: route.priority,
    })
}

/// What a request may use of its organisation's quota for one try.
///
/// What is held when it is dropped is given back.
pub(crate) struct Grant {
    shared: Rc<Shared>,
    claim: Option<Claim>,
    is_held: bool,
}

impl Grant {
    /// Creates the state of a request that was granted nothing.
    pub(crate) fn new(shared: &Rc<Shared>, context: &RequestContext) -> Self {
        let organisation = context.organisation.as_ref();
        Grant {
            shared: shared.clone(),
            claim: organisation.and_then(|organisation| {
                claim(organisation, &context.route, &context.request_head)
            }),
            is_held: false,
        }
    }

    /// Gets what the next try uses, unless it is held already.
    ///
    /// # Errors
    ///
    /// Returns the answer to the caller if the quota is used up.
    pub(crate) async fn acquire(&mut self, context: &RequestContext) -> Result<(), GatewayAnswer> {
        let Some(claim) = self.claim.as_ref().filter(|_| !self.is_held) else {
            return Ok(());
        };
        let shared = &self.shared;
        let result = ask(shared, claim).await;
        let Err(wait_ms) = result else {
            self.is_held = true;
            return Ok(());
        };
        let now = shared.now();
        if shared.metrics.may_log_denial(now) {
            log::info!(
                request_id = context.request_head.request_id.as_str(), org:% = claim.org,
                amount:% = claim.amount, urgency = claim.urgency, rate:% = claim.limit.rate,
                config_version = claim.limit.version.0, wait_ms = wait_ms.0;
                "request exceeds the quota of its organisation"
            );
        }
        Err(GatewayAnswer::OverQuota {
            retry_after_ms: retry_after_limit(
                context.remaining(now),
                request_hash(&context.request_head.request_id),
                wait_ms,
            ),
        })
    }

    /// Records that a try starts: unless it is known not to have run, another one asks again.
    pub(crate) fn spend(&mut self) {
        self.is_held = false;
    }

    /// Records that the try did not run, so that the next one may use what was granted.
    pub(crate) fn restore(&mut self) {
        self.is_held = true;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let Some(claim) = self.claim.take().filter(|_| self.is_held) else {
            return;
        };
        if let Some(counter) = counter(&self.shared, &claim.org) {
            let returned = Datagram::QuotaReturn(claim.give_back(None));
            self.shared.quotas.questions.tell(counter, &returned);
        }
    }
}

/// A question to counters that is withdrawn unless it is answered: the request has been dropped or goes on
/// without the answer, which may say that the amount is granted.
struct Asking<'a> {
    shared: &'a Shared,
    claim: &'a Claim,
    question: Question<'a, QuotaResult>,
    unanswered: Vec<SocketAddr>,
}

impl<'a> Asking<'a> {
    fn new(shared: &'a Shared, claim: &'a Claim) -> Self {
        Asking {
            shared,
            claim,
            question: shared.quotas.questions.begin(),
            unanswered: Vec::new(),
        }
    }

    async fn ask(&mut self, counter: SocketAddr, timeout_ms: DurationMs) -> Option<QuotaResult> {
        if !self.unanswered.contains(&counter) {
            self.unanswered.push(counter);
        }
        let datagram = Datagram::QuotaQuestion(self.claim.question(self.question.number));
        let answer = self.question.ask(counter, timeout_ms, &datagram).await?;
        self.unanswered.clear();
        Some(answer)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        for counter in &self.unanswered {
            let withdrawn = self.claim.give_back(Some(self.question.number));
            let datagram = Datagram::QuotaReturn(withdrawn);
            self.shared.quotas.questions.tell(*counter, &datagram);
        }
    }
}

/// What is known of a quota before its counter is asked.
pub(crate) enum Foreseen {
    /// The organisation has no quota.
    Unlimited,
    /// The quota is known to be used up for this time.
    Denied(Claim, DurationMs),
    /// The sidecar beside this engine is asked, or nobody.
    Asked(Claim, Option<SocketAddr>),
}

/// Returns what is known of the quota of a request.
pub(crate) fn foresee(shared: &Shared, context: &RequestContext) -> Foreseen {
    let organisation = context.organisation.as_ref();
    let claim = organisation
        .and_then(|organisation| claim(organisation, &context.route, &context.request_head));
    let Some(claim) = claim else {
        return Foreseen::Unlimited;
    };
    let now = shared.now();
    let denied_until = shared.quotas.requester.borrow().denied_until(&claim, now);
    match denied_until {
        Some(until) => Foreseen::Denied(claim, until.since(now)),
        None => {
            let counter = counter(shared, &claim.org);
            Foreseen::Asked(claim, counter)
        }
    }
}

/// Returns the answer to a request whose organisation is known to have used up its quota.
pub(crate) fn known_denial(
    shared: &Shared,
    (request_head, resolved): (&RequestHead, &Resolved),
    (remaining_ms, point): (DurationMs, u32),
) -> Option<GatewayAnswer> {
    let organisation = resolved.organisation.as_ref()?;
    let claim = claim(organisation, &resolved.route, request_head)?;
    let now = shared.now();
    let until = shared.quotas.requester.borrow().denied_until(&claim, now)?;
    shared.metrics.record_quota("denied_before");
    Some(GatewayAnswer::OverQuota {
        retry_after_ms: retry_after_limit(remaining_ms, point, until.since(now)),
    })
}

/// Asks whether a claim is within the quota; otherwise returns the time to wait.
async fn ask(shared: &Shared, claim: &Claim) -> Result<(), DurationMs> {
    let quotas = &shared.quotas;
    let now = shared.now();
    let denied_until = quotas.requester.borrow().denied_until(claim, now);
    if let Some(until) = denied_until {
        shared.metrics.record_quota("denied_before");
        return Err(until.since(now));
    }
    match ask_counter(shared, claim).await {
        None | Some(QuotaResult::NotCounter) => take_isolated(shared, claim, shared.now()),
        Some(result) => {
            let now = shared.now();
            quotas.requester.borrow_mut().record(claim, result, now)
        }
    }
}

/// Returns the answer of the counter, or nothing if none is heard or answers in time.
async fn ask_counter(shared: &Shared, claim: &Claim) -> Option<QuotaResult> {
    let mut asking = Asking::new(shared, claim);
    for timeout_ms in ANSWER_TIMEOUTS_MS {
        let counter = counter(shared, &claim.org)?;
        let answer = asking.ask(counter, timeout_ms).await;
        let label = answer.map_or("no_answer", QuotaResult::label);
        shared.metrics.record_quota(label);
        if answer.is_some() {
            return answer;
        }
        if shared.metrics.may_log_denial(shared.now()) {
            log::info!(org:% = claim.org, counter:%; "counter of a quota does not answer");
        }
    }
    None
}

fn take_isolated(shared: &Shared, claim: &Claim, now: TimeMs) -> Result<(), DurationMs> {
    let share = Isolated {
        routers: shared.view.borrow().last_known_routers(),
        router_hash: router_hash(&shared.boot().node),
    };
    let mut requester = shared.quotas.requester.borrow_mut();
    let taken = requester.take_isolated(claim, &share, now);
    let result = match taken {
        Ok(()) => "isolated",
        Err(_) => "isolated_denied",
    };
    shared.metrics.record_quota(result);
    taken
}

/// Returns the engine beside the sidecar that counts for an organisation.
fn counter(shared: &Shared, org: &OrgId) -> Option<SocketAddr> {
    let now = shared.now();
    let view = shared.view.borrow();
    let engines = shared.quotas.engines.borrow();
    engines.first_live(org, |addr| view.engine(addr, now).is_some())
}

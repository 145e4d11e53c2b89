//! Quotas of organisations: questions to the sidecars that count them.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_admit::retry_after_limit;
use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::TimeMs;
use dw_fleet::router_hash;
use dw_quota::first_counter;
use dw_quota::Isolated;
use dw_quota::Requester;
use dw_route::Resolved;
use dw_wire::Datagram;
use dw_wire::QuotaAnswer;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaResult;
use dw_wire::QuotaReturn;
use tokio::net::UdpSocket;

use crate::answer::GatewayAnswer;
use crate::context::RequestContext;
use crate::questions::Questions;
use crate::request::request_hash;
use crate::shared::Shared;

/// Time that a request waits for a counter's answer before it asks once more or takes a turn.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(40);

/// Number of times that a request asks, as single datagrams are lost.
const MAX_QUESTIONS: u32 = 2;

/// Quotas as this gateway knows them.
pub(crate) struct Quotas {
    requester: RefCell<Requester>,
    questions: Questions<QuotaResult>,
}

impl Quotas {
    /// Creates the state in which nothing was asked.
    pub(crate) fn new(socket: Rc<UdpSocket>, inner_port: u16) -> Self {
        Quotas {
            requester: RefCell::default(),
            questions: Questions::new(socket, inner_port),
        }
    }

    /// Passes the answer of a counter on to the request that waits for it.
    pub(crate) fn record_answer(&self, answer: QuotaAnswer) {
        // The amount is lost to the organisation if the request has given up: it may have asked again.
        self.questions.record_answer(answer.number, answer.result);
    }

    /// Removes what is known about organisations without a quota.
    pub(crate) fn retain(&self, limited: &HashSet<&OrgId>) {
        let is_limited = |org: &OrgId| limited.contains(org);
        self.requester.borrow_mut().retain(is_limited);
    }
}

/// What a request uses of a quota.
#[derive(Clone, Debug)]
struct Claim {
    org: OrgId,
    limit: QuotaLimit,
    amount: QuotaAmount,
    urgency: u8,
}

impl Claim {
    fn new(context: &RequestContext) -> Option<Self> {
        let organisation = context.organisation.as_ref()?;
        let quota = organisation.quota.as_ref()?;
        Some(Claim {
            org: organisation.org.clone(),
            limit: quota.limit,
            amount: quota.amount(context.request_head.declared_tokens),
            // The priority of the organisation is the same for all of its requests.
            urgency: context.route.priority,
        })
    }

    fn question(&self, number: u32) -> Datagram {
        Datagram::QuotaQuestion(QuotaQuestion {
            number,
            org: self.org.clone(),
            limit: self.limit,
            amount: self.amount,
            urgency: self.urgency,
        })
    }
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
        Grant {
            shared: shared.clone(),
            claim: Claim::new(context),
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
            let returned = Datagram::QuotaReturn(QuotaReturn {
                org: claim.org,
                amount: claim.amount,
            });
            self.shared.quotas.questions.tell(counter, &returned);
        }
    }
}

/// Returns the answer to a request whose organisation is known to have used up its quota.
pub(crate) fn known_denial(
    shared: &Shared,
    resolved: &Resolved,
    (remaining_ms, point): (DurationMs, u32),
) -> Option<GatewayAnswer> {
    let organisation = resolved.organisation.as_ref()?;
    organisation.quota.as_ref()?;
    let now = shared.now();
    let urgency = resolved.route.priority;
    let requester = shared.quotas.requester.borrow();
    let until = requester.denied_until(&organisation.org, urgency, now)?;
    shared.metrics.record_quota("denied_before");
    Some(GatewayAnswer::OverQuota {
        retry_after_ms: retry_after_limit(remaining_ms, point, until.since(now)),
    })
}

/// Asks whether a claim is within the quota; otherwise returns the time to wait.
async fn ask(shared: &Shared, claim: &Claim) -> Result<(), DurationMs> {
    let quotas = &shared.quotas;
    let now = shared.now();
    let denied_until = quotas
        .requester
        .borrow()
        .denied_until(&claim.org, claim.urgency, now);
    if let Some(until) = denied_until {
        shared.metrics.record_quota("denied_before");
        return Err(until.since(now));
    }
    for _ in 0..MAX_QUESTIONS {
        let Some(counter) = counter(shared, &claim.org) else {
            break;
        };
        let answer = quotas
            .questions
            .ask(counter, ANSWER_TIMEOUT_MS, |number| claim.question(number))
            .await;
        shared
            .metrics
            .record_quota(answer.map_or("no_answer", QuotaResult::label));
        match answer {
            Some(QuotaResult::NotCounter) => break,
            Some(result) => {
                let now = shared.now();
                let mut requester = quotas.requester.borrow_mut();
                return requester.record(&claim.org, claim.urgency, result, now);
            }
            None => {}
        }
    }
    take_isolated(shared, claim, shared.now())
}

fn take_isolated(shared: &Shared, claim: &Claim, now: TimeMs) -> Result<(), DurationMs> {
    let share = Isolated {
        limit: claim.limit,
        routers: shared.view.borrow().last_known_routers(),
        router_hash: router_hash(&shared.boot().node),
    };
    let mut requester = shared.quotas.requester.borrow_mut();
    let taken = requester.take_isolated(&claim.org, claim.amount, &share, now);
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
    let directory = shared.directory.borrow();
    let engines = directory.engines().map(|entry| entry.registration.addr);
    first_counter(
        org,
        engines.filter(|addr| view.engine(*addr, now).is_some()),
    )
}

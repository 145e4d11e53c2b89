//! Request limits that upstreams name in their answers, and the permits that requests to them need.

use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_base::TimeMs;
use dw_fleet::router_hash;
use dw_member::Entry;
use dw_permit::first_issuer;
use dw_permit::Isolated;
use dw_permit::LimitChange;
use dw_permit::Requester;
use dw_permit::UpstreamLimits;
use dw_port::NamedLimit;
use dw_wire::Datagram;
use dw_wire::LimitReport;
use dw_wire::PermitAnswer;
use dw_wire::PermitRequest;
use dw_wire::PermitResult;
use dw_wire::UpstreamStart;
use tokio::net::UdpSocket;

use crate::context::RequestContext;
use crate::gossip::request_announcement;
use crate::questions::Questions;
use crate::selection::AttemptPlan;
use crate::shared::Shared;
use crate::upstream_end::registered_start;

/// Maximum number of upstreams whose unreadable limits are remembered.
const MAX_UNREADABLE: usize = 4_096;

/// Time that a request waits for an issuer's answer before it goes to another upstream.
const PERMIT_TIMEOUT_MS: DurationMs = DurationMs(60);

/// Limits of upstreams as this gateway knows them, and its requests for permits.
pub(crate) struct RequestLimits {
    limits: RefCell<UpstreamLimits>,
    requester: RefCell<Requester>,
    questions: Questions<PermitResult>,
    /// Upstreams with an unreadable limit, which is logged once.
    unreadable: RefCell<HashSet<UpstreamStart>>,
}

impl RequestLimits {
    /// Creates the state without any limits.
    pub(crate) fn new(socket: Rc<UdpSocket>, inner_port: u16) -> Self {
        RequestLimits {
            limits: RefCell::default(),
            requester: RefCell::default(),
            questions: Questions::new(socket, inner_port),
            unreadable: RefCell::default(),
        }
    }

    /// Returns whether an upstream has a limit and should get other requests only if need be.
    pub(crate) fn is_avoided(&self, entry: &Entry, now: TimeMs) -> bool {
        let limits = self.limits.borrow();
        !limits.is_empty() && limits.is_recently_limited(registered_start(entry), now)
    }

    /// Returns until when no permit is to be had for an upstream, if that is known.
    pub(crate) fn denied_until(&self, entry: &Entry, now: TimeMs) -> Option<TimeMs> {
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return None;
        }
        let upstream = registered_start(entry);
        limits.get(upstream)?;
        self.requester.borrow().denied_until(upstream, now)
    }

    /// Merges what a relay has announced.
    pub(crate) fn merge(&self, reports: &[LimitReport], now: TimeMs) {
        for change in self.limits.borrow_mut().merge(reports, now) {
            log::info!(
                start = change.upstream.0, before = describe(change.before),
                limit = describe(change.after);
                "request limit changed by other routers"
            );
        }
    }

    /// Passes the answer of an issuer on to the request that waits for it.
    pub(crate) fn record_permit(&self, answer: PermitAnswer) {
        // The request may have given up; the permit is then not used.
        self.questions.record_answer(answer.number, answer.result);
    }

    /// Returns the limits to announce now.
    pub(crate) fn take_due(&self, now: TimeMs) -> Vec<LimitReport> {
        self.limits.borrow_mut().take_due(now)
    }

    /// Removes limits about which nothing was learned for long.
    pub(crate) fn expire(&self, now: TimeMs) {
        let mut limits = self.limits.borrow_mut();
        limits.expire(now);
        let is_limited = |upstream| limits.get(upstream).is_some();
        self.requester.borrow_mut().retain(is_limited);
    }

    /// Records that an upstream has named something that is not a rate; returns whether this is new.
    fn record_unreadable(&self, upstream: UpstreamStart) -> bool {
        let mut unreadable = self.unreadable.borrow_mut();
        if unreadable.len() >= MAX_UNREADABLE {
            unreadable.clear();
        }
        unreadable.insert(upstream)
    }
}

/// Who decides whether a request may be sent to an upstream with a limit.
enum Decider {
    /// The sidecar beside this engine.
    Issuer(SocketAddr),
    /// This router, which hears no sidecar.
    Alone(Isolated),
    /// Nobody: no sidecar of the upstream's data centre is heard.
    Nobody,
}

impl Decider {
    fn find(shared: &Shared, plan: &AttemptPlan, limit: RequestsPerS) -> Self {
        let now = shared.now();
        let view = shared.view.borrow();
        let directory = shared.directory.borrow();
        let is_local = |entry: &&Entry| entry.registration.data_centre == plan.data_centre;
        let has_local = directory.engines().any(|entry| is_local(&entry));
        let candidates = directory
            .engines()
            .filter(|entry| !has_local || is_local(entry))
            .map(|entry| entry.registration.addr);
        let live = candidates.filter(|addr| view.engine(*addr, now).is_some());
        match first_issuer(plan.start(), live) {
            Some(issuer) => Decider::Issuer(issuer),
            None if view.has_live_engines(now) => Decider::Nobody,
            None => Decider::Alone(Isolated {
                limit,
                routers: view.last_known_routers(),
                router_hash: router_hash(&shared.boot().node),
            }),
        }
    }
}

/// Returns the request limit of the selected upstream, which needs permits if there is one.
pub(crate) fn named_limit(shared: &Shared, plan: &AttemptPlan) -> Option<RequestsPerS> {
    shared.limits.limits.borrow().get(plan.start())
}

/// Gets the permit that a request to the selected upstream needs; returns whether it may be sent.
pub(crate) async fn acquire_permit(
    shared: &Shared,
    context: &RequestContext,
    plan: &AttemptPlan,
) -> bool {
    let upstream = plan.start();
    let limits = &shared.limits;
    let report = limits.limits.borrow().report(upstream, shared.now());
    let Some((report, limit)) = report.and_then(|report| Some((report, report.limit?))) else {
        return true;
    };
    let (result, is_granted) = match Decider::find(shared, plan, limit) {
        Decider::Issuer(issuer) => {
            let question = |number| {
                Datagram::PermitRequest(PermitRequest {
                    number,
                    data_centre: plan.data_centre.clone(),
                    priority: context.priority(),
                    limit: report,
                })
            };
            let result = limits
                .questions
                .ask(issuer, PERMIT_TIMEOUT_MS, question)
                .await;
            let mut requester = limits.requester.borrow_mut();
            let is_granted = requester.record(upstream, result, shared.now());
            (result.map_or("no_answer", PermitResult::label), is_granted)
        }
        Decider::Alone(share) => {
            let mut requester = limits.requester.borrow_mut();
            let is_granted = requester.take_isolated(upstream, &share, shared.now());
            ("isolated", is_granted)
        }
        Decider::Nobody => {
            let mut requester = limits.requester.borrow_mut();
            requester.record(upstream, None, shared.now());
            ("no_issuer", false)
        }
    };
    shared.metrics.record_permit(result, is_granted);
    if !is_granted && shared.metrics.may_log_denial(shared.now()) {
        log::info!(
            request_id = context.request_head.request_id.as_str(),
            upstream:% = plan.choice.upstream, limit:%, result, limit_age_ms = report.age_ms.0;
            "no permit for an upstream with a request limit"
        );
    }
    is_granted
}

/// Records what an answer says about the limit of its upstream.
pub(crate) fn record_answer(
    shared: &Shared,
    context: &RequestContext,
    plan: &AttemptPlan,
    (named, sent_at): (NamedLimit, TimeMs),
) {
    let limit = match named {
        NamedLimit::Unlimited => None,
        NamedLimit::Limit(limit) => Some(limit),
        NamedLimit::Unreadable => {
            if shared.limits.record_unreadable(plan.start()) {
                log::warn!(
                    request_id = context.request_head.request_id.as_str(),
                    upstream:% = plan.choice.upstream;
                    "ignoring the request limit of an upstream: it is not a rate"
                );
            }
            return;
        }
    };
    let now = shared.now();
    let mut limits = shared.limits.limits.borrow_mut();
    let Some(change) = limits.record_answer(plan.start(), limit, (sent_at, now)) else {
        return;
    };
    let LimitChange { before, after, .. } = change;
    log::info!(
        request_id = context.request_head.request_id.as_str(), upstream:% = plan.choice.upstream,
        start = change.upstream.0, before = describe(before), limit = describe(after),
        sent_ms = now.since(sent_at).0;
        "upstream changed its request limit"
    );
    request_announcement(shared);
}

/// Counts a request that is sent to an upstream with a limit.
pub(crate) fn record_sent(shared: &Shared, context: &RequestContext, plan: &AttemptPlan) {
    if shared.limits.limits.borrow().get(plan.start()).is_some() {
        let is_retry = context.attempts.get() > 0;
        shared.metrics.record_sent_to_limited(is_retry);
    }
}

fn describe(limit: Option<RequestsPerS>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

//! Handling of a caller's request, from its head to the head of the answer.

use std::rc::Rc;

use dw_admit::retry_after;
use dw_admit::retry_after_limit;
use dw_admit::retry_after_overload;
use dw_admit::retry_after_pause;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_origin::Resume;
use dw_port::RequestHead;
use dw_retry::AttemptOutcome;
use dw_retry::NextAction;
use dw_retry::RetryState;
use dw_route::Resolved;
use dw_route::RouteTable;
use dw_route::Unresolved;
use http::request::Parts;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::answer::GatewayAnswer;
use crate::arrival_rules;
use crate::body::AnswerBody;
use crate::candidates::may_run_on;
use crate::candidates::Exclusions;
use crate::connections::RequestGuard;
use crate::context::AcceptedRequest;
use crate::context::RequestContext;
use crate::context::SharedContext;
use crate::forward::forward;
use crate::forward::AttemptResult;
use crate::judged_by::JudgedBy;
use crate::memory::Reservation;
use crate::origins;
use crate::request_body;
use crate::request_body::BodyBounds;
use crate::request_body::BodyError;
use crate::rules::AttemptRules;
use crate::rules::Ruling;
use crate::selection::select_upstream;
use crate::selection::NoUpstream;
use crate::shared::Shared;

/// Deadline of requests that do not set one.
const DEFAULT_DEADLINE_MS: DurationMs = DurationMs(30_000);

/// Time after which a caller may retry while the gateway has no configuration.
const UNCONFIGURED_RETRY_AFTER_MS: DurationMs = DurationMs(300);

/// Serves one request.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    guard: RequestGuard,
) -> Response<AnswerBody> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let context = match admit(shared, head, body, arrived).await {
        Ok(context) => Rc::new(context),
        Err(rejected) => {
            log_rejected(shared, &rejected, arrived);
            guard.record_end(shared.now());
            return rejected.answer.response();
        }
    };
    shared.count_request(&context.service);
    let result = tokio::select! {
        result = run(shared, &context, guard) => result,
        // It may have been sent, and no answer can be awaited any longer.
        () = shared.exit.notified() => Err(GatewayAnswer::Unknown),
    };
    match result {
        Ok(response) => response,
        Err(answer) => {
            log_gateway_answer(shared, &context, &answer);
            answer.response()
        }
    }
}

/// A request that is rejected before a destination is selected.
struct RejectedRequest {
    request_id: String,
    path: String,
    answer: GatewayAnswer,
}

async fn admit(
    shared: &Shared,
    head: Parts,
    mut body: Incoming,
    arrived: TimeMs,
) -> Result<RequestContext, RejectedRequest> {
    let rejected = |request_id: &str, answer| RejectedRequest {
        request_id: request_id.to_owned(),
        path: head.uri.path().to_owned(),
        answer,
    };
    let decoded_head = shared.codec.decode_request(&head);
    let Some(routes) = shared.routes() else {
        let request_id = decoded_head
            .map(|request_head| request_head.request_id)
            .unwrap_or_default();
        let answer = GatewayAnswer::NotRun {
            reason: match shared.configuration_invalid.get() {
                true => "invalid_configuration",
                false => "no_configuration",
            },
            retry_after_ms: UNCONFIGURED_RETRY_AFTER_MS,
        };
        return Err(rejected(&request_id, answer));
    };
    let request_head =
        decoded_head.map_err(|e| rejected("", GatewayAnswer::BadRequest(e.to_string())))?;
    let id = request_head.request_id.clone();
    let resolved = resolve(&routes, &request_head, &head);
    let resolved = resolved
        .map_err(|answer| rejected(&id, retryable_if_behind(shared, &request_head, answer)))?;
    let judged_by = JudgedBy::now(shared, arrived);
    let deadline = deadline(&request_head, &resolved, arrived);
    let remaining_ms = deadline.since(shared.now());
    let refused = arrival_rules::check(shared, &request_head, &resolved, remaining_ms);
    if let Some(answer) = refused {
        request_body::discard(&mut body, &head.headers).await;
        return Err(rejected(&id, answer));
    }
    let bounds = BodyBounds {
        max_bytes: routes.limits().body_bytes.0 as usize,
        timeout_ms: remaining_ms,
        priority: arrival_rules::priority(&resolved),
    };
    let mut held = Reservation::new(&shared.held, resolved.organisation.as_ref());
    let body = match request_body::read(&mut body, &bounds, &mut held).await {
        Ok(body) => body,
        Err(BodyError::Answer(answer)) => return Err(rejected(&id, answer)),
        Err(BodyError::NoRoom(no_room)) => {
            request_body::discard(&mut body, &head.headers).await;
            let answer = GatewayAnswer::NotRun {
                reason: no_room.label(),
                retry_after_ms: retry_after_overload(remaining_ms, request_hash(&id)),
            };
            return Err(rejected(&id, answer));
        }
    };
    if shared.is_stopping() {
        // Other routers take the request at once.
        let answer = GatewayAnswer::NotRun {
            reason: "stopping",
            retry_after_ms: DurationMs::ZERO,
        };
        return Err(rejected(&id, answer));
    }
    let resume = origins::resume(shared, &request_head, &resolved).await;
    let resume = resume.map_err(|answer| rejected(&id, answer))?;
    let (service, software) = match resume {
        Some(Resume::At(service, software)) => (Some(service), Some(software)),
        Some(Resume::Any(service)) => (Some(service), None),
        None => (resolved.route.destination(request_hash(&id)).cloned(), None),
    };
    let service = service.ok_or_else(|| rejected(&id, GatewayAnswer::NoRoute))?;
    let accepted = AcceptedRequest {
        request_head,
        head,
        body,
        held,
        resolved,
        judged_by,
        arrived,
        deadline,
    };
    Ok(accepted.into_context(service, software))
}

/// Returns the route and the organisation of a request.
///
/// # Errors
///
/// Returns the answer to a request that the configuration does not allow.
pub(crate) fn resolve(
    routes: &RouteTable,
    request_head: &RequestHead,
    head: &Parts,
) -> Result<Resolved, GatewayAnswer> {
    let resolved = routes.resolve(
        &request_head.host,
        head.uri.path(),
        request_head.key.as_deref(),
    );
    resolved.map_err(|e| match e {
        Unresolved::NoRoute => GatewayAnswer::NoRoute,
        Unresolved::NoKey => GatewayAnswer::NoKey,
        Unresolved::Closed => GatewayAnswer::NotRun {
            reason: "invalid_configuration",
            retry_after_ms: UNCONFIGURED_RETRY_AFTER_MS,
        },
    })
}

/// Returns when the caller's deadline or the route's timeout is reached, whichever comes first.
pub(crate) fn deadline(request_head: &RequestHead, resolved: &Resolved, arrived: TimeMs) -> TimeMs {
    let max_wait_ms = request_head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    arrived + max_wait_ms.min(resolved.route.timeout_ms)
}

/// Returns the answer to a request that the configuration rejects. If other routers have read a
/// newer configuration, which may allow the request, the caller is told to retry.
fn retryable_if_behind(
    shared: &Shared,
    request_head: &RequestHead,
    answer: GatewayAnswer,
) -> GatewayAnswer {
    if !shared.tables.borrow().is_behind(shared.now()) {
        return answer;
    }
    let remaining_ms = request_head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    GatewayAnswer::NotRun {
        reason: "configuration_behind",
        retry_after_ms: retry_after(remaining_ms, request_hash(&request_head.request_id)),
    }
}

/// Returns a hash of a request id that is uniformly distributed over `u32`.
pub(crate) fn request_hash(request_id: &str) -> u32 {
    (dw_base::PrefixKey::root(request_id).0 >> 32) as u32
}

/// Sends the request to one upstream after another until one answers or no attempt is left.
async fn run(
    shared: &Rc<Shared>,
    context: &SharedContext,
    guard: RequestGuard,
) -> Result<Response<AnswerBody>, GatewayAnswer> {
    let mut retry_state =
        RetryState::new(context.route.kind.may_repeat(), context.route.max_attempts);
    let mut exclusions = Exclusions::default();
    let mut rules = AttemptRules::new(shared, context);
    let mut guard = Some(guard);
    loop {
        if context.remaining(shared.now()) == DurationMs::ZERO {
            return Err(final_answer(shared, context, &retry_state, "no_time"));
        }
        let plan = match select_upstream(shared, context, &exclusions) {
            Ok(plan) => plan,
            Err(NoUpstream { reason }) => {
                let denied = rules.denied_answer();
                if let Some(answer) = denied.filter(|_| !retry_state.may_have_run()) {
                    return Err(answer);
                }
                return Err(final_answer(shared, context, &retry_state, reason));
            }
        };
        let ruling = rules.check(&plan, &retry_state).await;
        exclusions.add(&plan.choice.upstream);
        match ruling {
            Ruling::Send => {}
            Ruling::NextUpstream => continue,
            Ruling::Answer(_) if retry_state.may_have_run() => return Err(GatewayAnswer::Unknown),
            Ruling::Answer(answer) => return Err(answer),
        }
        let result = forward(shared, context, &plan).await;
        context.attempts.set(context.attempts.get() + 1);
        rules.record_result(&result);
        let (outcome, failure) = match result {
            AttemptResult::Answer(relay) => return Ok(relay.response(guard.take())),
            AttemptResult::TimedOut => {
                // The request was sent, and the upstream may run it until its deadline.
                return Err(GatewayAnswer::Timeout);
            }
            AttemptResult::Failure(relay) => (AttemptOutcome::Failed, Some(relay)),
            AttemptResult::NoAnswer(outcome) => (outcome, None),
        };
        let next = retry_state.next_action(outcome, || shared.spend_retry(&context.service));
        log::debug!(
            request_id = context.request_head.request_id.as_str(),
            upstream:% = plan.choice.upstream, fate:? = outcome, next:? = next;
            "attempt ended without an answer"
        );
        match (next, failure) {
            (NextAction::Retry, _) => {}
            (_, Some(relay)) => return Ok(relay.response(guard.take())),
            (NextAction::Refuse, None) => {
                return Err(final_answer(shared, context, &retry_state, "refused"))
            }
            (_, None) => return Err(GatewayAnswer::Unknown),
        }
    }
}

fn final_answer(
    shared: &Shared,
    context: &RequestContext,
    retry_state: &RetryState,
    reason: &'static str,
) -> GatewayAnswer {
    if retry_state.may_have_run() {
        return GatewayAnswer::Unknown;
    }
    let now = shared.now();
    let remaining_ms = context.remaining(now);
    let request_hash = request_hash(&context.request_head.request_id);
    let directory = shared.directory.borrow();
    let mut serving = directory.serving(&context.service);
    if context.software.is_some() && !serving.any(|entry| may_run_on(shared, context, entry)) {
        return GatewayAnswer::CannotResume("no_upstream_of_version");
    }
    let has_limits = directory
        .serving(&context.service)
        .any(|entry| shared.limits.denied_until(entry, now).is_some());
    let blocked_until = directory.blocked_until(&context.service, now, |entry| {
        shared.limits.denied_until(entry, now)
    });
    match blocked_until {
        Some(until) if has_limits => GatewayAnswer::NotRun {
            reason: "upstreams_limited",
            retry_after_ms: retry_after_limit(remaining_ms, request_hash, until.since(now)),
        },
        Some(until) => GatewayAnswer::NotRun {
            reason: "upstreams_paused",
            retry_after_ms: retry_after_pause(remaining_ms, request_hash, until.since(now)),
        },
        None => GatewayAnswer::NotRun {
            reason,
            retry_after_ms: retry_after(remaining_ms, request_hash),
        },
    }
}

fn log_rejected(shared: &Shared, rejected: &RejectedRequest, arrived: TimeMs) {
    let took = shared.now().since(arrived);
    shared.metrics.record_gateway_answer(&rejected.answer);
    if rejected.answer.is_refusal() && !shared.metrics.may_log_refusal(shared.now()) {
        return;
    }
    let judged_by = JudgedBy::now(shared, shared.now());
    log::warn!(
        request_id = rejected.request_id.as_str(), path = rejected.path.as_str(),
        status = rejected.answer.status().as_u16(), reason = rejected.answer.label(),
        config_version:% = judged_by.version, unread_version = judged_by.unread_version(),
        unread_age_ms = judged_by.unread_age_ms(), failing_ms = judged_by.failing_ms(),
        took_ms = took.0;
        "request rejected before routing"
    );
}

fn log_gateway_answer(shared: &Shared, context: &RequestContext, answer: &GatewayAnswer) {
    let took = shared.now().since(context.arrived);
    shared.metrics.record_gateway_answer(answer);
    if matches!(answer, GatewayAnswer::OverQuota { .. }) {
        // Logged with its cause, up to a number of lines per second.
        return;
    }
    if answer.is_refusal() && !shared.metrics.may_log_refusal(shared.now()) {
        return;
    }
    let judged_by = &context.judged_by;
    log::warn!(
        request_id = context.request_head.request_id.as_str(), route = context.route.name.as_str(),
        service:% = context.service, status = answer.status().as_u16(), reason = answer.label(),
        config_version:% = judged_by.version, unread_version = judged_by.unread_version(),
        unread_age_ms = judged_by.unread_age_ms(), failing_ms = judged_by.failing_ms(),
        tries = context.attempts.get(), took_ms = took.0,
        timeout_ms = context.deadline.since(context.arrived).0;
        "request ended without an answer from an upstream"
    );
}

//! One request of a caller from its head to the head of its answer.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use dw_admit::retry_after;
use dw_admit::retry_after_overload;
use dw_admit::retry_after_pause;
use dw_admit::Offer;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_retry::AttemptOutcome;
use dw_retry::NextAction;
use dw_retry::RetryState;
use dw_route::Resolved;
use dw_route::RouteTable;
use dw_route::Unresolved;
use http::request::Parts;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::OwnAnswer;
use crate::body::AnswerBody;
use crate::candidates::Exclusions;
use crate::choose::choose;
use crate::choose::NoChoice;
use crate::choose::Plan;
use crate::connections::RequestGuard;
use crate::forward::forward;
use crate::forward::Ended;
use crate::job::Job;
use crate::job::SharedJob;
use crate::shared::Shared;

/// Time that a caller waits if its request does not say so.
const DEFAULT_DEADLINE_MS: DurationMs = DurationMs(30_000);

/// Time after which a caller may come back while there is no configuration.
const UNCONFIGURED_MS: DurationMs = DurationMs(300);

/// Serves one request.
pub(crate) async fn serve(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
    guard: RequestGuard,
) -> Response<AnswerBody> {
    let arrived = shared.now();
    let (head, body) = request.into_parts();
    let job = match admit(shared, head, body, arrived).await {
        Ok(job) => Rc::new(job),
        Err(refused) => {
            log_refused(shared, &refused, arrived);
            guard.ended(shared.now());
            return refused.answer.response();
        }
    };
    shared.count_request(&job.service);
    match run(shared, &job, guard).await {
        Ok(response) => response,
        Err(answer) => {
            log_own(shared, &job, &answer);
            answer.response()
        }
    }
}

/// A request that is answered before it has a route.
struct Refused {
    request_id: String,
    path: String,
    answer: OwnAnswer,
}

async fn admit(
    shared: &Shared,
    head: Parts,
    body: Incoming,
    arrived: TimeMs,
) -> Result<Job, Refused> {
    let refused = |request_id: &str, answer| Refused {
        request_id: request_id.to_owned(),
        path: head.uri.path().to_owned(),
        answer,
    };
    let asked = shared.codec.decode_request(&head);
    let Some(routes) = shared.routes() else {
        let request_id = asked.map(|ask| ask.request_id).unwrap_or_default();
        let answer = OwnAnswer::NotRun {
            reason: "no_configuration",
            retry_after_ms: UNCONFIGURED_MS,
        };
        return Err(refused(&request_id, answer));
    };
    let ask = asked.map_err(|e| refused("", OwnAnswer::BadRequest(e.to_string())))?;
    let id = ask.request_id.clone();
    let resolved = resolve(&routes, &ask, &head);
    let resolved = resolved.map_err(|answer| refused(&id, unless_behind(shared, &ask, answer)))?;
    let deadline = ask.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let until = arrived + deadline.min(resolved.route.timeout_ms);
    let limit = routes.limits().body_bytes.0 as usize;
    let left = until.since(shared.now());
    let body = match read_body(body, limit, left).await {
        Ok(body) => body,
        Err(answer) => return Err(refused(&id, answer)),
    };
    let destination = resolved.route.destination(point(&id));
    let service = destination.cloned();
    let service = service.ok_or_else(|| refused(&id, OwnAnswer::NoRoute))?;
    Ok(Job {
        ask,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        route: resolved.route,
        organisation: resolved.organisation,
        service,
        arrived,
        until,
        tries: Cell::new(0),
    })
}

fn resolve(
    routes: &RouteTable,
    ask: &dw_port::RequestHead,
    head: &Parts,
) -> Result<Resolved, OwnAnswer> {
    let resolved = routes.resolve(&ask.host, head.uri.path(), ask.key.as_deref());
    resolved.map_err(|e| match e {
        Unresolved::NoRoute => OwnAnswer::NoRoute,
        Unresolved::NoKey => OwnAnswer::NoKey,
    })
}

/// Returns an answer to a request that the configuration does not allow: it is final unless others
/// have read a later configuration, which may allow it.
fn unless_behind(shared: &Shared, ask: &dw_port::RequestHead, answer: OwnAnswer) -> OwnAnswer {
    if !shared.tables.borrow().is_behind(shared.now()) {
        return answer;
    }
    let left_ms = ask.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    OwnAnswer::NotRun {
        reason: "configuration_behind",
        retry_after_ms: retry_after(left_ms, point(&ask.request_id)),
    }
}

async fn read_body(body: Incoming, limit: usize, left: DurationMs) -> Result<Bytes, OwnAnswer> {
    let whole = timeout(left.into(), Limited::new(body, limit).collect()).await;
    match whole {
        Err(_) => Err(OwnAnswer::BodyTimeout),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(OwnAnswer::TooLarge),
        Ok(Err(e)) => Err(OwnAnswer::BadRequest(format!("body: {e}"))),
    }
}

/// Returns a number that is uniform over request ids.
pub(crate) fn point(request_id: &str) -> u32 {
    (dw_base::PrefixKey::root(request_id).0 >> 32) as u32
}

/// Tries upstreams until one answers or the request is given up.
async fn run(
    shared: &Rc<Shared>,
    job: &SharedJob,
    guard: RequestGuard,
) -> Result<Response<AnswerBody>, OwnAnswer> {
    let mut tries = RetryState::new(job.route.kind.may_repeat(), job.route.max_attempts);
    let mut exclusions = Exclusions::default();
    let mut guard = Some(guard);
    loop {
        let now = shared.now();
        if job.left(now) == DurationMs::ZERO {
            return Err(give_up(shared, job, &tries, "no_time"));
        }
        let plan = match choose(shared, job, &exclusions) {
            Ok(plan) => plan,
            Err(NoChoice { reason }) => return Err(give_up(shared, job, &tries, reason)),
        };
        if job.tries.get() == 0 {
            if let Some(answer) = turn_away(shared, job, &plan, now) {
                return Err(answer);
            }
        }
        exclusions.add(&plan.choice.upstream);
        let ended = forward(shared, job, &plan).await;
        job.tries.set(job.tries.get() + 1);
        let (fate, failure) = match ended {
            Ended::Answer(relay) => return Ok(relay.response(guard.take())),
            Ended::TimedOut => {
                // It was sent and may run until its deadline.
                return Err(OwnAnswer::Timeout);
            }
            Ended::Failure(relay) => (AttemptOutcome::Failed, Some(relay)),
            Ended::AttemptOutcome(fate) => (fate, None),
        };
        let next = tries.next_action(fate, || shared.spend_repeat(&job.service));
        log::debug!(
            request_id = job.ask.request_id.as_str(), upstream:% = plan.choice.upstream,
            fate:? = fate, next:? = next; "try ended without an answer"
        );
        match (next, failure) {
            (NextAction::Retry, _) => {}
            (_, Some(relay)) => return Ok(relay.response(guard.take())),
            (NextAction::Refuse, None) => return Err(give_up(shared, job, &tries, "refused")),
            (_, None) => return Err(OwnAnswer::Unknown),
        }
    }
}

/// Returns the answer to a prompt that is turned away because first tokens come late.
fn turn_away(shared: &Shared, job: &Job, plan: &Plan, now: TimeMs) -> Option<OwnAnswer> {
    plan.choice.weights?;
    let offer = Offer {
        priority: job.priority(),
        tokens: job.ask.prompt_tokens(),
        expected_ms: plan.choice.first_token_ms,
        objective_ms: job.route.objective_ms,
        point: point(&job.ask.request_id),
    };
    let (before, rank, share) = shared.with_overload(&job.service, |overload| {
        let before = overload.share();
        let rank = overload.reject(&offer, now);
        (before, rank, overload.share())
    });
    if (before == 0.0) != (share == 0.0) {
        log::warn!(service:% = job.service, share_before = before, share; "overload has changed");
    }
    let rank = rank?;
    log::warn!(
        request_id = job.ask.request_id.as_str(), priority = offer.priority, share,
        tokens = offer.tokens.0, expected_ms = offer.expected_ms.0,
        objective_ms = offer.objective_ms.0;
        "request is turned away"
    );
    Some(OwnAnswer::NotRun {
        reason: "overload",
        retry_after_ms: retry_after_overload(job.left(now), rank),
    })
}

fn give_up(shared: &Shared, job: &Job, tries: &RetryState, reason: &'static str) -> OwnAnswer {
    if tries.may_have_run() {
        return OwnAnswer::Unknown;
    }
    let now = shared.now();
    let left_ms = job.left(now);
    let point = point(&job.ask.request_id);
    let paused_until = shared.directory.borrow().paused_until(&job.service, now);
    match paused_until {
        Some(until) => OwnAnswer::NotRun {
            reason: "upstreams_paused",
            retry_after_ms: retry_after_pause(left_ms, point, until.since(now)),
        },
        None => OwnAnswer::NotRun {
            reason,
            retry_after_ms: retry_after(left_ms, point),
        },
    }
}

fn log_refused(shared: &Shared, refused: &Refused, arrived: TimeMs) {
    let took = shared.now().since(arrived);
    shared.measures.own_answer(&refused.answer);
    log::warn!(
        request_id = refused.request_id.as_str(), path = refused.path.as_str(),
        status = refused.answer.status().as_u16(), reason = refused.answer.label(),
        config_version = shared.routes().map_or(0, |routes| routes.version().0), took_ms = took.0;
        "request refused before routing"
    );
}

fn log_own(shared: &Shared, job: &Job, answer: &OwnAnswer) {
    let took = shared.now().since(job.arrived);
    shared.measures.own_answer(answer);
    log::warn!(
        request_id = job.ask.request_id.as_str(), route = job.route.name.as_str(),
        service:% = job.service, status = answer.status().as_u16(), reason = answer.label(),
        tries = job.tries.get(), took_ms = took.0,
        timeout_ms = job.until.since(job.arrived).0;
        "request ended without an upstream's answer"
    );
}

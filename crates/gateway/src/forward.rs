//! One attempt at one upstream.

use std::rc::Rc;

use bytes::Bytes;
use dw_base::DurationMs;
use dw_net::connect;
use dw_net::describe;
use dw_net::Connection;
use dw_net::Dial;
use dw_port::Envelope;
use dw_retry::AttemptOutcome;
use dw_stream::EventBoundary;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Body;
use tokio::time::timeout;

use crate::context::SharedContext;
use crate::framing::ends_with_connection;
use crate::framing::has_events;
use crate::in_flight::InFlight;
use crate::limits;
use crate::received_response::classify_response;
use crate::received_response::ReceivedResponse;
use crate::relay::Relay;
use crate::selection::AttemptPlan;
use crate::shared::Shared;
use crate::upstream_end::handle_break;
use crate::upstream_end::report_break;
use crate::upstream_end::LostRequest;

/// Timeout for connecting to an upstream; a reachable one accepts within a few milliseconds.
const CONNECT_TIMEOUT_MS: DurationMs = DurationMs(250);

/// Time without a TCP acknowledgement from an upstream after which its connection is closed.
pub(crate) const ACK_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Maximum idle time of a connection that is reused for a request which must not be repeated.
///
/// If the upstream closes an idle connection while a request is sent on it, the outcome of the
/// request is unknown.
const NON_REPEATABLE_MAX_IDLE_MS: DurationMs = DurationMs(1_000);

/// Result of an attempt.
pub(crate) enum AttemptResult {
    /// The upstream has started to answer.
    Answer(Box<Relay>),
    /// The upstream answered with a server error after it ran the request.
    Failure(Box<Relay>),
    /// The request's deadline passed without an answer.
    TimedOut,
    /// The attempt ended without an answer that can be relayed.
    NoAnswer(AttemptOutcome),
}

/// Sends a request to the selected upstream and waits for the start of its answer.
pub(crate) async fn forward(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
) -> AttemptResult {
    let upstream = &plan.choice.upstream;
    let now = shared.now();
    if let Some(health) = shared.directory.borrow_mut().health(upstream) {
        health.record_sent(now);
    }
    let sender = match get_connection(shared, context, plan).await {
        Ok(sender) => sender,
        Err(outcome) => {
            shared.metrics.record_failed_attempt("unreachable");
            return AttemptResult::NoAnswer(outcome);
        }
    };
    limits::record_sent(shared, context, plan);
    let in_flight = InFlight::start(shared, context, plan);
    exchange(shared, context, plan, (sender, in_flight)).await
}

/// A connection to an upstream.
struct Sender {
    connection: Connection,
    /// Whether it was open before this attempt.
    is_reused: bool,
}

async fn get_connection(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
) -> Result<Sender, AttemptOutcome> {
    let now = shared.now();
    let max_idle_ms = match context.route.kind.may_repeat() {
        true => DurationMs(u64::MAX),
        false => NON_REPEATABLE_MAX_IDLE_MS,
    };
    if let Some(connection) = shared.pool.take(plan.addr, max_idle_ms, now) {
        return Ok(Sender {
            connection,
            is_reused: true,
        });
    }
    let dial = Dial {
        addr: plan.addr,
        connect_ms: CONNECT_TIMEOUT_MS.min(context.remaining(now)),
        silence_ms: ACK_TIMEOUT_MS,
    };
    let connected = connect(dial).await.map(|connection| Sender {
        connection,
        is_reused: false,
    });
    connected.map_err(|e| {
        let now = shared.now();
        let upstream = &plan.choice.upstream;
        if let Some(health) = shared.directory.borrow_mut().health(upstream) {
            health.record_unreachable(now);
        }
        log::warn!(
            request_id = context.request_head.request_id.as_str(), upstream:% = upstream,
            error = describe(&e);
            "cannot connect to upstream"
        );
        AttemptOutcome::Unsent
    })
}

fn build_request(
    shared: &Shared,
    context: &SharedContext,
    plan: &AttemptPlan,
) -> Option<Request<Full<Bytes>>> {
    let is_prompt = plan.choice.weights.is_some();
    let envelope = Envelope {
        upstream: plan.choice.upstream.clone(),
        deadline_ms: context.remaining(shared.now()),
        org: context
            .organisation
            .as_ref()
            .map(|organisation| organisation.org.clone()),
        priority: is_prompt.then(|| context.priority()),
        weights: plan.choice.weights,
        salt: plan.salt.clone(),
        fetch_from: plan.fetch_from,
        save_to: plan.save_to,
        resume_after: None,
    };
    let path = context
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(context.method.clone())
        .uri(path)
        .body(Full::new(context.body.clone()))
        .ok()?;
    *request.headers_mut() = shared.codec.upstream_headers(&context.headers, &envelope);
    Some(request)
}

async fn exchange(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
    (sender, in_flight): (Sender, InFlight),
) -> AttemptResult {
    let Some(request) = build_request(shared, context, plan) else {
        return AttemptResult::NoAnswer(AttemptOutcome::Unsent);
    };
    let Sender {
        mut connection,
        is_reused,
    } = sender;
    let remaining = context.remaining(shared.now());
    let result = timeout(remaining.into(), connection.try_send_request(request)).await;
    let response = match result {
        Err(_) => {
            record_failure(shared, context, plan, "no answer in time");
            return AttemptResult::TimedOut;
        }
        Ok(Err(mut e)) => {
            if e.take_message().is_some() {
                shared.metrics.record_failed_attempt("unsent");
                return AttemptResult::NoAnswer(AttemptOutcome::Unsent);
            }
            record_failure(shared, context, plan, &describe(&e.into_error()));
            handle_waiting_break(shared, context, plan).await;
            return AttemptResult::NoAnswer(AttemptOutcome::Unknown);
        }
        Ok(Ok(response)) => response,
    };
    let mut head = shared
        .codec
        .decode_response(response.status(), response.headers());
    // The body of an answer that has none is at its end already.
    let has_body = !response.body().is_end_stream();
    head.closes |= has_body && ends_with_connection(response.headers());
    let is_event_stream = context.route.kind.is_stream()
        && response.status().is_success()
        && has_events(response.headers());
    let received = ReceivedResponse {
        response,
        head,
        connection,
        is_reused,
        in_flight,
        events: is_event_stream.then(EventBoundary::default),
    };
    classify_response(shared, context, plan, received).await
}

/// Handles a connection that broke before an answer began. A retry waits until it is known whether the
/// upstream has ended, as the request may end the next one too.
pub(crate) async fn handle_waiting_break(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
) {
    let (sent_to, lost) = (plan.sent_to(), LostRequest::Waiting);
    match context.route.kind.may_repeat() {
        true => {
            handle_break(shared, context, &sent_to, lost).await;
        }
        false => report_break(shared, context, sent_to, lost),
    }
}

pub(crate) fn record_failure(
    shared: &Shared,
    context: &SharedContext,
    plan: &AttemptPlan,
    cause: &str,
) {
    let now = shared.now();
    let upstream = &plan.choice.upstream;
    if let Some(health) = shared.directory.borrow_mut().health(upstream) {
        health.record_failure(now);
    }
    shared.metrics.record_failed_attempt("failed");
    log::warn!(
        request_id = context.request_head.request_id.as_str(), upstream:% = upstream,
        addr:% = plan.addr, reason = cause, first_token_expected_ms = plan.choice.first_token_ms.0,
        age_ms = now.since(context.arrived).0, digest:% = context.digest(),
        parts = context.logged_parts();
        "upstream failed a request"
    );
}

/// Returns whether an answer with this status counts as a success for the health of its upstream.
pub(crate) fn is_healthy_status(status: StatusCode) -> bool {
    !status.is_server_error()
}

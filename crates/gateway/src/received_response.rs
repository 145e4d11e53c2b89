//! What an upstream's answer means for the attempt.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use dw_base::DurationMs;
use dw_net::describe;
use dw_net::Connection;
use dw_port::ResponseHead;
use dw_retry::AttemptOutcome;
use dw_stream::EventBoundary;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::candidates::record_weights;
use crate::context::SharedContext;
use crate::forward::handle_waiting_break;
use crate::forward::record_failure;
use crate::forward::AttemptResult;
use crate::in_flight::InFlight;
use crate::limits;
use crate::origins;
use crate::relay::Relay;
use crate::relay::RelayParts;
use crate::request::request_hash;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// Length of the start of a stream from which it is passed on without a whole event.
const MAX_FIRST_EVENT_BYTES: usize = 65_536;

/// Time over which requests are spread at the end of a pause that an upstream has requested.
const PAUSE_SPREAD_MS: DurationMs = DurationMs(150);

/// An answer whose head has been received.
pub(crate) struct ReceivedResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) head: ResponseHead,
    pub(crate) connection: Connection,
    /// Whether the connection was open before this attempt.
    pub(crate) is_reused: bool,
    pub(crate) in_flight: InFlight,
    /// Boundaries of the events, if the body is an event stream.
    pub(crate) events: Option<EventBoundary>,
}

/// Decides what an answer means for the attempt.
pub(crate) async fn classify_response(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
    received: ReceivedResponse,
) -> AttemptResult {
    let status = received.response.status();
    let upstream = &plan.choice.upstream;
    if status.is_informational() {
        // The HTTP library reads past other informational answers, but 101 ends HTTP on the connection.
        record_failure(shared, context, plan, "change to another protocol");
        return AttemptResult::NoAnswer(AttemptOutcome::Unknown);
    }
    if let Some(weights) = received.head.weights {
        record_weights(shared, context, upstream, weights);
    }
    let is_other = |id: &String| *id != context.request_head.request_id;
    let id = received.head.request_id.as_ref();
    // On a connection that was used before, a refusal without an id may be an earlier one, written once
    // more: it is no proof that this request has not run.
    let needs_id = status.is_success() || (received.head.not_run && received.is_reused);
    if id.is_some_and(is_other) || (id.is_none() && needs_id) {
        record_failure(shared, context, plan, "answer of another request");
        return AttemptResult::NoAnswer(AttemptOutcome::Unknown);
    }
    apply_upstream_state(shared, context, plan, &received);
    if received.head.not_run {
        return handle_not_run(shared, context, plan, received).await;
    }
    if status.is_server_error() {
        record_failure(shared, context, plan, status.as_str());
        return AttemptResult::Failure(Box::new(start_relay(
            shared, context, plan, received, None,
        )));
    }
    if !context.route.kind.is_stream() || !status.is_success() {
        return AttemptResult::Answer(Box::new(start_relay(shared, context, plan, received, None)));
    }
    wait_for_first_event(shared, context, plan, received).await
}

/// Records that the answer announces that the upstream is leaving, asks for a pause or names a limit.
fn apply_upstream_state(
    shared: &Shared,
    context: &SharedContext,
    plan: &AttemptPlan,
    received: &ReceivedResponse,
) {
    let head = &received.head;
    let upstream = &plan.choice.upstream;
    let answering_id = head.upstream.as_deref();
    if answering_id.is_some_and(|id| id != upstream.as_str()) {
        // Another upstream now uses the address.
        return;
    }
    let sent_at = received.in_flight.sent_at();
    limits::record_answer(shared, context, plan, (head.limit, sent_at));
    let now = shared.now();
    let mut directory = shared.directory.borrow_mut();
    if head.leaving && directory.mark_leaving(upstream, now) {
        log::info!(
            request_id = context.request_head.request_id.as_str(), upstream:% = upstream;
            "upstream announced that it is leaving"
        );
    }
    if let Some(pause_ms) = head.pause_ms {
        let scaled = PAUSE_SPREAD_MS.0 * u64::from(request_hash(&context.request_head.request_id));
        let until = now + pause_ms + DurationMs(scaled >> 32);
        directory.pause_until(upstream, until, now);
        log::info!(
            request_id = context.request_head.request_id.as_str(), upstream:% = upstream,
            pause_ms = pause_ms.0, until:%;
            "upstream requested a pause"
        );
    }
}

/// Waits for the start of a stream, so that the request can still be retried if the upstream fails
/// before: for the first whole event, or for the first bytes of a body without events.
async fn wait_for_first_event(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
    mut received: ReceivedResponse,
) -> AttemptResult {
    let remaining = context.remaining(shared.now());
    let body = received.response.body_mut();
    let first = timeout(
        remaining.into(),
        read_first_event(body, &mut received.events),
    )
    .await;
    match first {
        Err(_) => {
            record_failure(shared, context, plan, "no event in time");
            AttemptResult::TimedOut
        }
        Ok(Err(cause)) => {
            record_failure(shared, context, plan, &cause);
            handle_waiting_break(shared, context, plan).await;
            AttemptResult::NoAnswer(AttemptOutcome::Unknown)
        }
        Ok(Ok(first_data)) => {
            if !first_data.is_empty() {
                received.in_flight.record_first_token();
                origins::record(shared, context, plan).await;
            }
            let first_data = Some(first_data).filter(|data| !data.is_empty());
            AttemptResult::Answer(Box::new(start_relay(
                shared, context, plan, received, first_data,
            )))
        }
    }
}

/// Reads the start of a stream; returns nothing if a stream without events ends before, and the cause if
/// it fails.
async fn read_first_event(
    body: &mut Incoming,
    events: &mut Option<EventBoundary>,
) -> Result<Bytes, String> {
    let mut first = BytesMut::new();
    loop {
        let Some(frame) = body.frame().await else {
            return match events {
                Some(_) => Err("stream ended without a whole event".to_owned()),
                None => Ok(first.freeze()),
            };
        };
        let frame = frame.map_err(|e| describe(&e))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let has_event = match events {
            Some(events) => {
                events.push(&data);
                events.events() > 0
            }
            None => true,
        };
        if first.is_empty() && has_event {
            return Ok(data);
        }
        first.extend_from_slice(&data);
        if has_event || first.len() > MAX_FIRST_EVENT_BYTES {
            return Ok(first.freeze());
        }
    }
}

async fn handle_not_run(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
    received: ReceivedResponse,
) -> AttemptResult {
    let upstream = &plan.choice.upstream;
    let status = received.response.status();
    let answering_id = received.head.upstream.as_deref();
    let displaced =
        received.head.misdirected && answering_id.is_some_and(|id| id != upstream.as_str());
    if displaced {
        // The answer may have come over a connection from before a restart at the same address, so
        // idle connections are closed and the upstream is probed again on a new one.
        shared.pool.close(plan.addr);
        let mut directory = shared.directory.borrow_mut();
        if let Some(health) = directory.health(upstream) {
            health.record_unreachable(shared.now());
        }
    }
    shared.metrics.record_failed_attempt("not_run");
    if shared.metrics.may_log_refusal(shared.now()) {
        log::info!(
            request_id = context.request_head.request_id.as_str(), upstream:% = upstream,
            status = status.as_u16(), displaced,
            weights_sent = plan.choice.weights.unwrap_or_default().0,
            weights_held = received.head.weights.unwrap_or_default().0;
            "upstream did not run the request"
        );
    }
    if !displaced {
        return_to_pool(shared, plan, received).await;
    }
    AttemptResult::NoAnswer(AttemptOutcome::NotRun)
}

/// Returns the connection to the pool if the remainder of the answer is short and arrives without delay.
async fn return_to_pool(shared: &Rc<Shared>, plan: &AttemptPlan, received: ReceivedResponse) {
    const REMAINDER_TIMEOUT_MS: DurationMs = DurationMs(20);
    const MAX_REMAINDER_BYTES: usize = 16_384;
    let closes = received.head.closes;
    let rest = Limited::new(received.response.into_body(), MAX_REMAINDER_BYTES);
    let rest = timeout(REMAINDER_TIMEOUT_MS.into(), rest.collect()).await;
    if matches!(rest, Ok(Ok(_))) && !closes {
        let idle_ms = received.head.idle_ms;
        let now = shared.now();
        shared
            .pool
            .put(plan.addr, received.connection, idle_ms, now);
    }
}

fn start_relay(
    shared: &Rc<Shared>,
    context: &SharedContext,
    plan: &AttemptPlan,
    received: ReceivedResponse,
    first_data: Option<Bytes>,
) -> Relay {
    let mut in_flight = received.in_flight;
    in_flight.record_first_token();
    Relay::new(RelayParts {
        shared: shared.clone(),
        context: context.clone(),
        choice: plan.choice.clone(),
        saves: plan.save_to.is_some(),
        sent_to: plan.sent_to(),
        software: plan.software.clone(),
        response: received.response,
        head: received.head,
        connection: received.connection,
        in_flight,
        first_data,
        events: received.events,
    })
}

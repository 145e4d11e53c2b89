//! One try at one upstream.

use std::rc::Rc;

use bytes::Bytes;
use dw_base::DurationMs;
use dw_net::connect;
use dw_net::describe;
use dw_net::Connection;
use dw_net::Dial;
use dw_port::Envelope;
use dw_port::ResponseHead;
use dw_retry::AttemptOutcome;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::choose::Plan;
use crate::in_flight::InFlight;
use crate::job::SharedJob;
use crate::relay::Relay;
use crate::relay::RelayParts;
use crate::request::point;
use crate::shared::Shared;

/// Longest time until an upstream accepts a connection; a live one takes a few milliseconds.
const CONNECT_MS: DurationMs = DurationMs(250);

/// Time without an acknowledgement from an upstream after which its connection ends.
const SILENCE_MS: DurationMs = DurationMs(1_000);

/// Longest idle time of a connection that carries a request which must not be repeated.
///
/// A request on a connection that the upstream closes at that moment has an unknown outcome.
const FRESH_IDLE_MS: DurationMs = DurationMs(1_000);

/// Time over which routers spread their first requests after a pause that an upstream has asked for.
const PAUSE_SPREAD_MS: DurationMs = DurationMs(150);

/// How a try ended.
pub(crate) enum Ended {
    /// The upstream answers.
    Answer(Box<Relay>),
    /// The upstream answers that it failed after it ran the request.
    Failure(Box<Relay>),
    /// There was no answer before the caller or the route stopped waiting.
    TimedOut,
    /// There is no answer.
    AttemptOutcome(AttemptOutcome),
}

/// Sends a request to the planned upstream and waits for the start of its answer.
pub(crate) async fn forward(shared: &Rc<Shared>, job: &SharedJob, plan: &Plan) -> Ended {
    let upstream = &plan.choice.upstream;
    let now = shared.now();
    if let Some(health) = shared.directory.borrow_mut().health(upstream) {
        health.record_sent(now);
    }
    let connection = match connection(shared, job, plan).await {
        Ok(connection) => connection,
        Err(fate) => {
            shared.measures.tried("unreachable");
            return Ended::AttemptOutcome(fate);
        }
    };
    let in_flight = InFlight::start(shared, job, plan);
    exchange(shared, job, plan, (connection, in_flight)).await
}

async fn connection(
    shared: &Rc<Shared>,
    job: &SharedJob,
    plan: &Plan,
) -> Result<Connection, AttemptOutcome> {
    let now = shared.now();
    let most_idle_ms = match job.route.kind.may_repeat() {
        true => DurationMs(u64::MAX),
        false => FRESH_IDLE_MS,
    };
    if let Some(connection) = shared.pool.take(plan.addr, most_idle_ms, now) {
        return Ok(connection);
    }
    let dial = Dial {
        addr: plan.addr,
        connect_ms: CONNECT_MS.min(job.left(now)),
        silence_ms: SILENCE_MS,
    };
    connect(dial).await.map_err(|e| {
        let now = shared.now();
        let upstream = &plan.choice.upstream;
        if let Some(health) = shared.directory.borrow_mut().health(upstream) {
            health.record_unreachable(now);
        }
        log::warn!(
            request_id = job.ask.request_id.as_str(), upstream:% = upstream, error = describe(&e);
            "upstream cannot be reached"
        );
        AttemptOutcome::Unsent
    })
}

fn request(shared: &Shared, job: &SharedJob, plan: &Plan) -> Option<Request<Full<Bytes>>> {
    let is_prompt = plan.choice.weights.is_some();
    let envelope = Envelope {
        upstream: plan.choice.upstream.clone(),
        deadline_ms: job.left(shared.now()),
        org: job
            .organisation
            .as_ref()
            .map(|organisation| organisation.org.clone()),
        priority: is_prompt.then(|| job.priority()),
        weights: plan.choice.weights,
        salt: plan.salt.clone(),
        fetch_from: plan.fetch_from,
        save_to: plan.save_to,
        resume_after: None,
    };
    let path = job.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(job.method.clone())
        .uri(path)
        .body(Full::new(job.body.clone()))
        .ok()?;
    *request.headers_mut() = shared.codec.upstream_headers(&job.headers, &envelope);
    Some(request)
}

async fn exchange(
    shared: &Rc<Shared>,
    job: &SharedJob,
    plan: &Plan,
    (mut connection, in_flight): (Connection, InFlight),
) -> Ended {
    let Some(request) = request(shared, job, plan) else {
        return Ended::AttemptOutcome(AttemptOutcome::Unsent);
    };
    let left = job.left(shared.now());
    let answer = timeout(left.into(), connection.try_send_request(request)).await;
    let response = match answer {
        Err(_) => {
            failed(shared, job, plan, "no answer in time");
            return Ended::TimedOut;
        }
        Ok(Err(mut e)) => {
            if e.take_message().is_some() {
                shared.measures.tried("unsent");
                return Ended::AttemptOutcome(AttemptOutcome::Unsent);
            }
            failed(shared, job, plan, &describe(&e.into_error()));
            return Ended::AttemptOutcome(AttemptOutcome::Unknown);
        }
        Ok(Ok(response)) => response,
    };
    let head = shared
        .codec
        .decode_response(response.status(), response.headers());
    let answered = Answered {
        response,
        head,
        connection,
        in_flight,
    };
    judge(shared, job, plan, answered).await
}

/// An answer whose head has arrived.
struct Answered {
    response: Response<Incoming>,
    head: ResponseHead,
    connection: Connection,
    in_flight: InFlight,
}

async fn judge(shared: &Rc<Shared>, job: &SharedJob, plan: &Plan, answered: Answered) -> Ended {
    let status = answered.response.status();
    let upstream = &plan.choice.upstream;
    if let Some(weights) = answered.head.weights {
        shared.weights.borrow_mut().saw(upstream, weights);
    }
    let is_other = |id: &String| *id != job.ask.request_id;
    let id = answered.head.request_id.as_ref();
    let crossed = id.is_some_and(is_other) || (id.is_none() && status.is_success());
    if crossed {
        failed(shared, job, plan, "answer of another request");
        return Ended::AttemptOutcome(AttemptOutcome::Unknown);
    }
    heed(shared, job, plan, &answered.head);
    if answered.head.not_run {
        return not_run(shared, job, plan, answered).await;
    }
    if status.is_server_error() {
        failed(shared, job, plan, status.as_str());
        return Ended::Failure(Box::new(relay(shared, job, plan, answered, None)));
    }
    if !job.route.kind.is_stream() || !status.is_success() {
        return Ended::Answer(Box::new(relay(shared, job, plan, answered, None)));
    }
    first_event(shared, job, plan, answered).await
}

/// Takes in what an upstream says of itself in an answer.
fn heed(shared: &Shared, job: &SharedJob, plan: &Plan, head: &ResponseHead) {
    let upstream = &plan.choice.upstream;
    let other = head.upstream.as_deref();
    if other.is_some_and(|id| id != upstream.as_str()) {
        // Another upstream has the address by now.
        return;
    }
    let now = shared.now();
    let mut directory = shared.directory.borrow_mut();
    if head.leaving && directory.mark_leaving(upstream, now) {
        log::info!(
            request_id = job.ask.request_id.as_str(), upstream:% = upstream;
            "upstream says that it leaves"
        );
    }
    if let Some(pause_ms) = head.pause_ms {
        let spread_ms = PAUSE_SPREAD_MS.0 * u64::from(point(&job.ask.request_id));
        let until = now + pause_ms + DurationMs(spread_ms >> 32);
        directory.pause_until(upstream, until, now);
        log::info!(
            request_id = job.ask.request_id.as_str(), upstream:% = upstream,
            pause_ms = pause_ms.0, until:%;
            "upstream asks for a pause"
        );
    }
}

/// Waits for the first bytes of a stream, so that a failure before them can still be repeated.
async fn first_event(
    shared: &Rc<Shared>,
    job: &SharedJob,
    plan: &Plan,
    mut answered: Answered,
) -> Ended {
    let left = job.left(shared.now());
    let frame = timeout(left.into(), answered.response.body_mut().frame()).await;
    match frame {
        Err(_) => {
            failed(shared, job, plan, "no event in time");
            Ended::TimedOut
        }
        Ok(Some(Err(e))) => {
            failed(shared, job, plan, &describe(&e));
            Ended::AttemptOutcome(AttemptOutcome::Unknown)
        }
        Ok(Some(Ok(frame))) => {
            let first = frame.into_data().ok();
            Ended::Answer(Box::new(relay(shared, job, plan, answered, first)))
        }
        Ok(None) => Ended::Answer(Box::new(relay(shared, job, plan, answered, None))),
    }
}

async fn not_run(shared: &Rc<Shared>, job: &SharedJob, plan: &Plan, answered: Answered) -> Ended {
    let upstream = &plan.choice.upstream;
    let status = answered.response.status();
    let other = answered.head.upstream.as_deref();
    let displaced = answered.head.misdirected && other.is_some_and(|id| id != upstream.as_str());
    if displaced {
        // The answer may come over a connection from before a restart at the same address, so the
        // upstream is probed again on a new one.
        shared.pool.close(plan.addr);
        let mut directory = shared.directory.borrow_mut();
        if let Some(health) = directory.health(upstream) {
            health.record_unreachable(shared.now());
        }
    }
    shared.measures.tried("not_run");
    log::info!(
        request_id = job.ask.request_id.as_str(), upstream:% = upstream, status = status.as_u16(),
        displaced, weights_sent = plan.choice.weights.unwrap_or_default().0,
        weights_held = answered.head.weights.unwrap_or_default().0;
        "upstream did not run the request"
    );
    if !displaced {
        recycle(shared, plan, answered).await;
    }
    Ended::AttemptOutcome(AttemptOutcome::NotRun)
}

/// Keeps the connection if the short rest of the answer arrives at once.
async fn recycle(shared: &Rc<Shared>, plan: &Plan, answered: Answered) {
    const REST_MS: DurationMs = DurationMs(20);
    let closes = answered.head.closes;
    let rest = timeout(REST_MS.into(), answered.response.into_body().collect()).await;
    if matches!(rest, Ok(Ok(_))) && !closes {
        let idle_ms = answered.head.idle_ms;
        let now = shared.now();
        shared
            .pool
            .put(plan.addr, answered.connection, idle_ms, now);
    }
}

fn relay(
    shared: &Rc<Shared>,
    job: &SharedJob,
    plan: &Plan,
    answered: Answered,
    first: Option<Bytes>,
) -> Relay {
    let mut in_flight = answered.in_flight;
    in_flight.first_token();
    Relay::new(RelayParts {
        shared: shared.clone(),
        job: job.clone(),
        choice: plan.choice.clone(),
        saves: plan.save_to.is_some(),
        addr: plan.addr,
        response: answered.response,
        head: answered.head,
        connection: answered.connection,
        in_flight,
        first,
    })
}

fn failed(shared: &Shared, job: &SharedJob, plan: &Plan, why: &str) {
    let now = shared.now();
    let upstream = &plan.choice.upstream;
    if let Some(health) = shared.directory.borrow_mut().health(upstream) {
        health.record_failure(now);
    }
    shared.measures.tried("failed");
    log::warn!(
        request_id = job.ask.request_id.as_str(), upstream:% = upstream, addr:% = plan.addr,
        reason = why, first_token_expected_ms = plan.choice.first_token_ms.0,
        age_ms = now.since(job.arrived).0;
        "upstream failed a request"
    );
}

/// Returns whether an answer counts as good for the health of its upstream.
pub(crate) fn is_good(status: StatusCode) -> bool {
    !status.is_server_error()
}

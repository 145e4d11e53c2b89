//! The HTTP server for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dw_base::RequestId;
use dw_base::Tokens;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::error::CallerError;
use crate::filter::authenticate::authenticate;
use crate::filter::chain;
use crate::filter::limit::limit;
use crate::filter::limit::LimitRequest;
use crate::filter::relay::event_body;
use crate::filter::relay::full;
use crate::filter::relay::json;
use crate::filter::relay::whole;
use crate::filter::relay::AnswerBody;
use crate::filter::relay::Relay;
use crate::filter::resolve::resolve;
use crate::filter::validate::trace_parent;
use crate::filter::validate::validate;
use crate::filter::validate::Body;
use crate::filter::validate::Endpoint;
use crate::filter::validate::Format;
use crate::run::begin;
use crate::run::Begun;
use crate::run::Job;
use crate::shared::Shared;

/// Longest wait for the head of a request.
const HEAD_WAIT: Duration = Duration::from_secs(30);

/// Longest wait for idle connections to close after all requests are done.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed accept, so that others can free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What is kept until the answer is complete.
struct Held {
    shared: Arc<Shared>,
    limit: LimitRequest,
    prompt: Tokens,
    _work: TaskTrackerToken,
    job: Arc<Job>,
}

impl Held {
    /// Measures the time of a complete answer.
    fn answered(&self) {
        let after = self.shared.clock.now().since(self.job.arrived);
        let (service, priority) = self.job.labels();
        self.shared.measures.answered(service, &priority, after);
    }

    /// Measures the answer and gives back the allowance for tokens that were not generated.
    fn done(&self, generated: Tokens) {
        self.answered();
        let used = self.prompt.0.saturating_add(generated.0);
        let unused = Tokens(self.limit.tokens.0.saturating_sub(used));
        self.shared.limiter.refund(&self.limit, unused);
    }
}

/// Form of the answer to a generate request.
struct Shape {
    format: Format,
    model: String,
}

/// Serves callers until `stop` is cancelled.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Without the option chunks may be delayed, but the answer stays right.
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        let service = service_fn(move |request| answer(shared.clone(), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_WAIT)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(error:% = e; "connection of a caller ended");
            }
        });
    }
    drop(listener);
    let closing = tokio::time::timeout(CLOSE_WAIT, graceful.shutdown());
    if closing.await.is_err() {
        log::warn!("connections of callers are still open at exit");
    }
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    // The token precedes the check of the drain, so that a drain waits for every accepted request.
    let token = shared.work.token();
    shared.measures.requests.inc();
    let request_id = RequestId::from_random(rand::random());
    let result = handle(&shared, request, &request_id, token).await;
    let mut response = result.unwrap_or_else(|e| {
        shared.measures.failed(e.kind, e.not_run);
        log::info!(request_id:% = request_id, kind = e.kind, not_run = e.not_run; "request refused");
        error_response(&e, &request_id)
    });
    if let Ok(value) = HeaderValue::from_str(request_id.as_str()) {
        response.headers_mut().insert("x-request-id", value);
    }
    if shared.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

async fn handle(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    request_id: &RequestId,
    token: TaskTrackerToken,
) -> Result<Response<AnswerBody>, CallerError> {
    if let Some(error) = shared.not_ready() {
        return Err(error);
    }
    let arrived = shared.clock.now();
    let parent = trace_parent(request.headers());
    let span = Arc::new(parent.span("request"));
    let step = |name: &'static str| fastrace::Span::enter_with_parent(name, &span);
    let endpoint = endpoint(request.method(), request.uri().path())?;
    let config = shared.config.current();
    let (head, body) = request.into_parts();
    let org = in_span(step("authenticate"), || {
        authenticate(&shared.tokens, &config, &head.headers)
    })?;
    let body = read_body(shared, body).await?;
    let asked = in_span(step("validate"), || {
        validate(&endpoint, &head.headers, body)
    })?;
    let resolved = in_span(step("resolve"), || resolve(&config, &asked))?;
    let (shape, stream, answer_tokens) = match &asked.body {
        Body::Generate {
            model,
            max_tokens,
            stream,
            format,
            ..
        } => {
            let shape = Shape {
                format: *format,
                model: model.to_string(),
            };
            (Some(shape), *stream, *max_tokens)
        }
        Body::Call(_) => (None, false, 0),
    };
    let prompt = resolved.prompt_tokens;
    let use_ = LimitRequest {
        org: org.clone(),
        service: asked.service.clone(),
        tokens: Tokens(prompt.0 + answer_tokens),
        now: arrived,
    };
    in_span(step("limit"), || limit(shared.limiter.as_ref(), &use_))?;
    let work = in_span(step("chain"), || {
        chain::work(&org, &resolved, asked.key, asked.body)
    });
    let job = Arc::new(Job {
        request_id: request_id.clone(),
        trace: parent.child_of(&span),
        span,
        arrived,
        priority: resolved.priority,
        deadline: arrived + resolved.deadline,
        config_version: config.version,
        stream,
        work,
        service: resolved.service,
        org,
    });
    let begun = begin(shared, &job).await.inspect_err(|e| {
        if e.not_run {
            shared.limiter.refund(&use_, use_.tokens);
        }
    })?;
    let held = Held {
        shared: shared.clone(),
        limit: use_,
        prompt,
        _work: token,
        job: job.clone(),
    };
    respond(job, shape, begun, held)
}

/// Turns the begun answer into a response; `held` is kept until a stream is complete.
fn respond(
    job: Arc<Job>,
    shape: Option<Shape>,
    begun: Begun,
    held: Held,
) -> Result<Response<AnswerBody>, CallerError> {
    let mismatch = || CallerError::unavailable("unavailable", "the answer has the wrong form");
    match (begun, shape) {
        (Begun::Answer(upstream, answer), None) => {
            let status = StatusCode::from_u16(answer.http_status);
            log_done(&job, upstream.as_str());
            let status = status.map_err(|_| mismatch().may_have_run(true))?;
            held.answered();
            Ok(response(status, "application/json", full(answer.body)))
        }
        (Begun::Whole(text), Some(shape)) => {
            log_done(&job, text.upstream.as_str());
            held.done(Tokens(text.end.tokens));
            let body = whole(&job, shape.format, &shape.model, text);
            Ok(response(StatusCode::OK, "application/json", full(body)))
        }
        (Begun::Stream(live, start, first), Some(shape)) => {
            let (events, body) = event_body();
            let relay = Relay {
                job: job.clone(),
                format: shape.format,
                model: shape.model,
                start,
                events,
            };
            tokio::spawn(async move {
                let _span = job.step("relay");
                let upstream = live.upstream().clone();
                match relay.run(*live, first).await {
                    Ok(generated) => {
                        log_done(&job, upstream.as_str());
                        held.done(generated);
                    }
                    Err(e) => {
                        held.shared.measures.failed(e.kind, e.not_run);
                        log::warn!(
                            request_id:% = job.request_id, upstream:% = upstream, kind = e.kind;
                            "stream ended with an error"
                        );
                    }
                }
            });
            Ok(response(StatusCode::OK, "text/event-stream", body))
        }
        _ => Err(mismatch().may_have_run(true)),
    }
}

/// Runs one step in its span.
fn in_span<T>(span: fastrace::Span, step: impl FnOnce() -> T) -> T {
    let result = step();
    drop(span);
    result
}

fn log_done(job: &Job, upstream: &str) {
    log::info!(
        request_id:% = job.request_id, org:% = job.org, service:% = job.service.name,
        upstream = upstream; "request done"
    );
}

fn endpoint(method: &Method, path: &str) -> Result<Endpoint, CallerError> {
    let found = match path {
        "/v1/chat/completions" => Some(Endpoint::Chat),
        "/v1/completions" => Some(Endpoint::Completion),
        _ => path
            .strip_prefix("/v1/services/")
            .and_then(|rest| rest.strip_suffix("/calls"))
            .map(|service| Endpoint::Call(service.to_owned())),
    };
    let paths = "use POST on /v1/chat/completions, /v1/completions or /v1/services/{service}/calls";
    let Some(endpoint) = found else {
        let message = "the path does not exist";
        return Err(CallerError::not_run(
            StatusCode::NOT_FOUND,
            "not_found",
            message,
            paths,
        ));
    };
    if method != Method::POST {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        let message = "the method is not allowed";
        return Err(CallerError::not_run(
            status,
            "method_not_allowed",
            message,
            paths,
        ));
    }
    Ok(endpoint)
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, CallerError> {
    let most = shared.settings.max_body_bytes;
    let limited = Limited::new(body, usize::try_from(most.0).unwrap_or(usize::MAX));
    let wait = Duration::from(shared.settings.body_wait.0);
    let Ok(read) = tokio::time::timeout(wait, limited.collect()).await else {
        return Err(CallerError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            "the body did not arrive in time",
            "send the whole body at once",
        ));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(CallerError::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            "the body is too large",
            format!("send at most {most}"),
        )),
        Err(e) => Err(CallerError::bad_request(
            format!("the body is incomplete: {e}"),
            "send the whole body",
        )),
    }
}

fn response(
    status: StatusCode,
    content_type: &'static str,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

fn error_response(error: &CallerError, request_id: &RequestId) -> Response<AnswerBody> {
    let body = full(json(&error.body(request_id)));
    let mut response = response(error.status, "application/json", body);
    if let Some(after) = error.retry_after_ms {
        let seconds = after.0.div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

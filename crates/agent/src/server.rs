//! HTTP server of the data path.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use dw_wire::decode;
use dw_wire::encode_frame;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::Refusal;
use dw_wire::RefusalReason;
use dw_wire::ResumeRequest;
use dw_wire::RunRequest;
use dw_wire::Work;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::arrival::Arrival;
use crate::call::PlainCall;
use crate::check::check;
use crate::generate::Generation;
use crate::generate::Job;
use crate::live::Cursor;
use crate::live::Live;
use crate::relay::RelayBody;
use crate::shared::lock;
use crate::shared::Shared;
use crate::trace::Trace;
use crate::wait::chain_of;

/// Longest request accepted; a prompt of 2 million tokens has 8 MB.
const MAX_REQUEST_BYTES: usize = 16 << 20;

/// Most answers kept, running ones included. The bytes of each are bounded by the settings.
const MAX_CALLS: usize = 4_096;

/// Serves connections until `stop`, then lets the open ones finish.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((socket, _)) => spawn_connection(&shared, socket, &graceful),
            Err(error) => {
                // The process may be out of file descriptors; a pause lets some close.
                log::warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn spawn_connection(shared: &Arc<Shared>, socket: TcpStream, graceful: &GracefulShutdown) {
    if let Err(error) = socket.set_nodelay(true) {
        log::warn!("event=nodelay_failed error={error:?}");
    }
    let killed = shared.killed.clone();
    let shared = Arc::clone(shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(answer(&shared, request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Some(Err(error)) = killed.run_until_cancelled(connection).await {
            log::debug!("event=connection_ended error={error:?}");
        }
    });
}

async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<RelayBody> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match (method, path.as_str()) {
        (Method::GET, "/healthz") => plain(StatusCode::OK),
        (Method::GET, "/readyz") if shared.status(None).accepting => plain(StatusCode::OK),
        (Method::GET, "/readyz") => plain(StatusCode::SERVICE_UNAVAILABLE),
        (Method::POST, "/v1/run") => match read(request).await {
            Some(bytes) => run(shared, &bytes),
            None => plain(StatusCode::PAYLOAD_TOO_LARGE),
        },
        (Method::POST, "/v1/resume") => match read(request).await {
            Some(bytes) => resume(shared, &bytes),
            None => plain(StatusCode::PAYLOAD_TOO_LARGE),
        },
        _ => plain(StatusCode::NOT_FOUND),
    }
}

async fn read(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    Some(body.collect().await.ok()?.to_bytes())
}

fn plain(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::single(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn single(frame: &Frame) -> Response<RelayBody> {
    match encode_frame(frame) {
        Ok(bytes) => Response::new(RelayBody::single(bytes)),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn run(shared: &Arc<Shared>, bytes: &[u8]) -> Response<RelayBody> {
    let arrived = shared.clock.now();
    let Ok(request) = decode::<RunRequest>(bytes) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let call = (request.request_id.clone(), request.attempt);
    let known = lock(&shared.calls).get(&call).cloned();
    if let Some(live) = known {
        // A repeated message must not run the attempt again.
        return follow(shared, live, 0, &request);
    }
    let trace = Trace::start(request.traceparent.as_deref());
    let admitting = trace.step("admit");
    let checked = check(shared, &request);
    drop(admitting);
    if let Err((reason, retry_after_ms)) = checked {
        let chain = chain_of(&request);
        return single(&shared.refusal(&request.request_id, reason, retry_after_ms, chain));
    }
    let live = Live::new(shared.settings.resume_bytes, &shared.memory);
    let mut calls = lock(&shared.calls);
    if calls.len() >= MAX_CALLS {
        drop(calls);
        let chain = chain_of(&request);
        let id = &request.request_id;
        return single(&shared.refusal(id, RefusalReason::QueueFull, None, chain));
    }
    calls.insert(call, Arc::clone(&live));
    drop(calls);
    let response = follow(shared, Arc::clone(&live), 0, &request);
    let arrival = Arrival {
        request,
        live,
        arrived,
        trace,
    };
    start(shared, arrival);
    response
}

fn start(shared: &Arc<Shared>, arrival: Arrival) {
    let task_shared = Arc::clone(shared);
    match arrival.request.work.clone() {
        Work::Generate {
            model,
            weights,
            chain,
            prompt,
            max_tokens,
        } => {
            let job = Job {
                model,
                weights,
                chain,
                prompt,
                max_tokens,
            };
            shared.spawn(Generation::new(task_shared, arrival, job).run());
        }
        Work::Call { key, body } => {
            shared.spawn(PlainCall::new(task_shared, arrival, (key, body)).run());
        }
    }
}

fn follow(
    shared: &Arc<Shared>,
    live: Arc<Live>,
    from_seq: u64,
    request: &RunRequest,
) -> Response<RelayBody> {
    let id = request.request_id.clone();
    follow_from(shared, live, from_seq, id)
}

fn follow_from(
    shared: &Arc<Shared>,
    live: Arc<Live>,
    from_seq: u64,
    id: dw_base::RequestId,
) -> Response<RelayBody> {
    let status_source = Arc::clone(shared);
    let gone = move || resume_unavailable(&status_source, &id);
    let (body, feed) = RelayBody::follow(live, Cursor::new(from_seq), gone);
    let killed = shared.killed.clone();
    tokio::spawn(async move {
        killed.run_until_cancelled_owned(feed).await;
    });
    Response::new(body)
}

fn resume(shared: &Arc<Shared>, bytes: &[u8]) -> Response<RelayBody> {
    let Ok(request) = decode::<ResumeRequest>(bytes) else {
        return plain(StatusCode::BAD_REQUEST);
    };
    if request.protocol != dw_wire::PROTOCOL_VERSION {
        return single(&Frame::Refused(Refusal {
            request_id: request.request_id,
            reason: RefusalReason::BadRequest,
            retry_after_ms: None,
            better: None,
            status: None,
        }));
    }
    let call = (request.request_id.clone(), request.attempt);
    let live = lock(&shared.calls).get(&call).cloned();
    match live {
        Some(live) => follow_from(shared, live, request.from_seq, request.request_id),
        None => single(&resume_unavailable(shared, &request.request_id)),
    }
}

fn resume_unavailable(shared: &Shared, request_id: &dw_base::RequestId) -> Frame {
    Frame::Failed(dw_wire::Failure {
        request_id: request_id.clone(),
        kind: FailureKind::ResumeUnavailable,
        may_have_run: true,
        message: "the chunks to resume from are not kept".to_owned(),
        status: shared.status(None),
    })
}

/// Drops answers whose retention time has passed.
pub(crate) fn sweep(shared: &Shared) {
    let now = shared.clock.now();
    lock(&shared.calls).retain(|_, live| !live.expired(now));
}

//! The HTTP server that every stand-in runs on.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Pause after a failed accept, so that a lasting failure does not use a whole core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The connection is closed without a complete answer.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection cut by the stand-in")]
pub struct Cut;

/// Body of an answer; an error in it closes the connection before the end of the answer.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, Cut>;

/// Answer of a handler.
pub(crate) type Reply = Result<Response<ReplyBody>, Cut>;

/// What a stand-in does with a request.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request or cuts its connection.
    async fn handle(&self, request: Request<Bytes>) -> Reply;
}

/// A running stand-in; dropping it stops the stand-in.
#[derive(Debug)]
pub struct Running {
    addr: SocketAddr,
    stop: CancellationToken,
    connections: TaskTracker,
}

impl Running {
    /// Returns the address that the stand-in listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs a task until the stand-in stops.
    pub(crate) fn background(&self, task: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.connections.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Closes the listener and every connection, and waits until they are closed.
    pub async fn stop(self) {
        self.stop.cancel();
        self.connections.wait().await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns an ephemeral loopback address.
pub fn ephemeral() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Starts a server for `handler`.
pub(crate) async fn serve(addr: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Running> {
    let listener = TcpListener::bind(addr).await?;
    let running = Running {
        addr: listener.local_addr()?,
        stop: CancellationToken::new(),
        connections: TaskTracker::new(),
    };
    let (stop, connections) = (running.stop.clone(), running.connections.clone());
    running.connections.spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = accept(&listener, &handler, &stop, &connections) => {}
        }
        connections.close();
    });
    Ok(running)
}

async fn accept(
    listener: &TcpListener,
    handler: &Arc<dyn Handler>,
    stop: &CancellationToken,
    connections: &TaskTracker,
) {
    loop {
        // An accept error, such as too many open files, concerns one connection only.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (handler, stop) = (Arc::clone(handler), stop.clone());
        connections.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection(stream, handler) => {}
            }
        });
    }
}

async fn connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    // Without this, a token would wait for the acknowledgement of the one before.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move {
            let (parts, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
            handler.handle(Request::from_parts(parts, body)).await
        }
    });
    // An error means that the connection has ended, by the peer or by a cut.
    let _ended = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn full(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Answers with raw bytes.
pub(crate) fn bytes_reply(status: StatusCode, bytes: Bytes) -> Reply {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    Ok(response)
}

/// Answers with JSON.
pub(crate) fn json_reply(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).map_err(|_| Cut)?;
    let mut response = Response::new(full(Bytes::from(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Answers with an error body that names kind and cause.
pub(crate) fn error_reply(status: StatusCode, error: &str, message: &str) -> Reply {
    json_reply(
        status,
        &serde_json::json!({"error": error, "message": message}),
    )
}

/// A body is not of the expected form.
#[derive(Debug)]
pub(crate) struct BadRequest(String);

impl BadRequest {
    pub(crate) fn reply(&self) -> Reply {
        error_reply(StatusCode::BAD_REQUEST, "bad_request", &self.0)
    }
}

/// Parses a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, BadRequest> {
    serde_json::from_slice(request.body()).map_err(|error| BadRequest(error.to_string()))
}

/// Answers a path or method that the stand-in does not have.
pub(crate) fn not_found(request: &Request<Bytes>) -> Reply {
    let message = format!(
        "{} {} does not exist",
        request.method(),
        request.uri().path()
    );
    error_reply(StatusCode::NOT_FOUND, "not_found", &message)
}

/// Returns the value of a query parameter.
pub(crate) fn query<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

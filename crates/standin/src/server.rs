//! HTTP server shared by all stand-ins.

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

/// Delay after a failed accept, so that a persistent failure does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The stand-in closes the connection without a complete response.
#[derive(Clone, Copy, Debug, Error)]
#[error("connection closed by the stand-in")]
pub struct ConnectionAborted;

/// Response body; an error in it closes the connection before the response is complete.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, ConnectionAborted>;

/// Result of a handler.
pub(crate) type Reply = Result<Response<ReplyBody>, ConnectionAborted>;

/// Request handler of a stand-in.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Returns the response, or an error that closes the connection.
    async fn handle(&self, request: Request<Bytes>) -> Reply;
}

/// Handle of a running server; dropping it stops the server.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    shutdown: CancellationToken,
    tasks: TaskTracker,
}

impl ServerHandle {
    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Spawns a task that is stopped with the server.
    pub(crate) fn spawn_background(&self, task: impl Future<Output = ()> + Send + 'static) {
        let shutdown = self.shutdown.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Closes the listener and all connections, and waits until they are closed.
    pub async fn stop(self) {
        self.shutdown.cancel();
        self.tasks.wait().await;
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}

/// Returns the loopback address with port 0, for which the system assigns an ephemeral port.
pub fn ephemeral_addr() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Starts a server for `handler`.
pub(crate) async fn serve(addr: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<ServerHandle> {
    let listener = TcpListener::bind(addr).await?;
    let handle = ServerHandle {
        addr: listener.local_addr()?,
        shutdown: CancellationToken::new(),
        tasks: TaskTracker::new(),
    };
    let (shutdown, tasks) = (handle.shutdown.clone(), handle.tasks.clone());
    handle.tasks.spawn(async move {
        tokio::select! {
            () = shutdown.cancelled() => {}
            () = accept_loop(&listener, &handler, &shutdown, &tasks) => {}
        }
        tasks.close();
    });
    Ok(handle)
}

async fn accept_loop(
    listener: &TcpListener,
    handler: &Arc<dyn Handler>,
    shutdown: &CancellationToken,
    tasks: &TaskTracker,
) {
    loop {
        // An accept error, such as too many open files, affects a single connection only, so the
        // listener keeps running.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (handler, shutdown) = (Arc::clone(handler), shutdown.clone());
        tasks.spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = serve_connection(stream, handler) => {}
            }
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn Handler>) {
    // With Nagle's algorithm, each token would wait for the acknowledgement of the previous one.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move {
            let (parts, body) = request.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|_| ConnectionAborted)?
                .to_bytes();
            handler.handle(Request::from_parts(parts, body)).await
        }
    });
    // An error only means that the peer or an injected fault closed the connection.
    let _result = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn full_body(bytes: Bytes) -> ReplyBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a response with a raw body.
pub(crate) fn bytes_reply(status: StatusCode, bytes: Bytes) -> Reply {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    Ok(response)
}

/// Returns a response with a JSON body.
pub(crate) fn json_reply(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).map_err(|_| ConnectionAborted)?;
    let mut response = Response::new(full_body(Bytes::from(bytes)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// Returns a JSON error response with an error code and a message.
pub(crate) fn error_reply(status: StatusCode, error: &str, message: &str) -> Reply {
    json_reply(
        status,
        &serde_json::json!({"error": error, "message": message}),
    )
}

/// The request body cannot be parsed.
#[derive(Debug)]
pub(crate) struct BadRequest(String);

impl BadRequest {
    pub(crate) fn reply(&self) -> Reply {
        error_reply(StatusCode::BAD_REQUEST, "bad_request", &self.0)
    }
}

/// Parses the JSON body of a request.
pub(crate) fn parse_json<T: DeserializeOwned>(request: &Request<Bytes>) -> Result<T, BadRequest> {
    serde_json::from_slice(request.body()).map_err(|error| BadRequest(error.to_string()))
}

/// Returns the response for an unknown path or method.
pub(crate) fn not_found(request: &Request<Bytes>) -> Reply {
    let message = format!(
        "{} {} does not exist",
        request.method(),
        request.uri().path()
    );
    error_reply(StatusCode::NOT_FOUND, "not_found", &message)
}

/// Returns the value of a query parameter.
pub(crate) fn query_param<'a>(request: &'a Request<Bytes>, name: &str) -> Option<&'a str> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

//! The administration port.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use dw_admin::post_statements;
use dw_admin::StatementHandler;
use dw_telem::Metrics;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::StatusCode;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::Server;

use crate::shared::Shared;

/// Largest body of a statement request.
const MOST_BODY_BYTES: u64 = 1 << 20;

/// Longest wait for a client that neither sends nor reads.
const IO_WAIT: Duration = Duration::from_secs(30);

/// Most connections at the same time; each has a thread.
const MOST_CONNECTIONS: usize = 64;

/// Attempts to find a free port when the settings name none.
const PORT_ATTEMPTS: usize = 16;

/// Starts the port and returns its address. The server has no shutdown, so that its handler holds
/// the router weakly and answers 503 once the router is gone.
pub(crate) fn start(
    addr: SocketAddr,
    shared: &Arc<Shared>,
    statements: Option<&Arc<dyn StatementHandler>>,
) -> io::Result<SocketAddr> {
    let mut failure = io::Error::other("no free port for the administration API");
    for _ in 0..PORT_ATTEMPTS {
        let addr = concrete(addr)?;
        let weak = Arc::downgrade(shared);
        let statements = statements.cloned();
        let server = Server::new(move |request| match weak.upgrade() {
            Some(shared) => answer(&shared, statements.as_deref(), request),
            None => text(StatusCode::SERVICE_UNAVAILABLE, "the router has stopped\n"),
        });
        let server = server
            .bind(addr)
            .with_global_timeout(IO_WAIT)
            .with_max_concurrent_connections(MOST_CONNECTIONS);
        match server.spawn() {
            Ok(_) => return Ok(addr),
            Err(e) => failure = e,
        }
    }
    Err(failure)
}

/// Replaces port 0 by a free port, because the server does not tell which port it has bound.
fn concrete(addr: SocketAddr) -> io::Result<SocketAddr> {
    if addr.port() != 0 {
        return Ok(addr);
    }
    TcpListener::bind((addr.ip(), 0))?.local_addr()
}

fn answer(
    shared: &Shared,
    statements: Option<&dyn StatementHandler>,
    request: &mut Request<Body>,
) -> Response<Body> {
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/metrics") => typed(Metrics::CONTENT_TYPE, shared.metrics_text()),
        ("GET", "/healthz") => text(StatusCode::OK, "ok\n"),
        ("GET", "/readyz") if shared.is_ready() => text(StatusCode::OK, "ready\n"),
        ("GET", "/readyz") => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        ("POST", "/v1/statements") => execute(statements, request),
        _ => text(
            StatusCode::NOT_FOUND,
            "use GET /metrics, /healthz or /readyz, or POST /v1/statements\n",
        ),
    }
}

fn execute(
    statements: Option<&dyn StatementHandler>,
    request: &mut Request<Body>,
) -> Response<Body> {
    let Some(statements) = statements else {
        return text(
            StatusCode::SERVICE_UNAVAILABLE,
            "this router executes no statements; send them to another router\n",
        );
    };
    let mut body = Vec::new();
    let mut limited = request.body_mut().take(MOST_BODY_BYTES + 1);
    if limited.read_to_end(&mut body).is_err() {
        return text(
            StatusCode::BAD_REQUEST,
            "the body is incomplete; send it again\n",
        );
    }
    if body.len() as u64 > MOST_BODY_BYTES {
        let message = "the body is too large; send fewer statements\n";
        return text(StatusCode::PAYLOAD_TOO_LARGE, message);
    }
    let authorization = request.headers().get(AUTHORIZATION);
    let authorization = authorization.and_then(|value| value.to_str().ok());
    let answer = post_statements(statements, authorization, &body);
    let status = StatusCode::from_u16(answer.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    with_type(status, "application/json", answer.body.into_bytes())
}

fn text(status: StatusCode, body: &'static str) -> Response<Body> {
    with_type(status, "text/plain", body.as_bytes().to_vec())
}

fn typed(content_type: &'static str, body: String) -> Response<Body> {
    with_type(StatusCode::OK, content_type, body.into_bytes())
}

fn with_type(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

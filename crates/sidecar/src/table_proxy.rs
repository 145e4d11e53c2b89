//! Passes calls of routers that the platform's store turns away on to it.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_follow::PROXIED_ANSWER_TIMEOUT_MS;
use dw_net::accept_each;
use dw_net::listen;
use dw_port::TableProxy;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::spawn_local;

use crate::sidecar::Shared;

/// Open connections of routers. They spread over all sidecars, so few routers ask the same one.
const MAX_CONNECTIONS: usize = 32;

/// Time without a call after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a failed call in which others are refused at once, so that the calls of many routers do not add up
/// while the store is down.
const REFUSAL_MS: DurationMs = DurationMs(1_000);

/// Creates what passes the calls of one connection on.
pub(crate) type ConnectTable = Box<dyn Fn() -> Box<dyn TableProxy>>;

struct ProxyServer {
    shared: Rc<Shared>,
    connections: Cell<usize>,
    failed_at: Cell<Option<TimeMs>>,
}

/// Serves the calls of routers until the task is aborted. A sidecar whose address is in use does all else, as
/// routers ask other sidecars too.
pub(crate) async fn serve(shared: Rc<Shared>, addr: SocketAddr, connect: ConnectTable) {
    let listener = match listen("table proxy", addr).await {
        Ok((listener, _)) => listener,
        Err(e) => {
            log::error!(error:% = e; "calls of routers to the table are not passed on");
            return;
        }
    };
    let server = Rc::new(ProxyServer {
        shared,
        connections: Cell::new(0),
        failed_at: Cell::default(),
    });
    let handle = |stream| {
        if server.connections.get() < MAX_CONNECTIONS {
            spawn_local(serve_connection(server.clone(), stream, connect()));
        }
    };
    accept_each("table proxy", listener, handle).await;
}

async fn serve_connection(server: Rc<ProxyServer>, stream: TcpStream, table: Box<dyn TableProxy>) {
    server.connections.set(server.connections.get() + 1);
    // The calls of a connection follow one another.
    let table = Rc::new(Mutex::new(table));
    let answering = server.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (server, table) = (answering.clone(), table.clone());
        async move {
            let mut table = table.lock().await;
            let response = server.answer(table.as_mut(), &request).await;
            Ok::<_, Infallible>(response.map(Full::new))
        }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // The router sees the error of its own connection.
    drop(serving.await);
    server.connections.set(server.connections.get() - 1);
}

impl ProxyServer {
    async fn answer(
        &self,
        table: &mut dyn TableProxy,
        request: &Request<Incoming>,
    ) -> Response<Bytes> {
        let failed_at = self.failed_at.get();
        let now = self.shared.clock.now();
        if failed_at.is_some_and(|at| now.since(at) < REFUSAL_MS) {
            return self.refuse("refused");
        }
        let path = request.uri().path_and_query();
        let path = path.map_or("", |path| path.as_str());
        match table.forward(path, PROXIED_ANSWER_TIMEOUT_MS).await {
            Ok(response) => {
                self.failed_at.set(None);
                self.shared.metrics.record_proxied_call("answered");
                response
            }
            Err(e) => {
                log::warn!(path, error:% = e; "call of a router to the table failed");
                self.failed_at.set(Some(self.shared.clock.now()));
                self.refuse("failed")
            }
        }
    }

    fn refuse(&self, result: &'static str) -> Response<Bytes> {
        self.shared.metrics.record_proxied_call(result);
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }
}

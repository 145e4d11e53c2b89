//! Accepts and serves the connections of callers.

use std::convert::Infallible;
use std::future::poll_fn;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use dw_net::accept_each;
use http::header;
use http::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::request::serve;
use crate::shared::Shared;

/// Time without a TCP acknowledgement after which a caller's connection is closed.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Buffer size for the head of a request until a configuration sets the limit.
const DEFAULT_HEAD_BYTES: usize = 16_384;

/// Minimum buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Accepts connections of callers until the task is aborted.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let handle = |stream| {
        tokio::task::spawn_local(serve_connection(shared.clone(), stream));
    };
    accept_each("callers", listener, handle).await;
}

async fn serve_connection(shared: Rc<Shared>, stream: TcpStream) {
    // The options only improve latency and failure detection, so errors are ignored.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(CALLER_ACK_TIMEOUT));
    let (id, connection) = shared.connections.add(shared.now());
    let head_bytes = shared.routes().map_or(DEFAULT_HEAD_BYTES, |routes| {
        routes.limits().header_bytes.0 as usize
    });
    let service = service_fn(|request| {
        let shared = shared.clone();
        let guard = connection.start_request();
        async move {
            let mut response = serve(&shared, request, guard).await;
            if shared.draining.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(head_bytes.max(MIN_BUFFER_BYTES));
    let serving = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut closing = false;
    loop {
        let relaying = poll_fn(|cx| {
            let polled = serving.as_mut().poll(cx);
            if polled.is_pending() {
                connection.read_ahead(cx);
            }
            polled
        });
        tokio::select! {
            // An error means that the caller disconnected or did not send valid HTTP. Each request
            // logs its own end.
            _ = relaying => break,
            () = connection.close.notified(), if !closing => {
                closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
    shared.connections.remove(id);
}

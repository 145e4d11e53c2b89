//! Accepting connections, and short answers over HTTP such as probes and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::bind::listen;
use crate::bind::BindError;

/// Pause after a failed accept, such as one for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Hands each accepted connection to `handle` until the task is aborted; `what` names the address
/// in the log.
pub async fn accept_each(what: &str, listener: TcpListener, handle: impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(e) => {
                log::warn!(what, error:% = e; "connection cannot be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers every request with the status that `status` returns, until the task is aborted; must be
/// called inside a `LocalSet`.
pub async fn serve_status(
    what: &'static str,
    listener: TcpListener,
    status: impl Fn() -> StatusCode + 'static,
) {
    let answer = move || {
        let mut response = Response::new(Full::default());
        *response.status_mut() = status();
        response
    };
    serve_short(what, listener, answer).await;
}

/// Binds an address, starts to answer every request there with the text that `text` returns, and
/// returns the address that is bound; must be called inside a `LocalSet`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn start_text(
    what: &'static str,
    addr: SocketAddr,
    content_type: &'static str,
    text: impl Fn() -> String + 'static,
) -> Result<SocketAddr, BindError> {
    let (listener, bound) = listen(what, addr).await?;
    let answer = move || {
        let mut response = Response::new(Full::new(Bytes::from(text())));
        let kind = HeaderValue::from_static(content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    };
    spawn_local(serve_short(what, listener, answer));
    Ok(bound)
}

async fn serve_short(
    what: &str,
    listener: TcpListener,
    answer: impl Fn() -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    let handle = |stream| {
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(move |_| {
                let response = answer();
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The prober sees the error of its own connection.
            drop(serving.await);
        });
    };
    accept_each(what, listener, handle).await;
}

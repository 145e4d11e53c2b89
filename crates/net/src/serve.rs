//! Short answers over HTTP, such as probes and metrics.

use std::convert::Infallible;
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

/// Pause after a connection that could not be accepted, as when descriptors are short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A short answer.
pub type ShortAnswer = Response<Full<Bytes>>;

/// Returns an answer with no body.
pub fn empty_answer(status: StatusCode) -> ShortAnswer {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns an answer with a text of the given content type.
pub fn text_answer(content_type: &'static str, text: String) -> ShortAnswer {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    let kind = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Answers every request with what `answer` returns, until the task is aborted; must be called
/// inside a `LocalSet`.
pub async fn serve_short(listener: TcpListener, answer: impl Fn() -> ShortAnswer + 'static) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |_| {
                let response = answer();
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The prober sees the error of its own connection.
            drop(serving.await);
        });
    }
}

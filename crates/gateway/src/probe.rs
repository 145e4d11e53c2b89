//! Readiness probe and metrics.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Answers the probes of the balancer.
pub(crate) async fn serve_ready(shared: Rc<Shared>, listener: TcpListener) {
    serve(listener, move |_| {
        let status = match shared.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = status;
        response
    })
    .await;
}

/// Serves metrics in the text format.
pub(crate) async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    serve(listener, move |_| {
        let text = shared.measures.render();
        let mut response = Response::new(Full::new(Bytes::from(text)));
        let kind = HeaderValue::from_static(dw_telem::Metrics::CONTENT_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    })
    .await;
}

async fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>> + 'static,
) {
    let answer = Rc::new(answer);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = answer(&request);
                async move { Ok::<_, Infallible>(response) }
            });
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The prober sees the error of its own connection.
            drop(serving.await);
        });
    }
}

//! Readiness probe and metrics.

use std::rc::Rc;

use dw_net::empty_answer;
use dw_net::serve_short;
use dw_net::text_answer;
use dw_telem::Metrics;
use http::StatusCode;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Answers the probes of the balancer.
pub(crate) async fn serve_ready(shared: Rc<Shared>, listener: TcpListener) {
    let answer = move || {
        empty_answer(match shared.is_ready() {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        })
    };
    serve_short(listener, answer).await;
}

/// Serves metrics in the text format.
pub(crate) async fn serve_metrics(shared: Rc<Shared>, listener: TcpListener) {
    let answer = move || text_answer(Metrics::CONTENT_TYPE, shared.measures.render());
    serve_short(listener, answer).await;
}

//! Readiness probe.

use std::rc::Rc;

use dw_net::serve_status;
use http::StatusCode;
use tokio::net::TcpListener;

use crate::shared::Shared;

/// Answers the readiness probes of the balancer.
pub(crate) async fn serve_ready(shared: Rc<Shared>, listener: TcpListener) {
    let status = move || match shared.is_ready() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    serve_status("readiness", listener, status).await;
}

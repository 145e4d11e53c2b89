//! Answers operators who ask where a request would go.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use dw_api::explain::ExplainError;
use dw_api::explain::ExplainRequest;
use dw_base::TokenHash;
use dw_net::accept_each;
use dw_net::listen;
use dw_net::read_body;
use dw_net::BindError;
use http::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::task::spawn_local;

use crate::explain::explain;
use crate::shared::Shared;

/// Path of the only call.
const PATH: &str = "/v1/explain";

/// Maximum length of a described request.
const MAX_REQUEST_BYTES: usize = 65_536;

/// Starts to answer operators at an address, and returns the address that is bound; must be called inside a
/// `LocalSet`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) async fn start(
    shared: Rc<Shared>,
    addr: SocketAddr,
    token: TokenHash,
) -> Result<SocketAddr, BindError> {
    let (listener, bound) = listen("explain", addr).await?;
    spawn_local(async move {
        let handle = |stream| {
            let shared = shared.clone();
            spawn_local(async move {
                let service = service_fn(|request| answer(&shared, token, request));
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // The operator's client sees the error of its own connection.
                drop(serving.await);
            });
        };
        accept_each("explain", listener, handle).await;
    });
    Ok(bound)
}

async fn answer(
    shared: &Rc<Shared>,
    token: TokenHash,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, error) = match decode(token, request).await {
        Ok(described) => match explain(shared, &described) {
            Ok(explanation) => {
                log::info!(
                    host = described.host.as_str(), path = described.path.as_str(),
                    upstream = explanation.upstream.as_deref().unwrap_or_default(),
                    refused_by = explanation.refused_by.as_deref().unwrap_or_default();
                    "explained a request to an operator"
                );
                return Ok(response(StatusCode::OK, &explanation));
            }
            Err(error) => (StatusCode::UNPROCESSABLE_ENTITY, error),
        },
        Err(rejected) => rejected,
    };
    Ok(response(status, &error))
}

/// Returns the described request, or the answer to a call that contains none.
async fn decode(
    token: TokenHash,
    request: Request<Incoming>,
) -> Result<ExplainRequest, (StatusCode, ExplainError)> {
    let (head, body) = request.into_parts();
    if !bearer(&head.headers).is_some_and(|presented| token.matches(presented)) {
        let error = error("the token is missing or wrong", "give the operator's token");
        return Err((StatusCode::UNAUTHORIZED, error));
    }
    if head.method != Method::POST || head.uri.path() != PATH {
        let remedy = format!("call POST {PATH}");
        return Err((
            StatusCode::NOT_FOUND,
            error("there is no such call", &remedy),
        ));
    }
    let malformed = |e: &dyn std::fmt::Display| {
        let error = error(
            &e.to_string(),
            "send a JSON document as schema/explain.json has it",
        );
        (StatusCode::BAD_REQUEST, error)
    };
    let body = read_body(body, MAX_REQUEST_BYTES).await;
    let body = body.map_err(|e| malformed(&e))?;
    serde_json::from_slice(&body).map_err(|e| malformed(&e))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

fn error(message: &str, remedy: &str) -> ExplainError {
    ExplainError {
        message: message.to_owned(),
        remedy: remedy.to_owned(),
    }
}

fn response(status: StatusCode, content: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

//! HTTP handler of the administration API, called by the administration server of a router.

use dw_api::admin::StatementError;
use dw_api::admin::StatementErrorKind;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use serde::Serialize;
use tokio::runtime::Handle;

use crate::administration::Administration;
use crate::error::statement_error;

/// Handles `POST /v1/statements`.
///
/// A call blocks for up to 13 s, because a change waits for the confirmation of all live nodes. It
/// must run on a thread of the administration server, never in a task of the async runtime.
pub trait StatementHandler: Send + Sync {
    /// Executes the statements of a request. A change is applied completely or rejected.
    fn handle(
        &self,
        operator_token: Option<&str>,
        request: StatementRequest,
    ) -> Result<StatementResponse, StatementError>;
}

/// Executes statements on an async runtime and blocks the calling thread until they are done.
pub struct RuntimeHandler {
    administration: Administration,
    runtime: Handle,
}

impl RuntimeHandler {
    /// Creates a handler that runs on `runtime`.
    pub fn new(administration: Administration, runtime: Handle) -> Self {
        RuntimeHandler {
            administration,
            runtime,
        }
    }
}

impl StatementHandler for RuntimeHandler {
    fn handle(
        &self,
        operator_token: Option<&str>,
        request: StatementRequest,
    ) -> Result<StatementResponse, StatementError> {
        self.runtime
            .block_on(self.administration.execute(operator_token, request))
    }
}

/// Response to an HTTP request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Handles `POST /v1/statements`, given the `Authorization` header and the body of the request.
pub fn post_statements(
    handler: &dyn StatementHandler,
    authorization: Option<&str>,
    body: &[u8],
) -> HttpResponse {
    let token = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let request: Result<StatementRequest, _> = serde_json::from_slice(body);
    let result = match request {
        Ok(request) => handler.handle(token, request),
        Err(error) => Err(statement_error(
            StatementErrorKind::Syntax,
            format!("the body is not a statement request: {error}"),
            "send a JSON object with the field text",
        )),
    };
    match result {
        Ok(response) => json_response(200, &response),
        Err(error) => json_response(status_code(error.kind), &error),
    }
}

fn status_code(kind: StatementErrorKind) -> u16 {
    match kind {
        StatementErrorKind::Syntax => 400,
        StatementErrorKind::Unauthorized => 401,
        StatementErrorKind::UnknownObject => 404,
        StatementErrorKind::Conflict => 409,
        StatementErrorKind::Invalid => 422,
        StatementErrorKind::Unavailable => 503,
    }
}

fn json_response(status: u16, body: &impl Serialize) -> HttpResponse {
    let body = serde_json::to_string(body).unwrap_or_default();
    HttpResponse { status, body }
}

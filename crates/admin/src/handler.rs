//! The interface between a router's administration server and the execution of statements.

use dw_api::admin::StatementError;
use dw_api::admin::StatementErrorKind;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use serde::Serialize;
use tokio::runtime::Handle;

use crate::administration::Administration;
use crate::fault::fault;

/// Answers `POST /v1/statements`.
///
/// The call blocks for up to 13 s, because a change waits until all live nodes have confirmed it. It
/// must run on a thread of the administration server, never inside a task of the executor.
pub trait StatementHandler: Send + Sync {
    /// Executes the statements of a request; a change is either made as a whole or refused.
    fn handle(
        &self,
        operator_token: Option<&str>,
        request: StatementRequest,
    ) -> Result<StatementResponse, StatementError>;
}

/// Executes statements on an executor from the threads of the administration server.
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

/// Answer to an HTTP request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpAnswer {
    /// Status.
    pub status: u16,
    /// JSON body.
    pub body: String,
}

/// Answers `POST /v1/statements` with the value of the `Authorization` header and the body.
pub fn post_statements(
    handler: &dyn StatementHandler,
    authorization: Option<&str>,
    body: &[u8],
) -> HttpAnswer {
    let token = authorization.and_then(|value| value.strip_prefix("Bearer "));
    let request: Result<StatementRequest, _> = serde_json::from_slice(body);
    let result = match request {
        Ok(request) => handler.handle(token, request),
        Err(error) => Err(fault(
            StatementErrorKind::Syntax,
            format!("the body is not a statement request: {error}"),
            "send a JSON object with the field text",
        )),
    };
    match result {
        Ok(response) => answer(200, &response),
        Err(error) => answer(status(error.kind), &error),
    }
}

fn status(kind: StatementErrorKind) -> u16 {
    match kind {
        StatementErrorKind::Syntax => 400,
        StatementErrorKind::Unauthorized => 401,
        StatementErrorKind::UnknownObject => 404,
        StatementErrorKind::Conflict => 409,
        StatementErrorKind::Invalid => 422,
        StatementErrorKind::Unavailable => 503,
    }
}

fn answer(status: u16, body: &impl Serialize) -> HttpAnswer {
    let body = serde_json::to_string(body).unwrap_or_default();
    HttpAnswer { status, body }
}

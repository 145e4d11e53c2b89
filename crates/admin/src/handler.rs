//! The interface between a router's administration server and the execution of statements.

use dw_api::admin::StatementError;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;

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

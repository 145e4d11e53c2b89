//! Errors that callers see.

use dw_api::callers::ErrorBody;
use dw_api::callers::ErrorDetail;
use dw_base::DurationMs;
use dw_base::RequestId;
use http::StatusCode;
use thiserror::Error;

/// An error with its HTTP status and remedy.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{message}; {remedy}")]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Kind, for programs.
    pub kind: &'static str,
    /// What went wrong.
    pub message: String,
    /// What the caller can do.
    pub remedy: String,
    /// Whether the request was certainly not run.
    pub not_run: bool,
    /// When to come back.
    pub retry_after_ms: Option<DurationMs>,
}

impl CallerError {
    /// Creates an error of a request that was certainly not run.
    pub fn not_run(
        status: StatusCode,
        kind: &'static str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        CallerError {
            status,
            kind,
            message: message.into(),
            remedy: remedy.into(),
            not_run: true,
            retry_after_ms: None,
        }
    }

    /// Creates an error for a malformed or unacceptable request.
    pub fn bad_request(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "bad_request", message, remedy)
    }

    /// Creates an error for the time that no upstream can take the request.
    pub fn unavailable(kind: &'static str, message: impl Into<String>) -> Self {
        let remedy = "send the request again after the stated time";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, message, remedy)
            .retry_after(DurationMs(1_000))
    }

    /// Sets when the caller should come back.
    pub fn retry_after(mut self, after: DurationMs) -> Self {
        self.retry_after_ms = Some(after);
        self
    }

    /// States that the request may have been run, if `may` is true.
    pub fn may_have_run(mut self, may: bool) -> Self {
        self.not_run &= !may;
        self
    }

    /// Returns the JSON body.
    pub fn body(&self, request_id: &RequestId) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                type_: self.kind.to_owned(),
                message: self.message.clone(),
                remedy: self.remedy.clone(),
                not_run: self.not_run,
                request_id: request_id.to_string(),
                retry_after_ms: self.retry_after_ms.map(|d| d.0),
            },
        }
    }
}

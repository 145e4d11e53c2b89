//! Applies the limits of an organisation.

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use http::StatusCode;

use crate::error::CallerError;

/// Use that a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitRequest {
    /// Organisation.
    pub org: OrgId,
    /// Service.
    pub service: ServiceId,
    /// Tokens of the prompt and of the longest answer.
    pub tokens: Tokens,
    /// Time of arrival.
    pub now: TimeMs,
}

/// A limit is exhausted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitExceeded {
    /// When allowance will be there again.
    pub retry_after_ms: DurationMs,
}

/// Grants use within the limits of organisations. It must answer without waiting.
pub trait Limiter: Send + Sync {
    /// Takes allowance for a request.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit is exhausted.
    fn admit(&self, request: &LimitRequest) -> Result<(), LimitExceeded>;

    /// Returns allowance of a request that was not run or used fewer tokens.
    fn refund(&self, request: &LimitRequest, unused: Tokens);

    /// Lends allowance to another router.
    ///
    /// # Errors
    ///
    /// Returns an error if this router does not own the limit or knows no such limit.
    fn lend(&self, _request: &LoanRequest, _now: TimeMs) -> Result<Loan, LoanDenied> {
        Err(LoanDenied::NoLimit)
    }
}

/// Grants everything.
#[derive(Clone, Copy, Debug)]
pub struct Unlimited;

impl Limiter for Unlimited {
    fn admit(&self, _request: &LimitRequest) -> Result<(), LimitExceeded> {
        Ok(())
    }

    fn refund(&self, _request: &LimitRequest, _unused: Tokens) {}
}

/// Takes allowance for a request.
pub(crate) fn limit(limiter: &dyn Limiter, request: &LimitRequest) -> Result<(), CallerError> {
    limiter.admit(request).map_err(|exceeded| {
        CallerError::not_run(
            StatusCode::TOO_MANY_REQUESTS,
            "limit_exceeded",
            format!("the limit of organisation {} is exhausted", request.org),
            "send the request again after the stated time, or ask for a higher limit",
        )
        .retry_after(exceeded.retry_after_ms)
    })
}

//! Messages about the request limits of upstreams.

use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::RequestsPerS;
use serde::Deserialize;
use serde::Serialize;

use crate::gossip::UpstreamStart;

/// What an answer of an upstream said about its limit.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Upstream.
    pub upstream: UpstreamStart,
    /// Requests that it takes from all VMs together; absent if it has withdrawn its limit.
    pub limit: Option<RequestsPerS>,
    /// Time since the request was sent whose answer said so.
    pub age_ms: DurationMs,
}

/// Asks the issuer of an upstream's permits whether a request may be sent to the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Number that the answer repeats.
    pub number: u32,
    /// Data centre of the upstream, in which its issuer runs.
    pub data_centre: DataCentreId,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Limit that the router knows.
    pub limit: LimitReport,
}

/// What an issuer answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitResult {
    /// The request may be sent, now.
    Granted,
    /// It may not be sent; another one may be after this time.
    Denied(DurationMs),
    /// The receiver issues no permits of this upstream, or does not yet.
    NotIssuer,
}

impl PermitResult {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            PermitResult::Granted => "granted",
            PermitResult::Denied(_) => "denied",
            PermitResult::NotIssuer => "not_issuer",
        }
    }
}

/// Answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitAnswer {
    /// Number of the request.
    pub number: u32,
    /// Result.
    pub result: PermitResult,
}

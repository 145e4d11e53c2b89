//! Messages about the admission of requests at an engine.

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::Tokens;
use dw_base::TokensPerS;
use serde::Deserialize;
use serde::Serialize;

/// What the admission of a request at an engine depends on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionOffer {
    /// Organisation that sends the request.
    pub org: Option<OrgId>,
    /// Priority at the engine, 0 first.
    pub priority: u8,
    /// Prompt tokens that the engine must compute.
    pub compute_tokens: Tokens,
    /// Tokens that the request holds in the engine's memory when it ends.
    pub memory_tokens: Tokens,
    /// Expected time to the first token at an idle engine.
    pub compute_ms: DurationMs,
    /// What remains of the objective for the first token.
    pub objective_ms: DurationMs,
    /// What remains until the deadline.
    pub deadline_ms: DurationMs,
}

/// What a router knows of an engine.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineEstimate {
    /// Prompt tokens of all routers that await their first token there.
    pub outstanding: Tokens,
    /// Speed at which the engine computes a queue of prompts.
    pub speed: TokensPerS,
    /// Requests that the engine runs at once.
    pub slots: u32,
    /// Mean time from the first token of an answer to its end, in the engine's service.
    pub answer_ms: DurationMs,
}

/// Asks the sidecar of an engine whether a request is to be sent to the engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionQuestion {
    /// Number that the answer repeats.
    pub number: u32,
    /// Request.
    pub offer: AdmissionOffer,
    /// Engine as the router knows it.
    pub engine: EngineEstimate,
}

/// What the sidecar of an engine answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionResult {
    /// The request may be sent once.
    Granted,
    /// It would be late; one like it is expected to be in time after this wait.
    Denied(DurationMs),
    /// Its organisation has more than its share of the engine; it may have more after this wait.
    OverShare(DurationMs),
}

impl AdmissionResult {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            AdmissionResult::Granted => "granted",
            AdmissionResult::Denied(_) => "denied",
            AdmissionResult::OverShare(_) => "over_share",
        }
    }
}

/// Answer to an [`AdmissionQuestion`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionAnswer {
    /// Number of the question.
    pub number: u32,
    /// Result.
    pub result: AdmissionResult,
}

/// Gives an admission back whose request was not sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionReturn {
    /// Request as it was admitted.
    pub offer: AdmissionOffer,
}

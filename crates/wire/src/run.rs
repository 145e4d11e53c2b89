//! Requests of the data path.

use std::fmt;
use std::str::FromStr;

use dw_base::Chain;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::IdempotencyKey;
use dw_base::ModelId;
use dw_base::NodeId;
use dw_base::OrgId;
use dw_base::Priority;
use dw_base::RequestId;
use dw_base::ServiceId;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_base::Worth;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Whether a request may be run again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatRule {
    /// The request may be run again at any time, even after an answer.
    Idempotent,
    /// The request may be run again until an answer has reached the caller.
    Repeatable,
    /// The request may run at most once.
    AtMostOnce,
}

/// Error for a text that is not a repeat rule.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("repeat rule {0:?} does not exist: use idempotent, repeatable or at-most-once")]
pub struct ParseRepeatRuleError(String);

impl fmt::Display for RepeatRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RepeatRule::Idempotent => "idempotent",
            RepeatRule::Repeatable => "repeatable",
            RepeatRule::AtMostOnce => "at-most-once",
        })
    }
}

impl FromStr for RepeatRule {
    type Err = ParseRepeatRuleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [
            RepeatRule::Idempotent,
            RepeatRule::Repeatable,
            RepeatRule::AtMostOnce,
        ]
        .into_iter()
        .find(|rule| rule.to_string() == text)
        .ok_or_else(|| ParseRepeatRuleError(text.chars().take(32).collect()))
    }
}

/// Work requested from the upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Work {
    /// Generate tokens from a prompt.
    Generate {
        /// Model that answers.
        model: ModelId,
        /// Weights for which `chain` was computed.
        weights: WeightsVersion,
        /// Block hashes of the prompt.
        chain: Chain,
        /// Text of the prompt.
        prompt: String,
        /// Maximum number of tokens to generate.
        max_tokens: u64,
    },
    /// Call a plain service.
    Call {
        /// Idempotency key; always present for [`RepeatRule::AtMostOnce`].
        key: Option<IdempotencyKey>,
        /// JSON body of the caller, unchanged.
        body: Vec<u8>,
    },
}

/// Cost of a request at the router's second choice of upstream.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Alternative {
    /// Sum of expected wait, network time and weighted prefill time.
    pub cost_ms: DurationMs,
    /// Weight of the prefill time, relative to the wait.
    pub prefill_weight: f64,
}

/// Body of `POST /v1/run`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRequest {
    /// Version of this protocol.
    pub protocol: u16,
    /// Id of the caller's request; retries keep it.
    pub request_id: RequestId,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Number of agents that have refused this request because another upstream suits it better.
    pub hops: u32,
    /// Router that sends the request.
    pub router: NodeId,
    /// Second choice of upstream; an agent whose exact cost is higher refuses with
    /// [`RefusalReason::BetterHome`](crate::RefusalReason::BetterHome).
    pub alternative: Option<Alternative>,
    /// Upstream that the router believes the agent serves.
    pub upstream: UpstreamId,
    /// Organisation of the caller.
    pub org: OrgId,
    /// Service that is called.
    pub service: ServiceId,
    /// Priority of the request.
    pub priority: Priority,
    /// Value of an answer to the caller.
    pub worth: Worth,
    /// Whether the request may be run again.
    pub repeat: RepeatRule,
    /// Time remaining until the caller's deadline; relative, because clocks differ between hosts.
    pub budget_ms: DurationMs,
    /// Configuration version of the router.
    pub config_version: ConfigVersion,
    /// W3C trace context.
    pub traceparent: Option<String>,
    /// Work to do.
    pub work: Work,
}

/// Body of `POST /v1/resume`; the answer repeats the start and continues with chunk `from_seq`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResumeRequest {
    /// Version of this protocol.
    pub protocol: u16,
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Number of the attempt that is resumed.
    pub attempt: u32,
    /// First chunk to send.
    pub from_seq: u64,
}

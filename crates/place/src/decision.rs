//! Result of a placement.

use dw_base::DurationMs;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

/// A considered upstream and its expected cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Whether it belongs to the home set of the prefix.
    pub home: bool,
    /// Number of leading blocks of the chain that are expected in its cache.
    pub warm_depth: u32,
    /// Expected wait in the queue.
    pub wait_ms: DurationMs,
    /// Expected time to compute or import uncached blocks.
    pub prefill_ms: DurationMs,
    /// Expected network time.
    pub network_ms: DurationMs,
    /// Expected time to first token.
    pub first_token_ms: DurationMs,
    /// Time to first token that the policy ranked by. It treats homes as warm before they are, so
    /// that all routers prefer them; for other upstreams and policies it equals the expected time.
    pub preferred_ms: DurationMs,
}

/// Expected cost of the request at the second choice.
///
/// The agent compares it with its own exact cost and refuses the request if the second choice is
/// cheaper.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Alternative {
    /// Sum of wait, network time and weighted prefill time.
    pub cost_ms: DurationMs,
    /// Weight of the prefill time, relative to the wait.
    pub prefill_weight: f64,
}

/// Chosen upstream and the reason for the choice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Name of the policy.
    pub policy: String,
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// Considered upstreams, best first.
    pub candidates: Vec<Candidate>,
    /// Second choice, if the policy lets agents refuse requests that are cheaper elsewhere.
    pub alternative: Option<Alternative>,
    /// Reason for the choice, in one sentence.
    pub reason: String,
}

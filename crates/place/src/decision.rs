//! Result of a placement.

use dw_base::DurationMs;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

/// One upstream that was considered, with what it was expected to cost.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Candidate {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Whether it belongs to the home set of the prefix.
    pub home: bool,
    /// Pieces of the chain expected in its cache.
    pub warm_depth: u32,
    /// Expected wait in the queue.
    pub wait_ms: DurationMs,
    /// Expected time to compute or import what is not cached.
    pub prefill_ms: DurationMs,
    /// Expected time on the network.
    pub network_ms: DurationMs,
    /// Expected time to first token.
    pub first_token_ms: DurationMs,
    /// Time that the placement counted, in which a home counts as warm before it is, so that all
    /// routers prefer it; equal to the expected time for other policies and upstreams.
    pub preferred_ms: DurationMs,
}

/// What the request would cost at the second choice.
///
/// The agent compares it with its exact cost and refuses a request that is better placed there.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Alternative {
    /// Wait, network and weighted prefill time.
    pub cost_ms: DurationMs,
    /// Weight of the prefill time, relative to the wait.
    pub prefill_weight: f64,
}

/// Chosen upstream, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Decision {
    /// Policy that chose.
    pub policy: String,
    /// Chosen upstream.
    pub upstream: UpstreamId,
    /// All upstreams that were considered, the best first.
    pub candidates: Vec<Candidate>,
    /// Second choice, if the policy wants agents to refuse poor placements.
    pub alternative: Option<Alternative>,
    /// Why, in one sentence.
    pub reason: String,
}

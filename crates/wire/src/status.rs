//! State of an agent, included in every answer and refusal.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Fingerprint;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TokensPerS;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

/// State of an agent and its upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Agent that reports.
    pub node: NodeId,
    /// Upstream of the agent.
    pub upstream: UpstreamId,
    /// Incarnation of the agent process.
    pub agent_incarnation: Incarnation,
    /// Incarnation of the upstream, as last seen.
    pub upstream_incarnation: Incarnation,
    /// Report number, increasing within an agent incarnation; older reports are ignored.
    pub report_seq: u64,
    /// Expected queue wait of a new request per priority, the most urgent first.
    pub queue_wait_ms: [DurationMs; 3],
    /// Number of requests running on the upstream.
    pub running: u32,
    /// Number of requests in the agent's queue.
    pub queued: u32,
    /// Measured prefill speed.
    pub prefill_tokens_per_s: TokensPerS,
    /// Measured decode speed of one stream.
    pub decode_tokens_per_s: TokensPerS,
    /// Version of the loaded weights; zero for a plain service.
    pub weights: WeightsVersion,
    /// Configuration version of the agent.
    pub config_version: ConfigVersion,
    /// Whether the upstream takes new work.
    pub accepting: bool,
    /// Whether the agent is shutting down or its upstream is being drained.
    pub leaving: bool,
    /// Number of leading blocks of the request's chain that are cached now; zero if unknown.
    pub warm_depth: u32,
    /// Blocks of other routers' newest requests that have not been reported to this router yet.
    ///
    /// At most 4 chains, or about 400 bytes. At the target size a router gets 5 answers per second,
    /// which makes 2 KB/s of the 6 KB/s budget for control traffic.
    pub recent: Vec<Fingerprint>,
}

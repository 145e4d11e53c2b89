//! What policies learn from.

use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Fingerprint;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::UpstreamId;

/// Something that a router has seen of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request was sent.
    Sent {
        /// Upstream.
        upstream: UpstreamId,
        /// Tokens expected to be computed.
        uncached_tokens: Tokens,
    },
    /// The first token of an answer arrived.
    FirstToken {
        /// Upstream.
        upstream: UpstreamId,
        /// Chain of the request.
        chain: Chain,
        /// Prompt tokens that came from the cache.
        cached_tokens: Tokens,
        /// Time in the agent's queue.
        queued_ms: DurationMs,
        /// Time from sending to the first token.
        first_token_ms: DurationMs,
    },
    /// A request ended, well or not.
    Finished {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// A state report arrived.
    Report {
        /// Upstream.
        upstream: UpstreamId,
        /// Expected wait for each priority, the most urgent first.
        queue_wait_ms: [DurationMs; 3],
        /// Requests that run.
        running: u32,
        /// Requests that wait.
        queued: u32,
        /// Measured prefill speed.
        prefill_tokens_per_s: TokensPerS,
        /// Depth at which the agent holds a chain, if it said so.
        warm: Option<(Chain, u32)>,
    },
    /// Blocks that requests of any router have recently used arrived with a state report.
    Cached {
        /// Upstream.
        upstream: UpstreamId,
        /// Blocks that the upstream holds.
        blocks: Vec<Fingerprint>,
    },
    /// The upstream lost its cache: it restarted or loaded other weights.
    CacheLost {
        /// Upstream.
        upstream: UpstreamId,
    },
}

//! Events from which policies update their state.

use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Fingerprint;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::UpstreamId;

/// Event at an upstream that a router observed.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A request was sent.
    Sent {
        /// Upstream.
        upstream: UpstreamId,
        /// Prompt tokens that are expected to be computed.
        uncached_tokens: Tokens,
    },
    /// The first token of an answer arrived.
    FirstToken {
        /// Upstream.
        upstream: UpstreamId,
        /// Chain of the request.
        chain: Chain,
        /// Prompt tokens that were cached.
        cached_tokens: Tokens,
        /// Time in the agent's queue.
        queued_ms: DurationMs,
        /// Time from sending to the first token.
        first_token_ms: DurationMs,
    },
    /// A request succeeded or failed.
    Finished {
        /// Upstream.
        upstream: UpstreamId,
    },
    /// A state report arrived.
    Report {
        /// Upstream.
        upstream: UpstreamId,
        /// Expected wait for each priority, most urgent first.
        queue_wait_ms: [DurationMs; 3],
        /// Number of running requests.
        running: u32,
        /// Number of queued requests.
        queued: u32,
        /// Measured prefill speed.
        prefill_tokens_per_s: TokensPerS,
        /// Chain and the number of its leading blocks that are cached, if the agent reported them.
        warm: Option<(Chain, u32)>,
    },
    /// A state report listed blocks that requests of any router used recently.
    Cached {
        /// Upstream.
        upstream: UpstreamId,
        /// Blocks in the upstream's cache.
        blocks: Vec<Fingerprint>,
    },
    /// The upstream's cache was cleared because it restarted or loaded other weights.
    CacheLost {
        /// Upstream.
        upstream: UpstreamId,
    },
}

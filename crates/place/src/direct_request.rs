//! What the placement by routers that send straight to upstreams is asked and answers.

use dw_base::Bytes;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;

/// An upstream that may be chosen.
#[derive(Clone, Debug)]
pub struct DirectTarget<'a> {
    /// Upstream.
    pub upstream: &'a UpstreamId,
    /// Data centre.
    pub data_centre: &'a DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Memory for prompts; absent for a plain service.
    pub kv_capacity: Option<Tokens>,
    /// Weights of the wanted model.
    pub weights: Option<WeightsVersion>,
    /// Leading parts of the prompt that the engine has told to hold; absent if it is silent.
    pub cached_parts: Option<usize>,
    /// Whether answers on these weights are worth less by now.
    pub old_weights: bool,
    /// Whether it takes no requests soon, from when on it only finishes its answers.
    pub loads_soon: bool,
    /// Share of recent requests that failed.
    pub failure_rate: f64,
}

/// A request that needs an upstream.
#[derive(Clone)]
pub struct DirectRequest<'a> {
    /// Parts of the prompt; the last one is the request's own. Empty for a plain service.
    pub prompt: &'a [PromptPart],
    /// Who shares the cached prompt; the weights are added to it.
    pub scope: &'a str,
    /// Data centre of the router.
    pub data_centre: &'a DataCentreId,
    /// Time that is left of the objective.
    pub objective_ms: DurationMs,
    /// Length of the request.
    pub bytes: Bytes,
    /// Most tokens of the answer.
    pub output_tokens: Tokens,
    /// Tokens of shared parts that the store of kept KV cache holds, for given weights.
    pub stored: &'a dyn Fn(WeightsVersion) -> Tokens,
}

/// Chosen upstream with the numbers behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Weights that it was chosen with.
    pub weights: Option<WeightsVersion>,
    /// Expected time to first token.
    pub first_token_ms: DurationMs,
    /// Part of it that is the wait for earlier prompts.
    pub backlog_ms: DurationMs,
    /// Tokens that the engine must compute or fetch.
    pub missing_tokens: Tokens,
    /// Part of them that belongs to shared parts.
    pub missing_shared_tokens: Tokens,
    /// Part of these that another engine or the store of kept KV cache holds.
    pub fetched_tokens: Tokens,
    /// Upstream that is expected to hold shared parts which this one lacks, unless the store does.
    pub holder: Option<UpstreamId>,
    /// Whether it is the preferred upstream for the prompt.
    pub home: bool,
    /// Upstreams that were compared.
    pub compared: usize,
}

/// A request that is under way at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentRequest {
    /// When it was sent.
    pub at: TimeMs,
    pub(crate) tokens: u64,
    pub(crate) ahead: u64,
    /// Whether the tokens are really computed: other routers may have brought shared parts.
    pub(crate) certain: bool,
}

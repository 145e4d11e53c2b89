//! Input and result of [`Direct`](crate::Direct) placement.

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
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// KV cache capacity; absent for a plain service.
    pub kv_capacity: Option<Tokens>,
    /// Loaded weights of the requested model.
    pub weights: Option<WeightsVersion>,
    /// Leading parts of the prompt that the engine has announced as cached; absent if it announces
    /// nothing.
    pub cached_parts: Option<usize>,
    /// Whether newer weights have been published long enough ago that answers on these are worth
    /// less.
    pub old_weights: bool,
    /// Whether it will soon stop accepting requests and only finish running ones, to load weights.
    pub loads_soon: bool,
    /// Fraction of recent requests that failed.
    pub failure_rate: f64,
    /// Whether it has named a limit of the requests that it takes, so that most have to go elsewhere.
    pub limited: bool,
}

/// A request that needs an upstream.
#[derive(Clone)]
pub struct DirectRequest<'a> {
    /// Parts of the prompt; the last one is unique to the request. Empty for a plain service.
    pub prompt: &'a [PromptPart],
    /// Scope within which cached prompts are shared; the weights are added to it.
    pub scope: &'a str,
    /// Data centre of the router.
    pub data_centre: &'a DataCentreId,
    /// Remaining time of the latency objective.
    pub objective_ms: DurationMs,
    /// Length of the request.
    pub bytes: Bytes,
    /// Maximum number of output tokens.
    pub output_tokens: Tokens,
    /// Returns the tokens of shared parts that the KV store holds for the given weights.
    pub stored: &'a dyn Fn(WeightsVersion) -> Tokens,
    /// Whole latency objective, if the service also gets requests with another priority or objective.
    pub mixed_objective_ms: Option<DurationMs>,
}

/// Chosen upstream and the estimates that led to the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Weights that the upstream had loaded.
    pub weights: Option<WeightsVersion>,
    /// Expected time to first token.
    pub first_token_ms: DurationMs,
    /// Expected wait for earlier prompts, included in `first_token_ms`.
    pub backlog_ms: DurationMs,
    /// Prompt tokens that the engine must compute or fetch.
    pub missing_tokens: Tokens,
    /// Missing tokens that belong to shared parts.
    pub missing_shared_tokens: Tokens,
    /// Missing shared tokens that can be fetched from another engine or the KV store.
    pub fetched_tokens: Tokens,
    /// Upstream that is expected to hold the missing shared parts, unless the KV store does.
    pub holder: Option<UpstreamId>,
    /// Whether the upstream is the home of the prompt.
    pub home: bool,
    /// Number of upstreams that were compared.
    pub compared: usize,
}

/// A request in flight at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentRequest {
    /// When it was sent.
    pub at: TimeMs,
    pub(crate) tokens: u64,
    pub(crate) ahead: u64,
    /// Whether the computed tokens are known well enough to measure the speed. If many of them
    /// belong to shared parts, requests of other routers may already have cached those.
    pub(crate) certain: bool,
}

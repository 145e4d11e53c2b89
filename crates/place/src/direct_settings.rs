//! Costs of the placement by routers that send straight to upstreams.

use bon::Builder;
use dw_base::Tokens;

/// Settings of [`Direct`](crate::Direct); all costs are in milliseconds of a time to first token that matters.
#[derive(Builder, Clone, Debug)]
pub struct DirectSettings {
    /// Cost of computing a token of a shared part that another engine has computed.
    #[builder(default = 0.05)]
    pub again_ms_per_token: f64,
    /// Time to fetch a token of a shared part from the store of kept KV cache.
    #[builder(default = 0.003)]
    pub fetch_ms_per_token: f64,
    /// Cost of a byte that is sent to another data centre.
    #[builder(default = 0.0012)]
    pub remote_ms_per_byte: f64,
    /// Network time to another data centre and back.
    #[builder(default = 3.0)]
    pub remote_network_ms: f64,
    /// Cost of an answer on older weights, once newer ones have been named for a while.
    #[builder(default = 60.0)]
    pub old_weights_ms: f64,
    /// Tokens of an answer that is finished before an engine's turn to load weights.
    #[builder(default = Tokens(150))]
    pub short_answer_tokens: Tokens,
    /// Cost of a token beyond them, which keeps an engine from loading weights.
    #[builder(default = 2.0)]
    pub loads_soon_ms_per_token: f64,
    /// Cost of an upstream all of whose recent requests failed.
    #[builder(default = 1_500.0)]
    pub failure_ms: f64,
    /// Advantage of the upstream that all routers prefer for a prompt.
    #[builder(default = 15.0)]
    pub home_ms: f64,
    /// Part of the median speed below which an engine counts as slow.
    #[builder(default = 0.7)]
    pub slow_part: f64,
    /// Prompts of which a slow engine is the home, relative to the others.
    #[builder(default = 0.5)]
    pub slow_home_share: f64,
    /// Mean wait at the engines that doubles the cost of work which another engine would save.
    #[builder(default = 25.0)]
    pub crowd_ms: f64,
    /// Cost of fetching a token of a shared part away from its home.
    #[builder(default = 0.005)]
    pub fetch_away_ms_per_token: f64,
    /// Part of the objective that may be used up at little cost.
    #[builder(default = 0.4)]
    pub easy_part: f64,
    /// Cost of a millisecond within that part.
    #[builder(default = 0.2)]
    pub easy_weight: f64,
    /// Cost of a millisecond beyond that part.
    #[builder(default = 2.0)]
    pub late_weight: f64,
}

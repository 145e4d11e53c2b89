//! Settings of [`Direct`](crate::Direct) placement.

use bon::Builder;
use dw_base::Tokens;

use crate::mixed_settings::MixedSettings;

/// Settings of [`Direct`](crate::Direct); costs are in weighted milliseconds of time to first token.
#[derive(Builder, Clone, Debug)]
pub struct DirectSettings {
    /// Cost of recomputing a token of a shared part that another engine has computed.
    #[builder(default = 0.05)]
    pub again_ms_per_token: f64,
    /// Time to fetch a token of a shared part from the KV store or another engine.
    #[builder(default = 0.003)]
    pub fetch_ms_per_token: f64,
    /// Cost of a byte that is sent to another data centre.
    #[builder(default = 0.0012)]
    pub remote_ms_per_byte: f64,
    /// Network round-trip time to another data centre.
    #[builder(default = 3.0)]
    pub remote_network_ms: f64,
    /// Cost of an answer on old weights, some time after newer ones were published.
    #[builder(default = 60.0)]
    pub old_weights_ms: f64,
    /// Longest answer that finishes before an engine that is about to load weights starts to.
    #[builder(default = Tokens(150))]
    pub short_answer_tokens: Tokens,
    /// Cost of each output token beyond `short_answer_tokens`, which delays the load of weights.
    #[builder(default = 2.0)]
    pub loads_soon_ms_per_token: f64,
    /// Cost of an upstream all of whose recent requests failed.
    #[builder(default = 1_500.0)]
    pub failure_ms: f64,
    /// Cost of an upstream that has named a request limit.
    #[builder(default = 20.0)]
    pub limited_ms: f64,
    /// Fixed cost of an upstream that is not the home of the prompt.
    #[builder(default = 15.0)]
    pub home_ms: f64,
    /// Fraction of the median speed below which an engine counts as slow.
    #[builder(default = 0.7)]
    pub slow_part: f64,
    /// Number of prompts of which a slow engine is the home, relative to other engines.
    #[builder(default = 0.5)]
    pub slow_home_share: f64,
    /// Mean backlog of the engines that doubles the penalty for not using the home.
    #[builder(default = 25.0)]
    pub crowd_ms: f64,
    /// Cost of fetching a token of a shared part to an engine that is not its home.
    #[builder(default = 0.005)]
    pub fetch_away_ms_per_token: f64,
    /// Fraction of the latency objective within which time has the low weight `easy_weight`.
    #[builder(default = 0.4)]
    pub easy_part: f64,
    /// Cost of a millisecond within `easy_part` of the objective.
    #[builder(default = 0.2)]
    pub easy_weight: f64,
    /// Cost of a millisecond beyond `easy_part` of the objective.
    #[builder(default = 2.0)]
    pub late_weight: f64,
    /// Placement of prompts at services that get prompts with different aims; absent if these are
    /// placed like others.
    pub mixed: Option<MixedSettings>,
}

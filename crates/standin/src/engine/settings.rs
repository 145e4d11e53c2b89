//! Settings and fault switches of the stand-in engine.

use std::time::Duration;

use bon::Builder;
use serde::Deserialize;
use serde::Serialize;

/// Settings of one engine; all durations are divided by `speedup`.
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Model that is loaded at start.
    #[builder(default = "model".to_owned(), into)]
    pub model: String,
    /// Weights version that is loaded at start.
    #[builder(default = 1)]
    pub weights_version: u64,
    /// Incarnation at start.
    #[builder(default = 1)]
    pub incarnation: u64,
    /// Prefill throughput in tokens per second, shared by the batch.
    #[builder(default = 8_000.0)]
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of a generation.
    #[builder(default = 25.0)]
    pub decode_ms_per_token: f64,
    /// Maximum number of generations in the batch.
    #[builder(default = 8)]
    pub max_batch: usize,
    /// Maximum number of queued generations; further ones are refused with `overloaded`.
    #[builder(default = 256)]
    pub max_queue: usize,
    /// Capacity of the prefix cache in blocks.
    #[builder(default = 64)]
    pub cache_blocks: usize,
    /// Idle time after which a cached block is evicted.
    #[builder(default = 10_000.0)]
    pub cache_age_ms: f64,
    /// Delay after which a cache event is published.
    #[builder(default = 50.0)]
    pub event_delay_ms: f64,
    /// Minimum age of the reported load sample.
    #[builder(default = 100.0)]
    pub load_lag_ms: f64,
    /// Size of one KV block.
    #[builder(default = 134_217_728)]
    pub block_size_bytes: u64,
    /// Throughput of block import and export.
    #[builder(default = 5.0e9)]
    pub transfer_bytes_per_s: f64,
    /// Duration of a weight load while the deployment runs no more loads than its limit.
    #[builder(default = 250.0)]
    pub weight_load_ms: f64,
    /// Whether orders with an outdated fencing token are refused.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Whether the import of blocks of another weights version is refused.
    #[builder(default = true)]
    pub checks_import: bool,
    /// Time for which an ended generation is kept, so that it can be resumed.
    #[builder(default = 10_000.0)]
    pub retain_ms: f64,
    /// Factor by which the engine runs faster than configured.
    #[builder(default = 1.0)]
    pub speedup: f64,
    /// Seed of the random loss of cache events.
    #[builder(default = 0)]
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl EngineSettings {
    /// Returns the key of the first invalid setting, and a remedy.
    pub fn invalid_setting(&self) -> Option<(&'static str, &'static str)> {
        let positive = [
            ("prefill_tokens_per_s", self.prefill_tokens_per_s),
            ("decode_ms_per_token", self.decode_ms_per_token),
            ("transfer_bytes_per_s", self.transfer_bytes_per_s),
            ("speedup", self.speedup),
        ];
        let positive = positive
            .into_iter()
            .find(|(_, value)| !(value.is_finite() && *value > 0.0))
            .map(|(key, _)| (key, "use a number above 0"));
        let non_negative = [
            ("cache_age_ms", self.cache_age_ms),
            ("event_delay_ms", self.event_delay_ms),
            ("load_lag_ms", self.load_lag_ms),
            ("weight_load_ms", self.weight_load_ms),
            ("retain_ms", self.retain_ms),
        ];
        let non_negative = non_negative
            .into_iter()
            .find(|(_, value)| !(value.is_finite() && *value >= 0.0))
            .map(|(key, _)| (key, "use a number of at least 0"));
        let batch = (self.max_batch == 0).then_some(("max_batch", "use at least 1"));
        positive.or(non_negative).or(batch)
    }

    /// Converts a duration on the engine's clock to real time.
    pub(crate) fn wall_time(&self, engine_ms: f64) -> Duration {
        let seconds = engine_ms / 1000.0 / self.speedup;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Fault switches of an engine; each posted set replaces the previous one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which prefill, decode and transfers are slowed down.
    pub slow_factor: f64,
    /// Whether computation is paused.
    pub paused: bool,
    /// Whether all generations are refused with `overloaded`.
    pub refuse: bool,
    /// Probability that a cache event gets a sequence number but is never published.
    pub event_loss: f64,
    /// Overrides the setting of the same name.
    pub event_delay_ms: Option<f64>,
    /// Overrides the setting of the same name.
    pub load_lag_ms: Option<f64>,
    /// One-time: the engine restarts with an empty cache, its initial weights and the next
    /// incarnation.
    pub crash: bool,
    /// The engine crashes, as by `crash`, amid an answer to a prompt that contains this text.
    pub crash_on: Option<String>,
    /// Tokens of that answer before the crash.
    pub crash_after_tokens: u64,
    /// One-time: connections with unfinished responses are closed; generations continue.
    pub cut: bool,
    /// One-time: all cached blocks are evicted.
    pub evict_all: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        EngineFaults {
            slow_factor: 1.0,
            paused: false,
            refuse: false,
            event_loss: 0.0,
            event_delay_ms: None,
            load_lag_ms: None,
            crash: false,
            crash_on: None,
            crash_after_tokens: 0,
            cut: false,
            evict_all: false,
        }
    }
}

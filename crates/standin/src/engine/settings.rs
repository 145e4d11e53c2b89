//! Settings and fault switches of the stand-in engine.

use std::time::Duration;

use bon::Builder;
use serde::Deserialize;
use serde::Serialize;

/// Settings of one engine; every time is divided by `speedup`.
#[derive(Builder, Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Loaded model at the start.
    #[builder(default = "model".to_owned(), into)]
    pub model: String,
    /// Loaded weights at the start.
    #[builder(default = 1)]
    pub weights_version: u64,
    /// Incarnation at the start.
    #[builder(default = 1)]
    pub incarnation: u64,
    /// Prompt tokens computed per second, shared by the batch.
    #[builder(default = 8_000.0)]
    pub prefill_tokens_per_s: f64,
    /// Time between two tokens of one generation.
    #[builder(default = 25.0)]
    pub decode_ms_per_token: f64,
    /// Most generations in the batch.
    #[builder(default = 8)]
    pub max_batch: usize,
    /// Most generations that wait for the batch; more are refused as overloaded.
    #[builder(default = 256)]
    pub max_queue: usize,
    /// Blocks that the prefix cache holds.
    #[builder(default = 64)]
    pub cache_blocks: usize,
    /// Time after which an unused block is evicted.
    #[builder(default = 10_000.0)]
    pub cache_age_ms: f64,
    /// Time after which a cache event is published.
    #[builder(default = 50.0)]
    pub event_delay_ms: f64,
    /// Age of a load report.
    #[builder(default = 100.0)]
    pub load_lag_ms: f64,
    /// Size of one block in the KV store.
    #[builder(default = 134_217_728)]
    pub block_size_bytes: u64,
    /// Speed of import and export.
    #[builder(default = 5.0e9)]
    pub transfer_bytes_per_s: f64,
    /// Time of a weight load when the deployment runs no more loads than its limit.
    #[builder(default = 250.0)]
    pub weight_load_ms: f64,
    /// Whether orders with old fencing numbers are refused.
    #[builder(default = true)]
    pub checks_fence: bool,
    /// Whether blocks of other weights are refused at import.
    #[builder(default = true)]
    pub checks_import: bool,
    /// Time for which an ended generation can be resumed.
    #[builder(default = 10_000.0)]
    pub retain_ms: f64,
    /// Factor by which the engine is faster than its settings say.
    #[builder(default = 1.0)]
    pub speedup: f64,
    /// Seed of the losses of cache events.
    #[builder(default = 0)]
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl EngineSettings {
    /// Returns the first setting that cannot work, with its remedy.
    pub fn fault(&self) -> Option<(&'static str, &'static str)> {
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
        let times = [
            ("cache_age_ms", self.cache_age_ms),
            ("event_delay_ms", self.event_delay_ms),
            ("load_lag_ms", self.load_lag_ms),
            ("weight_load_ms", self.weight_load_ms),
            ("retain_ms", self.retain_ms),
        ];
        let times = times
            .into_iter()
            .find(|(_, value)| !(value.is_finite() && *value >= 0.0))
            .map(|(key, _)| (key, "use a number of at least 0"));
        let batch = (self.max_batch == 0).then_some(("max_batch", "use at least 1"));
        positive.or(times).or(batch)
    }

    /// Returns the real time of a time on the engine's clock.
    pub(crate) fn real(&self, engine_ms: f64) -> Duration {
        let seconds = engine_ms / 1000.0 / self.speedup;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}

/// Fault switches of an engine; a posted set replaces the previous one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which the engine computes slower.
    pub slow_factor: f64,
    /// Whether the engine computes nothing.
    pub paused: bool,
    /// Whether every generation is refused as overloaded.
    pub refuse: bool,
    /// Share of cache events that are numbered and never published.
    pub event_loss: f64,
    /// Replaces the setting of the same name.
    pub event_delay_ms: Option<f64>,
    /// Replaces the setting of the same name.
    pub load_lag_ms: Option<f64>,
    /// Once: the engine comes back empty with its first weights and a greater incarnation.
    pub crash: bool,
    /// Once: all connections with unfinished answers are closed; generations continue.
    pub cut: bool,
    /// Once: all cached blocks are evicted.
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
            cut: false,
            evict_all: false,
        }
    }
}

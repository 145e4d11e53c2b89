//! Speed of an engine, estimated from measurements of this router and of all routers.

use dw_base::DurationMs;
use dw_base::MeasuredWork;
use dw_base::Tokens;

/// Assumed speed of an engine before the first measurement.
pub(crate) const PRIOR_TOKENS_PER_MS: f64 = 90.0;

/// Factor by which earlier measurements are weighted down at each new one.
const DECAY_FACTOR: f64 = 0.85;

/// Bounds of the estimate in tokens per millisecond.
const SPEED_RANGE: (f64, f64) = (10.0, 1_000.0);

/// Speed estimate from exponentially weighted measurements.
///
/// One of many routers seldom measures a given engine, so the measurements of all routers replace
/// its own when they cover more tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedSpeed {
    /// Remaining weight of the prior, in tokens.
    prior_tokens: f64,
    own_tokens: f64,
    own_ms: f64,
    /// Measurements of all routers together.
    shared: MeasuredWork,
}

impl LearnedSpeed {
    /// Creates an estimate whose prior has the weight of `tokens` measured tokens.
    pub(crate) fn with_prior(tokens: f64) -> Self {
        LearnedSpeed {
            prior_tokens: tokens,
            own_tokens: 0.0,
            own_ms: 0.0,
            shared: MeasuredWork::default(),
        }
    }

    /// Records a measurement of this router.
    pub(crate) fn record(&mut self, tokens: u64, took_ms: f64) {
        let least_ms = tokens as f64 / SPEED_RANGE.1;
        self.prior_tokens *= DECAY_FACTOR;
        self.own_tokens = self.own_tokens * DECAY_FACTOR + tokens as f64;
        self.own_ms = self.own_ms * DECAY_FACTOR + took_ms.max(least_ms);
    }

    /// Sets the measurements of all routers.
    pub(crate) fn set_shared(&mut self, shared: MeasuredWork) {
        self.shared = shared;
    }

    /// Returns the measurements of this router.
    pub(crate) fn measured(&self) -> MeasuredWork {
        MeasuredWork {
            tokens: Tokens(self.own_tokens as u64),
            took_ms: DurationMs(self.own_ms as u64),
        }
    }

    /// Returns the measurements that cover the most tokens: those of this router or of all.
    pub(crate) fn best_measured(&self) -> MeasuredWork {
        match self.shared.tokens.0 as f64 > self.own_tokens {
            true => self.shared,
            false => self.measured(),
        }
    }

    /// Returns the estimate.
    pub(crate) fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms_with_prior(PRIOR_TOKENS_PER_MS)
    }

    /// Returns the estimate with another prior speed.
    pub(crate) fn tokens_per_ms_with_prior(&self, prior_tokens_per_ms: f64) -> f64 {
        let shared_tokens = self.shared.tokens.0 as f64;
        let (tokens, took_ms) = match shared_tokens > self.own_tokens {
            true => (shared_tokens, self.shared.took_ms.0 as f64),
            false => (self.own_tokens, self.own_ms),
        };
        let prior_ms = self.prior_tokens / prior_tokens_per_ms;
        let speed = (self.prior_tokens + tokens) / (prior_ms + took_ms);
        speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    }
}

//! Speed of an engine from measurements of this router and of all routers.

use dw_base::DurationMs;
use dw_base::MeasuredWork;
use dw_base::Tokens;

/// Prompt tokens that an engine computes in a millisecond, before its speed is learned.
pub(crate) const PRIOR_TOKENS_PER_MS: f64 = 90.0;

/// Part of what was learned that remains after a new measurement.
const MEMORY: f64 = 0.85;

/// Bounds of the learned speed in tokens per millisecond.
const SPEED_RANGE: (f64, f64) = (10.0, 1_000.0);

/// Speed from weighted measurements, the newest of which count most.
///
/// One router of many measures an engine rarely, so what all routers have measured counts once it
/// is more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LearnedSpeed {
    /// Tokens for which the prior still counts.
    prior_tokens: f64,
    own_tokens: f64,
    own_ms: f64,
    all: MeasuredWork,
}

impl LearnedSpeed {
    /// Creates a speed of which nothing is measured; the prior counts for so many tokens.
    pub(crate) fn prior(tokens: f64) -> Self {
        LearnedSpeed {
            prior_tokens: tokens,
            own_tokens: 0.0,
            own_ms: 0.0,
            all: MeasuredWork::default(),
        }
    }

    /// Takes in a measurement of this router.
    pub(crate) fn learn(&mut self, tokens: u64, took_ms: f64) {
        let least_ms = tokens as f64 / SPEED_RANGE.1;
        self.prior_tokens *= MEMORY;
        self.own_tokens = self.own_tokens * MEMORY + tokens as f64;
        self.own_ms = self.own_ms * MEMORY + took_ms.max(least_ms);
    }

    /// Takes over what all routers have measured.
    pub(crate) fn told(&mut self, all: MeasuredWork) {
        self.all = all;
    }

    /// Returns what this router has measured.
    pub(crate) fn measured(&self) -> MeasuredWork {
        MeasuredWork {
            tokens: Tokens(self.own_tokens as u64),
            took_ms: DurationMs(self.own_ms as u64),
        }
    }

    pub(crate) fn tokens_per_ms(&self) -> f64 {
        let all_tokens = self.all.tokens.0 as f64;
        let (tokens, took_ms) = match all_tokens > self.own_tokens {
            true => (all_tokens, self.all.took_ms.0 as f64),
            false => (self.own_tokens, self.own_ms),
        };
        let prior_ms = self.prior_tokens / PRIOR_TOKENS_PER_MS;
        let speed = (self.prior_tokens + tokens) / (prior_ms + took_ms);
        speed.clamp(SPEED_RANGE.0, SPEED_RANGE.1)
    }
}

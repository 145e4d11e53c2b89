//! Learned prefill speed of one upstream.

use dw_base::TokensPerS;

/// Weight of the newest measurement.
const SMOOTHING: f64 = 0.3;

/// Shorter computations say more about overhead than about speed.
const MIN_TOKENS: u64 = 1_024;

/// Moving average of the prefill speed, with the declared speed as the prior.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimator {
    learned: Option<f64>,
    /// Power of two by which the upstream is slower than declared, for its weight.
    steps: u8,
}

impl SpeedEstimator {
    /// Learns from one prefill.
    pub(crate) fn measured(&mut self, tokens: u64, prefill_ms: u64) {
        if tokens >= MIN_TOKENS && prefill_ms > 0 {
            self.blend(tokens as f64 * 1_000.0 / prefill_ms as f64);
        }
    }

    /// Learns from the agent's own measurement.
    pub(crate) fn reported(&mut self, speed: TokensPerS) {
        if speed.get() > 0.0 {
            self.blend(speed.get());
        }
    }

    fn blend(&mut self, speed: f64) {
        let old = self.learned.unwrap_or(speed);
        self.learned = Some(old + SMOOTHING * (speed - old));
    }

    /// Returns the expected speed.
    pub(crate) fn tokens_per_s(&self, declared: TokensPerS) -> f64 {
        self.learned.unwrap_or(declared.get()).max(1.0)
    }

    /// Returns the speed as it counts for home sets.
    ///
    /// Only halvings of the declared speed count, with a margin, so that noise in the
    /// measurements of different routers does not give them different homes.
    pub(crate) fn weight_tokens_per_s(&mut self, declared: TokensPerS) -> f64 {
        let ratio = (declared.get() / self.tokens_per_s(declared)).max(1.0);
        let exact = ratio.log2();
        if (exact - f64::from(self.steps)).abs() > 0.75 {
            self.steps = exact.round().min(6.0) as u8;
        }
        declared.get() / f64::from(1u32 << self.steps)
    }
}

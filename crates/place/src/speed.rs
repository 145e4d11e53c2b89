//! Estimated prefill speed of one upstream.

use dw_base::TokensPerS;

/// Weight of the newest measurement.
const SMOOTHING: f64 = 0.3;

/// Shortest prefill that is measured; in shorter ones overhead dominates.
const MIN_TOKENS: u64 = 1_024;

/// Moving average of the prefill speed, with the declared speed as the prior.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimator {
    average: Option<f64>,
    /// Number of halvings of the declared speed that the weight applies.
    halvings: u8,
}

impl SpeedEstimator {
    /// Updates the average from one prefill.
    pub(crate) fn record_prefill(&mut self, tokens: u64, prefill_ms: u64) {
        if tokens >= MIN_TOKENS && prefill_ms > 0 {
            self.update(tokens as f64 * 1_000.0 / prefill_ms as f64);
        }
    }

    /// Updates the average from a speed that the agent reported.
    pub(crate) fn record_report(&mut self, speed: TokensPerS) {
        if speed.get() > 0.0 {
            self.update(speed.get());
        }
    }

    fn update(&mut self, speed: f64) {
        let old = self.average.unwrap_or(speed);
        self.average = Some(old + SMOOTHING * (speed - old));
    }

    /// Returns the expected speed.
    pub(crate) fn tokens_per_s(&self, declared: TokensPerS) -> f64 {
        self.average.unwrap_or(declared.get()).max(1.0)
    }

    /// Returns the speed that weights the upstream in home sets.
    ///
    /// It is the declared speed divided by a power of two, with hysteresis, so that measurement noise
    /// does not make routers choose different homes.
    pub(crate) fn weight_tokens_per_s(&mut self, declared: TokensPerS) -> f64 {
        let ratio = (declared.get() / self.tokens_per_s(declared)).max(1.0);
        let log_ratio = ratio.log2();
        if (log_ratio - f64::from(self.halvings)).abs() > 0.75 {
            self.halvings = log_ratio.round().min(6.0) as u8;
        }
        declared.get() / f64::from(1u32 << self.halvings)
    }
}

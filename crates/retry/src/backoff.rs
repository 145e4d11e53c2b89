//! Exponential backoff with full jitter.

use dw_base::DurationMs;
use dw_base::Rng;
use rand::RngExt;

/// Limits of the delay before a retry.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Maximum delay before the first retry.
    pub base_ms: DurationMs,
    /// Maximum delay before any retry.
    pub cap_ms: DurationMs,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff {
            base_ms: DurationMs(10),
            cap_ms: DurationMs(1_000),
        }
    }
}

impl Backoff {
    /// Returns a random delay before the retry that follows attempt number `attempt`. Attempts are
    /// counted from 0.
    pub fn delay_ms(&self, attempt: u32, rng: &mut Rng) -> DurationMs {
        let factor = 1u64 << attempt.min(32);
        let max_delay_ms = self.base_ms.0.saturating_mul(factor).min(self.cap_ms.0);
        DurationMs(rng.random_range(0..=max_delay_ms))
    }
}

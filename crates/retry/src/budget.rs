//! Retry budget for one destination service.

/// Number of retries added for each answered first attempt.
const RETRIES_PER_ANSWER: f64 = 0.1;

/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 10.0;

/// Initial number of retries in the budget.
const INITIAL_RETRIES: f64 = 1.0;

/// Tolerance for rounding errors. Sums of tenths are not exact, and without it a retry earned by
/// ten answers would be denied.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            tokens: INITIAL_RETRIES,
        }
    }
}

impl Budget {
    /// Records that a first attempt was answered.
    pub fn record_answer(&mut self) {
        self.tokens = (self.tokens + RETRIES_PER_ANSWER).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens + ROUNDING_TOLERANCE >= 1.0;
        if allowed {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        allowed
    }
}

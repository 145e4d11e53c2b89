//! Retry budget of one destination service.

/// Retries that one answered first attempt earns.
const EARNED: f64 = 0.1;

/// Most retries that are kept.
const CAPACITY: f64 = 10.0;

/// Retries at the start.
const INITIAL: f64 = 1.0;

/// Sums of tenths are not exact; without this a retry earned by ten answers would be denied.
const TOLERANCE: f64 = 1e-9;

/// Token bucket of retries.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { tokens: INITIAL }
    }
}

impl Budget {
    /// Learns that a first attempt was answered.
    pub fn record_answer(&mut self) {
        self.tokens = (self.tokens + EARNED).min(CAPACITY);
    }

    /// Spends one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.tokens + TOLERANCE >= 1.0;
        if allowed {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        allowed
    }
}

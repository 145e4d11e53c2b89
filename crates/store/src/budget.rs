//! Rates of reads and writes that one node may use.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::time::Instant;

/// Reads and writes per second that one node may use; clients of one node share it.
#[derive(Debug)]
pub struct NodeBudget {
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
}

#[derive(Debug)]
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    fn new(rate_per_s: f64) -> Self {
        TokenBucket {
            rate_per_s,
            tokens: capacity(rate_per_s),
            filled_at: Instant::now(),
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(capacity(self.rate_per_s));
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

/// A bucket holds the calls of one second, and at least one call.
fn capacity(rate_per_s: f64) -> f64 {
    rate_per_s.max(1.0)
}

impl NodeBudget {
    /// Creates full buckets.
    pub fn new(reads_per_s: f64, writes_per_s: f64) -> Self {
        NodeBudget {
            reads: Mutex::new(TokenBucket::new(reads_per_s)),
            writes: Mutex::new(TokenBucket::new(writes_per_s)),
        }
    }

    /// Takes one read; returns false if the rate is exhausted.
    pub fn take_read(&self) -> bool {
        take(&self.reads)
    }

    /// Takes one write; returns false if the rate is exhausted.
    pub fn take_write(&self) -> bool {
        take(&self.writes)
    }
}

fn take(bucket: &Mutex<TokenBucket>) -> bool {
    bucket
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take(Instant::now())
}

//! One router's share of the repeat budget that all routers have together.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Number of buckets into which the sliding window is divided.
const BUCKETS: usize = 10;

/// Fraction of the budget that is used. The margin is needed because requests arrive at the
/// upstream later than they are sent.
const USED_FRACTION: f64 = 0.8;

/// Repeat budget of one service, for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Number of repeats allowed per request.
    pub ratio: f64,
    /// Number of additional repeats, for all routers together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: DurationMs,
}

/// Requests and repeats of one router in the sliding window.
#[derive(Clone, Debug)]
pub struct BudgetShare {
    rule: BudgetSettings,
    requests: [u32; BUCKETS],
    repeats: [u32; BUCKETS],
    bucket: u64,
}

impl BudgetShare {
    /// Creates a share without requests or repeats.
    pub fn new(rule: BudgetSettings) -> Self {
        BudgetShare {
            rule,
            requests: [0; BUCKETS],
            repeats: [0; BUCKETS],
            bucket: 0,
        }
    }

    /// Records a request from a caller.
    pub fn record_request(&mut self, now: TimeMs) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Takes one repeat if the share of this router, one of `routers`, allows it; returns whether
    /// it does.
    pub fn spend(&mut self, routers: u32, now: TimeMs) -> bool {
        let index = self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let slack = self.rule.slack / f64::from(routers.max(1));
        let max_repeats = USED_FRACTION * (self.rule.ratio * f64::from(requests) + slack);
        let allowed = f64::from(repeats) + 1.0 <= max_repeats;
        self.repeats[index] += u32::from(allowed);
        allowed
    }

    fn advance(&mut self, now: TimeMs) -> usize {
        let bucket_ms = (self.rule.window_ms.0 / BUCKETS as u64).max(1);
        let bucket = now.0 / bucket_ms;
        let elapsed = bucket.saturating_sub(self.bucket).min(BUCKETS as u64);
        for offset in 0..elapsed {
            let index = ((bucket - offset) % BUCKETS as u64) as usize;
            self.requests[index] = 0;
            self.repeats[index] = 0;
        }
        self.bucket = self.bucket.max(bucket);
        (self.bucket % BUCKETS as u64) as usize
    }
}

//! This router's share of a budget that all routers have together.

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Pieces into which the window is divided.
const PIECES: usize = 10;

/// Part of the budget that is used, since arrivals at the upstream lag behind the sends.
const USED: f64 = 0.8;

/// The budget of one service over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond those, over all routers.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: DurationMs,
}

/// Requests and repeats of one router in the window.
#[derive(Clone, Debug)]
pub struct BudgetShare {
    rule: BudgetSettings,
    requests: [u32; PIECES],
    repeats: [u32; PIECES],
    piece: u64,
}

impl BudgetShare {
    /// Creates an unused share.
    pub fn new(rule: BudgetSettings) -> Self {
        BudgetShare {
            rule,
            requests: [0; PIECES],
            repeats: [0; PIECES],
            piece: 0,
        }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: TimeMs) {
        let at = self.advance(now);
        self.requests[at] += 1;
    }

    /// Takes one repeat, if the share of this router, one of `routers`, has one left.
    pub fn spend(&mut self, routers: u32, now: TimeMs) -> bool {
        let at = self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let repeats: u32 = self.repeats.iter().sum();
        let slack = self.rule.slack / f64::from(routers.max(1));
        let most = USED * (self.rule.ratio * f64::from(requests) + slack);
        let allowed = f64::from(repeats) + 1.0 <= most;
        self.repeats[at] += u32::from(allowed);
        allowed
    }

    fn advance(&mut self, now: TimeMs) -> usize {
        let length = (self.rule.window_ms.0 / PIECES as u64).max(1);
        let piece = now.0 / length;
        let passed = piece.saturating_sub(self.piece).min(PIECES as u64);
        for step in 0..passed {
            let at = ((piece - step) % PIECES as u64) as usize;
            self.requests[at] = 0;
            self.repeats[at] = 0;
        }
        self.piece = self.piece.max(piece);
        (self.piece % PIECES as u64) as usize
    }
}

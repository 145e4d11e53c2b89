//! Load and speed of one upstream as one router knows them.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Prompt tokens that an engine computes in a millisecond, before its speed is learned.
const PRIOR_TOKENS_PER_MS: f64 = 90.0;

/// Time to first token of an empty engine without its computation.
const PRIOR_BASE_MS: f64 = 50.0;

/// Weight of the newest measurement of the speed.
const SMOOTHING: f64 = 0.1;

/// Shorter computations say more about overhead than about speed.
const MIN_TOKENS: u64 = 3_000;

/// Bounds of the learned speed in tokens per millisecond.
const SPEED_RANGE: (f64, f64) = (10.0, 1_000.0);

/// Age from which a report is not used any more.
const REPORT_MS: DurationMs = DurationMs(1_000);

/// Time that a request at a plain service takes, before it is learned.
const PRIOR_PLAIN_MS: f64 = 60.0;

/// What a sidecar reports of its engine.
#[derive(Clone, Copy, Debug)]
struct Reported {
    other_tokens: u64,
    at: TimeMs,
}

/// Load and speed of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLoad {
    own_tokens: u64,
    in_flight: u32,
    reported: Option<Reported>,
    tokens_per_ms: f64,
    plain_ms: f64,
}

impl Default for UpstreamLoad {
    fn default() -> Self {
        UpstreamLoad {
            own_tokens: 0,
            in_flight: 0,
            reported: None,
            tokens_per_ms: PRIOR_TOKENS_PER_MS,
            plain_ms: PRIOR_PLAIN_MS,
        }
    }
}

impl UpstreamLoad {
    /// Takes over the outstanding prompt tokens of the other routers.
    pub fn reported(&mut self, other_tokens: Tokens, now: TimeMs) {
        self.reported = Some(Reported {
            other_tokens: other_tokens.0,
            at: now,
        });
    }

    /// Returns the prompt tokens that this router has sent and that have no first token yet.
    pub fn own_tokens(&self) -> Tokens {
        Tokens(self.own_tokens)
    }

    /// Returns the requests of this router that are under way.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the learned speed in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Learns the time of a request at a plain service.
    pub fn plain_took(&mut self, took_ms: DurationMs) {
        self.plain_ms += SMOOTHING * (took_ms.0 as f64 - self.plain_ms);
    }

    pub(crate) fn sent(&mut self, tokens: u64) {
        self.own_tokens += tokens;
        self.in_flight += 1;
    }

    pub(crate) fn computed(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    pub(crate) fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn learn(&mut self, tokens: u64, took: DurationMs) {
        if tokens < MIN_TOKENS {
            return;
        }
        let computing_ms = (took.0 as f64 - PRIOR_BASE_MS).max(1.0);
        let measured = (tokens as f64 / computing_ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        self.tokens_per_ms += SMOOTHING * (measured - self.tokens_per_ms);
    }

    /// Returns the outstanding prompt tokens of all routers.
    pub(crate) fn outstanding_tokens(&self, now: TimeMs) -> u64 {
        let fresh = |reported: &Reported| now.since(reported.at) < REPORT_MS;
        let reported = self.reported.filter(fresh);
        self.own_tokens + reported.map_or(0, |reported| reported.other_tokens)
    }

    pub(crate) fn backlog_ms(&self, now: TimeMs) -> f64 {
        self.outstanding_tokens(now) as f64 / self.tokens_per_ms
    }

    pub(crate) fn compute_ms(&self, tokens: u64) -> f64 {
        PRIOR_BASE_MS + tokens as f64 / self.tokens_per_ms
    }

    /// Weight in the choice of homes; coarse, so that routers that learn apart agree.
    pub(crate) fn weight(&self) -> f64 {
        2f64.powf((self.tokens_per_ms / PRIOR_TOKENS_PER_MS).log2().round())
    }

    /// Returns the expected time at a plain service with `slots` places for all routers.
    pub(crate) fn plain_ms(&self, slots: u32, routers: u32) -> f64 {
        let load = f64::from(self.in_flight * routers) / f64::from(slots.max(1));
        self.plain_ms * (1.0 + load)
    }
}

//! Load and speed of one upstream as one router knows them.

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::TimeMs;
use dw_base::Tokens;

use crate::learned_speed::LearnedSpeed;
use crate::learned_speed::PRIOR_TOKENS_PER_MS;

/// Time to first token of an empty engine without its computation.
const BASE_MS: f64 = 55.0;

/// Time for a million pairs of tokens at the prior speed; attention grows with their square.
const PAIRS_MS_PER_M: f64 = 0.3;

/// Tokens that the prior counts for.
const PRIOR_TOKENS: f64 = 2_000.0;

/// The same for the speed at which a queue is worked off.
const PRIOR_QUEUE_TOKENS: f64 = 8_000.0;

/// Shorter computations say more about overhead than about speed.
const MIN_TOKENS: u64 = 2_500;

/// Longest queue before a computation, as a part of it, from which the speed is learned.
const MOST_AHEAD: f64 = 0.2;

/// Shorter queues say little about how fast a queue is worked off.
const MIN_QUEUE_TOKENS: u64 = 4_000;

/// Weight of the newest measurement of a plain service.
const SMOOTHING: f64 = 0.1;

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
    /// Speed at which a single prompt is computed.
    computing: LearnedSpeed,
    /// Speed at which a queue is worked off.
    draining: LearnedSpeed,
    plain_ms: f64,
}

impl Default for UpstreamLoad {
    fn default() -> Self {
        UpstreamLoad {
            own_tokens: 0,
            in_flight: 0,
            reported: None,
            computing: LearnedSpeed::prior(PRIOR_TOKENS),
            draining: LearnedSpeed::prior(PRIOR_QUEUE_TOKENS),
            plain_ms: PRIOR_PLAIN_MS,
        }
    }
}

impl UpstreamLoad {
    /// Takes over the outstanding prompt tokens of the other routers.
    pub fn set_other_tokens(&mut self, other_tokens: Tokens, now: TimeMs) {
        self.reported = Some(Reported {
            other_tokens: other_tokens.0,
            at: now,
        });
    }

    /// Takes over what all routers have measured of its speed.
    pub fn set_measured_speeds(&mut self, all: MeasuredSpeeds) {
        self.computing.told(all.single_prompts);
        self.draining.told(all.queued_prompts);
    }

    /// Returns what this router has measured of its speed.
    pub fn measured_speeds(&self) -> MeasuredSpeeds {
        MeasuredSpeeds {
            single_prompts: self.computing.measured(),
            queued_prompts: self.draining.measured(),
        }
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
        self.computing.tokens_per_ms()
    }

    /// Learns the time of a request at a plain service.
    pub fn record_service_time(&mut self, took_ms: DurationMs) {
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

    /// Learns from one computation of `tokens` with `ahead` tokens queued before it.
    pub(crate) fn learn(&mut self, tokens: u64, ahead: u64, took: DurationMs) {
        if tokens < MIN_TOKENS || ahead as f64 > tokens as f64 * MOST_AHEAD {
            return;
        }
        let computing_ms = took.0 as f64 - BASE_MS - self.pairs_ms(tokens);
        self.computing.learn(tokens, computing_ms);
    }

    /// Learns from the wait of a request with `tokens` of its own behind `ahead` tokens.
    ///
    /// Routers do not know all that an engine has cached, and an engine also generates, fetches and
    /// may be slow, so a queue is worked off at another speed than a single prompt.
    pub(crate) fn learn_queue(&mut self, tokens: u64, ahead: u64, took: DurationMs) {
        if ahead < MIN_QUEUE_TOKENS.max(tokens / 2) {
            return;
        }
        let waited_ms = took.0 as f64 - self.compute_ms(tokens);
        self.draining.learn(ahead, waited_ms);
    }

    /// Returns the time that attention over a long prompt takes beside its tokens.
    fn pairs_ms(&self, tokens: u64) -> f64 {
        let pairs_m = (tokens as f64 / 1_000.0).powi(2) / 2.0;
        pairs_m * PAIRS_MS_PER_M * PRIOR_TOKENS_PER_MS / self.tokens_per_ms()
    }

    /// Returns the outstanding prompt tokens of all routers.
    pub(crate) fn outstanding_tokens(&self, now: TimeMs) -> u64 {
        let fresh = |reported: &Reported| now.since(reported.at) < REPORT_MS;
        let reported = self.reported.filter(fresh);
        self.own_tokens + reported.map_or(0, |reported| reported.other_tokens)
    }

    pub(crate) fn backlog_ms(&self, now: TimeMs) -> f64 {
        self.outstanding_tokens(now) as f64 / self.draining.tokens_per_ms()
    }

    pub(crate) fn compute_ms(&self, tokens: u64) -> f64 {
        BASE_MS + tokens as f64 / self.tokens_per_ms() + self.pairs_ms(tokens)
    }

    /// Returns the expected time at a plain service with `slots` places for all routers.
    pub(crate) fn plain_ms(&self, slots: u32, routers: u32) -> f64 {
        let load = f64::from(self.in_flight * routers) / f64::from(slots.max(1));
        self.plain_ms * (1.0 + load)
    }
}

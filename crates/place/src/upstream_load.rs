//! Load and speed of one upstream, as seen by one router.

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::MeasuredWork;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;

use crate::learned_speed::LearnedSpeed;
use crate::learned_speed::PRIOR_TOKENS_PER_MS;

/// Time to first token at an idle engine, excluding prompt computation.
const BASE_LATENCY_MS: f64 = 55.0;

/// Attention time for a million token pairs at the prior speed; attention is quadratic in the
/// prompt length.
const ATTENTION_MS_PER_M_PAIRS: f64 = 0.3;

/// Weight of the prior compute speed, as a number of measured tokens.
const PRIOR_COMPUTE_TOKENS: f64 = 2_000.0;

/// Weight of the prior queue speed, as a number of measured tokens.
const PRIOR_QUEUE_TOKENS: f64 = 8_000.0;

/// Shortest computation that is measured; in shorter ones overhead dominates.
const MIN_COMPUTE_TOKENS: u64 = 2_500;

/// Longest queue ahead of a measured computation, relative to its tokens.
const MAX_QUEUE_RATIO: f64 = 0.2;

/// Shortest queue from which the queue speed is measured.
const MIN_QUEUE_TOKENS: u64 = 4_000;

/// Weight of the newest measurement in the moving average of a plain service's time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// Age at which a report is ignored.
const MAX_REPORT_AGE_MS: DurationMs = DurationMs(1_000);

/// Assumed time of a request at a plain service before the first measurement.
const PRIOR_SERVICE_MS: f64 = 60.0;

/// Outstanding work of the other routers, as reported by the engine's sidecar.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    other_tokens: u64,
    at: TimeMs,
}

/// Load and speed of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLoad {
    own_tokens: u64,
    in_flight: u32,
    peer_report: Option<PeerReport>,
    /// Speed at which an engine without a queue computes a prompt.
    compute_speed: LearnedSpeed,
    /// Speed at which an engine processes its queue.
    queue_speed: LearnedSpeed,
    service_ms: f64,
}

impl Default for UpstreamLoad {
    fn default() -> Self {
        UpstreamLoad {
            own_tokens: 0,
            in_flight: 0,
            peer_report: None,
            compute_speed: LearnedSpeed::with_prior(PRIOR_COMPUTE_TOKENS),
            queue_speed: LearnedSpeed::with_prior(PRIOR_QUEUE_TOKENS),
            service_ms: PRIOR_SERVICE_MS,
        }
    }
}

impl UpstreamLoad {
    /// Sets the outstanding prompt tokens of the other routers.
    pub fn set_other_tokens(&mut self, other_tokens: Tokens, now: TimeMs) {
        self.peer_report = Some(PeerReport {
            other_tokens: other_tokens.0,
            at: now,
        });
    }

    /// Sets the speeds measured by all routers together.
    pub fn set_measured_speeds(&mut self, all: MeasuredSpeeds) {
        self.compute_speed.set_shared(all.single_prompts);
        self.queue_speed.set_shared(all.queued_prompts);
    }

    /// Returns the speeds measured by this router.
    pub fn measured_speeds(&self) -> MeasuredSpeeds {
        MeasuredSpeeds {
            single_prompts: self.compute_speed.measured(),
            queued_prompts: self.queue_speed.measured(),
        }
    }

    /// Returns the prompt tokens that this router has sent and that await their first token.
    pub fn own_tokens(&self) -> Tokens {
        Tokens(self.own_tokens)
    }

    /// Returns the number of this router's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the estimated speed in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.compute_speed.tokens_per_ms()
    }

    /// Returns the estimated speed at which the engine processes its queue; `typical` is that of others like
    /// it, and counts while little is measured.
    pub fn queue_speed(&self, typical: TokensPerS) -> TokensPerS {
        let prior_tokens_per_ms = (typical.get() / 1_000.0).max(f64::MIN_POSITIVE);
        let speed = self
            .queue_speed
            .tokens_per_ms_with_prior(prior_tokens_per_ms);
        TokensPerS::new(speed * 1_000.0).unwrap_or(typical)
    }

    /// Returns what was measured of the speed at which the engine processes its queue.
    pub fn measured_queue(&self) -> MeasuredWork {
        self.queue_speed.best_measured()
    }

    /// Returns the prompt tokens of all routers that await their first token.
    pub fn outstanding(&self, now: TimeMs) -> Tokens {
        Tokens(self.outstanding_tokens(now))
    }

    /// Records the time that a request at a plain service took.
    pub fn record_service_time(&mut self, took_ms: DurationMs) {
        self.service_ms += SERVICE_TIME_SMOOTHING * (took_ms.0 as f64 - self.service_ms);
    }

    /// Records a request in flight with this many outstanding tokens.
    pub(crate) fn add_request(&mut self, tokens: u64) {
        self.own_tokens += tokens;
        self.in_flight += 1;
    }

    /// Records that tokens are no longer outstanding.
    pub(crate) fn remove_tokens(&mut self, tokens: u64) {
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    pub(crate) fn remove_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Updates the compute speed from a prompt of `tokens` that had `ahead` tokens queued before it.
    pub(crate) fn record_compute(&mut self, tokens: u64, ahead: u64, took: DurationMs) {
        if tokens < MIN_COMPUTE_TOKENS || ahead as f64 > tokens as f64 * MAX_QUEUE_RATIO {
            return;
        }
        let computing_ms = took.0 as f64 - BASE_LATENCY_MS - self.attention_ms(tokens);
        self.compute_speed.record(tokens, computing_ms);
    }

    /// Updates the queue speed from a prompt of `tokens` that had `ahead` tokens queued before it.
    ///
    /// A queue is processed at another speed than a single prompt: routers do not know all cached
    /// tokens, and an engine also decodes, fetches, and may be slow.
    pub(crate) fn record_queue_wait(&mut self, tokens: u64, ahead: u64, took: DurationMs) {
        if ahead < MIN_QUEUE_TOKENS.max(tokens / 2) {
            return;
        }
        let waited_ms = took.0 as f64 - self.compute_ms(tokens);
        self.queue_speed.record(ahead, waited_ms);
    }

    /// Returns the quadratic part of the compute time.
    fn attention_ms(&self, tokens: u64) -> f64 {
        let pairs_m = (tokens as f64 / 1_000.0).powi(2) / 2.0;
        pairs_m * ATTENTION_MS_PER_M_PAIRS * PRIOR_TOKENS_PER_MS / self.tokens_per_ms()
    }

    /// Returns the outstanding prompt tokens of all routers.
    pub(crate) fn outstanding_tokens(&self, now: TimeMs) -> u64 {
        let is_fresh = |peer_report: &PeerReport| now.since(peer_report.at) < MAX_REPORT_AGE_MS;
        let peer_report = self.peer_report.filter(is_fresh);
        self.own_tokens + peer_report.map_or(0, |peer_report| peer_report.other_tokens)
    }

    /// Returns the expected time to process the outstanding prompts.
    pub(crate) fn backlog_ms(&self, now: TimeMs) -> f64 {
        self.outstanding_tokens(now) as f64 / self.queue_speed.tokens_per_ms()
    }

    /// Returns the expected time to first token of `tokens` at an idle engine.
    pub(crate) fn compute_ms(&self, tokens: u64) -> f64 {
        BASE_LATENCY_MS + tokens as f64 / self.tokens_per_ms() + self.attention_ms(tokens)
    }

    /// Returns the expected request time at a plain service with `slots` slots shared by all routers.
    pub(crate) fn service_ms(&self, slots: u32, routers: u32) -> f64 {
        let load = f64::from(self.in_flight * routers) / f64::from(slots.max(1));
        self.service_ms * (1.0 + load)
    }
}

//! Estimates of speeds and service times from finished requests.

use dw_base::DurationMs;
use dw_base::TokensPerS;

use crate::gate::Finished;
use crate::ticket::Ticket;

/// Weight of the latest measurement in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Shorter prefills are not used for the speed, because their time is mostly overhead.
const MIN_PREFILL_TOKENS: u64 = 256;

/// Overhead of a request beyond its token processing, until it has been measured.
const INITIAL_OVERHEAD_MS: f64 = 10.0;

/// Lower bound for speeds, so that times stay finite.
const MIN_TOKENS_PER_S: f64 = 0.1;

/// Moving averages of the speeds, which start from the configured speeds.
#[derive(Clone, Debug)]
pub(crate) struct Speeds {
    prefill_tokens_per_s: f64,
    decode_tokens_per_s: f64,
    /// Ratio of generated tokens to the maximum that the requests allow.
    generated_ratio: f64,
    overhead_ms: f64,
}

impl Speeds {
    /// Creates the estimates from the configured speeds.
    pub(crate) fn new(prefill: TokensPerS, decode: TokensPerS) -> Self {
        Speeds {
            prefill_tokens_per_s: prefill.get().max(MIN_TOKENS_PER_S),
            decode_tokens_per_s: decode.get().max(MIN_TOKENS_PER_S),
            generated_ratio: 1.0,
            overhead_ms: INITIAL_OVERHEAD_MS,
        }
    }

    /// Updates the estimates from a finished request.
    pub(crate) fn finished(&mut self, ticket: &Ticket, finished: &Finished) {
        let prefill_ms = finished.prefill_ms.0 as f64;
        let decode_ms = finished.total_ms.saturating_sub(finished.prefill_ms).0 as f64;
        if finished.computed_tokens.0 >= MIN_PREFILL_TOKENS && prefill_ms > 0.0 {
            let speed = finished.computed_tokens.0 as f64 * 1_000.0 / prefill_ms;
            update_average(&mut self.prefill_tokens_per_s, speed);
        }
        if finished.generated_tokens.0 > 1 && decode_ms > 0.0 {
            let speed = finished.generated_tokens.0 as f64 * 1_000.0 / decode_ms;
            update_average(&mut self.decode_tokens_per_s, speed);
        }
        if ticket.max_tokens.0 > 0 {
            let ratio = finished.generated_tokens.0 as f64 / ticket.max_tokens.0 as f64;
            update_average(&mut self.generated_ratio, ratio.min(1.0));
        }
        let computed = finished.computed_tokens.0 as f64 / self.prefill_tokens_per_s;
        let generated = finished.generated_tokens.0 as f64 / self.decode_tokens_per_s;
        let measured_overhead_ms = finished.total_ms.0 as f64 - (computed + generated) * 1_000.0;
        update_average(&mut self.overhead_ms, measured_overhead_ms.max(0.0));
    }

    /// Returns the expected time from start to first token.
    pub(crate) fn first_token_ms(&self, ticket: &Ticket) -> f64 {
        self.compute_ms(ticket) + self.overhead_ms
    }

    /// Returns the expected time to compute the prompt.
    pub(crate) fn compute_ms(&self, ticket: &Ticket) -> f64 {
        ticket.uncached_tokens.0 as f64 * 1_000.0 / self.prefill_tokens_per_s
    }

    /// Returns the expected time from start to end.
    pub(crate) fn service_ms(&self, ticket: &Ticket) -> f64 {
        let generated = ticket.max_tokens.0 as f64 * self.generated_ratio;
        self.first_token_ms(ticket) + generated * 1_000.0 / self.decode_tokens_per_s
    }

    /// Returns the measured prefill speed.
    pub(crate) fn prefill(&self) -> TokensPerS {
        TokensPerS::new(self.prefill_tokens_per_s).unwrap_or_default()
    }

    /// Returns the measured decode speed of one stream.
    pub(crate) fn decode(&self) -> TokensPerS {
        TokensPerS::new(self.decode_tokens_per_s).unwrap_or_default()
    }
}

fn update_average(average: &mut f64, latest: f64) {
    *average += SMOOTHING_FACTOR * (latest - *average);
    *average = average.max(0.0);
}

/// Rounds a time up to whole milliseconds.
pub(crate) fn to_duration(ms: f64) -> DurationMs {
    DurationMs(ms.max(0.0).ceil() as u64)
}

//! Speeds and service times measured from finished requests.

use dw_base::DurationMs;
use dw_base::TokensPerS;

use crate::gate::Finished;
use crate::ticket::Ticket;

/// Weight of the newest measurement.
const SMOOTHING: f64 = 0.1;

/// Shorter computations say more about overhead than about speed.
const MIN_PREFILL_TOKENS: u64 = 256;

/// Time of a request beside its tokens, before any has finished.
const INITIAL_OVERHEAD_MS: f64 = 10.0;

/// Lowest speed, so that times stay finite.
const MIN_TOKENS_PER_S: f64 = 0.1;

/// Measured speeds, with the declared ones as the prior.
#[derive(Clone, Debug)]
pub(crate) struct Speeds {
    prefill_tokens_per_s: f64,
    decode_tokens_per_s: f64,
    /// Share of the allowed tokens that is generated.
    used_share: f64,
    overhead_ms: f64,
}

impl Speeds {
    /// Creates the estimate from declared speeds.
    pub(crate) fn new(prefill: TokensPerS, decode: TokensPerS) -> Self {
        Speeds {
            prefill_tokens_per_s: prefill.get().max(MIN_TOKENS_PER_S),
            decode_tokens_per_s: decode.get().max(MIN_TOKENS_PER_S),
            used_share: 1.0,
            overhead_ms: INITIAL_OVERHEAD_MS,
        }
    }

    /// Learns from a finished request.
    pub(crate) fn finished(&mut self, ticket: &Ticket, finished: &Finished) {
        let prefill_ms = finished.prefill_ms.0 as f64;
        let decode_ms = finished.total_ms.saturating_sub(finished.prefill_ms).0 as f64;
        if finished.computed_tokens.0 >= MIN_PREFILL_TOKENS && prefill_ms > 0.0 {
            let speed = finished.computed_tokens.0 as f64 * 1_000.0 / prefill_ms;
            blend(&mut self.prefill_tokens_per_s, speed);
        }
        if finished.generated_tokens.0 > 1 && decode_ms > 0.0 {
            let speed = finished.generated_tokens.0 as f64 * 1_000.0 / decode_ms;
            blend(&mut self.decode_tokens_per_s, speed);
        }
        if ticket.max_tokens.0 > 0 {
            let share = finished.generated_tokens.0 as f64 / ticket.max_tokens.0 as f64;
            blend(&mut self.used_share, share.min(1.0));
        }
        let computed = finished.computed_tokens.0 as f64 / self.prefill_tokens_per_s;
        let generated = finished.generated_tokens.0 as f64 / self.decode_tokens_per_s;
        let rest = finished.total_ms.0 as f64 - (computed + generated) * 1_000.0;
        blend(&mut self.overhead_ms, rest.max(0.0));
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
        let generated = ticket.max_tokens.0 as f64 * self.used_share;
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

fn blend(average: &mut f64, newest: f64) {
    *average += SMOOTHING * (newest - *average);
    *average = average.max(0.0);
}

/// Rounds a time up to whole milliseconds.
pub(crate) fn to_duration(ms: f64) -> DurationMs {
    DurationMs(ms.max(0.0).ceil() as u64)
}

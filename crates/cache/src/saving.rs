//! Which requests save the shared parts of their prompts in the store of kept KV cache.
//!
//! Load pattern: after each change of weights all shared parts are computed anew, and requests for
//! the same part come at several engines within seconds. An engine saves whatever it computes, so
//! the request's own part goes to the store too; when many of these come within the time in which
//! shared parts are used again, the store drops shared parts for them.

use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Time in which most shared parts come into use again.
const REUSE_MS: f64 = 10_000.0;

/// Length of a request's own part, relative to the shared ones, up to which it saves them: with an
/// empty store, and with one that is filled anew all the time.
const MOST_OWN: f64 = 4.0;
const LEAST_OWN: f64 = 1.5;

/// Pressure at which a store drops parts before their next use whatever else is saved.
const FULL_PRESSURE: f64 = 1.3;

fn fade(passed_ms: DurationMs) -> f64 {
    (-(passed_ms.0 as f64) / REUSE_MS).exp()
}

/// Tokens that came to a store lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Inflow {
    tokens: f64,
    faded: TimeMs,
}

impl Inflow {
    /// Records tokens that came to the store.
    pub fn record(&mut self, tokens: Tokens, now: TimeMs) {
        self.tokens = self.tokens * fade(now.since(self.faded)) + tokens.0 as f64;
        self.faded = now;
    }

    /// Returns the share of the store's room that is filled anew in the time in which parts come
    /// into use again.
    pub fn pressure(&self, capacity: Tokens, now: TimeMs) -> f64 {
        let tokens = self.tokens * fade(now.since(self.faded));
        tokens / (capacity.0 as f64).max(1.0)
    }
}

/// Returns whether a request with this prompt saves its shared parts, of which the store holds
/// `stored` tokens.
pub fn is_worth_saving(prompt: &[PromptPart], stored: Tokens, pressure: f64) -> bool {
    let Some((own, shared)) = prompt.split_last() else {
        return false;
    };
    let shared: u64 = shared.iter().map(|part| part.tokens.0).sum();
    let most_own = (MOST_OWN * (FULL_PRESSURE - pressure)).clamp(LEAST_OWN, MOST_OWN);
    stored.0 < shared && own.tokens.0 as f64 <= shared as f64 * most_own
}

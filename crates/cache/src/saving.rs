//! Decides which requests save the shared parts of their prompts in the KV store.
//!
//! Load pattern: after each change of weights, all shared parts are recomputed, and requests for the
//! same part reach several engines within seconds. An engine saves everything it computes, so the
//! request's own part is stored too. If many own parts arrive within the reuse interval of the
//! shared parts, the store evicts shared parts to make room for them.

use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Interval within which most shared parts are reused.
const REUSE_INTERVAL_MS: f64 = 10_000.0;

/// Maximum length of a request's own part, relative to its shared parts, up to which the request
/// saves them: without pressure on the store.
const MAX_OWN_RATIO: f64 = 4.0;
/// The same limit for a store under full pressure.
const MIN_OWN_RATIO: f64 = 1.5;

/// Pressure at which the store evicts parts before their next use, regardless of what else is saved.
const FULL_PRESSURE: f64 = 1.3;

fn decay(elapsed_ms: DurationMs) -> f64 {
    (-(elapsed_ms.0 as f64) / REUSE_INTERVAL_MS).exp()
}

/// Exponentially decaying count of tokens written to a store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Inflow {
    tokens: f64,
    updated_at: TimeMs,
}

impl Inflow {
    /// Records tokens written to the store.
    pub fn record(&mut self, tokens: Tokens, now: TimeMs) {
        self.tokens = self.tokens * decay(now.since(self.updated_at)) + tokens.0 as f64;
        self.updated_at = now;
    }

    /// Returns the fraction of the store's capacity that is overwritten within the reuse interval.
    pub fn pressure(&self, capacity: Tokens, now: TimeMs) -> f64 {
        let tokens = self.tokens * decay(now.since(self.updated_at));
        tokens / (capacity.0 as f64).max(1.0)
    }
}

/// Returns whether a request with this prompt should save its shared parts, of which the store
/// already holds `stored` tokens.
pub fn is_worth_saving(prompt: &[PromptPart], stored: Tokens, pressure: f64) -> bool {
    let Some((own, shared)) = prompt.split_last() else {
        return false;
    };
    let shared: u64 = shared.iter().map(|part| part.tokens.0).sum();
    let own_ratio_limit =
        (MAX_OWN_RATIO * (FULL_PRESSURE - pressure)).clamp(MIN_OWN_RATIO, MAX_OWN_RATIO);
    stored.0 < shared && own.tokens.0 as f64 <= shared as f64 * own_ratio_limit
}

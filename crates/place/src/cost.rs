//! Expected time to first token.

use dw_base::Tokens;

/// Expected time to first token in its parts, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Wait in the queue.
    pub(crate) wait_ms: f64,
    /// Computation or import.
    pub(crate) prefill_ms: f64,
    /// Network.
    pub(crate) network_ms: f64,
}

impl Cost {
    /// Returns the expected time to first token.
    pub(crate) fn first_token_ms(&self) -> f64 {
        self.wait_ms + self.prefill_ms + self.network_ms
    }
}

/// Time to import saved cache pieces instead of computing them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportCost {
    /// Time before the first piece arrives.
    pub fixed_ms: f64,
    /// Tokens that arrive in a second.
    pub tokens_per_s: f64,
    /// Share of the uncached tokens that the store is expected to hold.
    pub coverage: f64,
}

impl Default for ImportCost {
    /// Pieces of 2,048 tokens and 128 MiB at 5 GB/s, each with a lookup of 5 ms; after the first
    /// computation of a piece the store holds it, so most of what is missing is expected there.
    fn default() -> Self {
        ImportCost {
            fixed_ms: 0.0,
            tokens_per_s: 64_000.0,
            coverage: 0.8,
        }
    }
}

impl ImportCost {
    /// Returns the time to obtain missing tokens by the cheaper of computation and import.
    pub fn prefill_ms(&self, uncached: Tokens, speed_tokens_per_s: f64) -> f64 {
        prefill_ms(uncached.0 as f64, speed_tokens_per_s, Some(*self))
    }
}

/// Returns the time to obtain `uncached` tokens by the cheaper of computation and import.
pub(crate) fn prefill_ms(uncached: f64, speed: f64, import: Option<ImportCost>) -> f64 {
    let computed = uncached * 1_000.0 / speed;
    let Some(import) = import else {
        return computed;
    };
    let held = uncached * import.coverage;
    let imported = import.fixed_ms + held * 1_000.0 / import.tokens_per_s;
    computed.min(imported + (uncached - held) * 1_000.0 / speed)
}

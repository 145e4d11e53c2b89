//! Components of the expected time to first token.

use dw_base::Tokens;

/// Expected time to first token, split into components in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Wait in the queue.
    pub(crate) wait_ms: f64,
    /// Time to compute or import uncached tokens.
    pub(crate) prefill_ms: f64,
    /// Network time.
    pub(crate) network_ms: f64,
}

impl Cost {
    /// Returns the sum of the components.
    pub(crate) fn first_token_ms(&self) -> f64 {
        self.wait_ms + self.prefill_ms + self.network_ms
    }
}

/// Cost model of importing blocks from the KV store instead of computing them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImportCost {
    /// Latency before the first block arrives.
    pub fixed_ms: f64,
    /// Import throughput.
    pub tokens_per_s: f64,
    /// Fraction of the uncached tokens that the KV store is expected to hold.
    pub coverage: f64,
}

impl Default for ImportCost {
    /// Blocks of 2,048 tokens and 128 MiB at 5 GB/s, each with a lookup of 5 ms. The store holds a
    /// block once any engine has computed it, so most uncached blocks are expected there.
    fn default() -> Self {
        ImportCost {
            fixed_ms: 0.0,
            tokens_per_s: 64_000.0,
            coverage: 0.8,
        }
    }
}

impl ImportCost {
    /// Returns the time to obtain uncached tokens by computation or import, whichever is faster.
    pub fn prefill_ms(&self, uncached: Tokens, speed_tokens_per_s: f64) -> f64 {
        prefill_ms(uncached.0 as f64, speed_tokens_per_s, Some(*self))
    }
}

/// Returns the time to obtain `uncached` tokens by computation or import, whichever is faster.
pub(crate) fn prefill_ms(uncached: f64, speed: f64, import: Option<ImportCost>) -> f64 {
    let compute_ms = uncached * 1_000.0 / speed;
    let Some(import) = import else {
        return compute_ms;
    };
    let importable = uncached * import.coverage;
    let import_ms = import.fixed_ms + importable * 1_000.0 / import.tokens_per_s;
    compute_ms.min(import_ms + (uncached - importable) * 1_000.0 / speed)
}

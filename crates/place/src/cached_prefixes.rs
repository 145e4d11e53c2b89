//! Prefixes that an engine's cache is expected to hold.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::PrefixKey;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Fraction of an engine's KV memory that is left for cached prefixes beside running requests.
const CACHE_FRACTION: f64 = 0.7;

/// Time from sending a prompt to the engine's announcement of its blocks, queueing included.
const ANNOUNCE_DELAY_MS: DurationMs = DurationMs(1_500);

/// Number of recorded prefixes above which those expected to be evicted are removed.
const SWEEP_THRESHOLD: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct LastUse {
    /// Tokens that the engine had computed before this use.
    computed_before: u64,
    at: TimeMs,
}

/// Model of a least-recently-used cache: a prefix counts as evicted once more tokens than the cache
/// holds were computed since its last use.
#[derive(Clone, Debug, Default)]
pub(crate) struct CachedPrefixes {
    last_uses: HashMap<PrefixKey, LastUse>,
    /// Tokens that the engine is expected to have computed so far.
    computed_tokens: u64,
    retained_tokens: u64,
}

impl CachedPrefixes {
    /// Records the use of a prefix, assuming that each of `routers` routers sends as much work.
    pub(crate) fn record_use(&mut self, key: PrefixKey, tokens: Tokens, routers: u64, at: TimeMs) {
        let last_use = LastUse {
            computed_before: self.computed_tokens,
            at,
        };
        let is_known = self.last_uses.insert(key, last_use).is_some();
        if !is_known {
            self.computed_tokens += tokens.0 * routers;
        }
        if self.last_uses.len() > SWEEP_THRESHOLD {
            let oldest = self
                .computed_tokens
                .saturating_sub(self.retained_tokens.max(1));
            self.last_uses
                .retain(|_, last| last.computed_before >= oldest);
        }
    }

    /// Returns how many of the nested prefixes an engine with this KV memory is expected to hold.
    pub(crate) fn depth(&self, keys: &[PrefixKey], capacity: Tokens) -> usize {
        let retained_tokens = (capacity.0 as f64 * CACHE_FRACTION) as u64;
        let is_held = |key: &&PrefixKey| {
            let last = self.last_uses.get(*key);
            last.is_some_and(|last| self.computed_tokens - last.computed_before <= retained_tokens)
        };
        keys.iter().take_while(is_held).count()
    }

    /// Returns how many of the nested prefixes were sent so recently that the engine may not have
    /// announced them yet.
    pub(crate) fn unannounced_depth(&self, keys: &[PrefixKey], now: TimeMs) -> usize {
        let is_recent = |key: &&PrefixKey| {
            let last = self.last_uses.get(*key);
            last.is_some_and(|last| now.since(last.at) < ANNOUNCE_DELAY_MS)
        };
        keys.iter().take_while(is_recent).count()
    }
}

//! Which prefixes an engine's cache is expected to hold.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::PrefixKey;
use dw_base::TimeMs;
use dw_base::Tokens;

/// Part of an engine's memory that stays for cached prefixes beside running requests.
const CACHE_PART: f64 = 0.7;

/// Time until an engine tells of a prompt that was sent to it, its wait there included.
const UNTOLD_MS: DurationMs = DurationMs(1_500);

/// Prefixes that are remembered before those out of reach are dropped.
const SWEEP_AT: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct Use {
    /// Tokens that had been computed before.
    computed: u64,
    at: TimeMs,
}

/// Prefixes by the tokens that were computed since their last use, as in a least-recently-used
/// cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmSet {
    used_at: HashMap<PrefixKey, Use>,
    computed: u64,
    reach: u64,
}

impl WarmSet {
    /// Records the use of a prefix by one of `routers` routers.
    pub(crate) fn used(&mut self, key: PrefixKey, tokens: Tokens, routers: u64, at: TimeMs) {
        let computed = self.computed;
        let known = self.used_at.insert(key, Use { computed, at }).is_some();
        if !known {
            self.computed += tokens.0 * routers;
        }
        if self.used_at.len() > SWEEP_AT {
            let oldest = self.computed.saturating_sub(self.reach.max(1));
            self.used_at.retain(|_, last| last.computed >= oldest);
        }
    }

    /// Returns how many of the nested prefixes are held in an engine with this memory.
    pub(crate) fn depth(&self, keys: &[PrefixKey], capacity: Tokens) -> usize {
        let reach = (capacity.0 as f64 * CACHE_PART) as u64;
        let held = |key: &&PrefixKey| {
            let last = self.used_at.get(*key);
            last.is_some_and(|last| self.computed - last.computed <= reach)
        };
        keys.iter().take_while(held).count()
    }

    /// Returns how many of the nested prefixes came to the engine so lately that it cannot have
    /// told of them.
    pub(crate) fn untold_depth(&self, keys: &[PrefixKey], now: TimeMs) -> usize {
        let recent = |key: &&PrefixKey| {
            let last = self.used_at.get(*key);
            last.is_some_and(|last| now.since(last.at) < UNTOLD_MS)
        };
        keys.iter().take_while(recent).count()
    }
}

//! Which prefixes an engine's cache is expected to hold.

use std::collections::HashMap;

use dw_base::PrefixKey;
use dw_base::Tokens;

/// Part of an engine's memory that stays for cached prefixes beside running requests.
const CACHE_PART: f64 = 0.7;

/// Prefixes that are remembered before those out of reach are dropped.
const SWEEP_AT: usize = 4_096;

/// Prefixes by the tokens that were computed since their last use, as in a least-recently-used
/// cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmSet {
    used_at: HashMap<PrefixKey, u64>,
    computed: u64,
    reach: u64,
}

impl WarmSet {
    /// Records the use of a prefix by one of `routers` routers.
    pub(crate) fn used(&mut self, key: PrefixKey, tokens: Tokens, routers: u64) {
        let known = self.used_at.insert(key, self.computed).is_some();
        if !known {
            self.computed += tokens.0 * routers;
        }
        if self.used_at.len() > SWEEP_AT {
            let oldest = self.computed.saturating_sub(self.reach.max(1));
            self.used_at.retain(|_, at| *at >= oldest);
        }
    }

    /// Returns how many of the nested prefixes are held in an engine with this memory.
    pub(crate) fn depth(&self, keys: &[PrefixKey], capacity: Tokens) -> usize {
        let reach = (capacity.0 as f64 * CACHE_PART) as u64;
        let held = |key: &&PrefixKey| {
            let at = self.used_at.get(*key);
            at.is_some_and(|at| self.computed - at <= reach)
        };
        keys.iter().take_while(held).count()
    }
}

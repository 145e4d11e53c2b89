//! Contents of an engine's cache or of a KV store, reconstructed from its change events.
//!
//! Load pattern: each engine stores and evicts hundreds of shared prompt parts within seconds, and
//! every request adds a part of its own. Events arrive late and a few are lost, so the contents are
//! only hints; a wrong hint costs one recomputation.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::PartKey;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;

use crate::saving::Inflow;

/// Maximum number of tracked parts. Above it, the parts that changed least recently are dropped,
/// because their removal events may have been lost.
const MAX_PARTS: usize = 8_192;

/// Time after a relayed update during which the source is not polled directly. Updates are relayed
/// twice within this time.
const RELAYED_TTL_MS: DurationMs = DurationMs(2_000);

/// A part was stored or removed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvChange {
    /// Key of the part under its salt.
    pub key: PartKey,
    /// Number of tokens stored now; zero if the part was removed.
    pub tokens: Tokens,
}

/// A page of changes after a position in the change log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KvPage {
    /// Position at which the page starts.
    pub since: u64,
    /// Epoch of the source. A different epoch means that the source was restarted and is empty.
    pub epoch: u64,
    /// Position from which to request the next page.
    pub next: u64,
    /// Whether changes are missing from the page.
    pub incomplete: bool,
    /// Changes, the oldest first.
    pub changes: Vec<KvChange>,
}

#[derive(Clone, Copy, Debug)]
struct StoredPart {
    tokens: Tokens,
    /// Number of the change that stored the part.
    change: u64,
}

/// Contents of one engine cache or KV store.
#[derive(Debug, Default)]
pub struct Contents {
    parts: HashMap<PartKey, StoredPart>,
    changes: u64,
    epoch: u64,
    next: u64,
    is_reachable: bool,
    /// When another process last relayed changes without a gap.
    relayed_at: Option<TimeMs>,
    inflow: Inflow,
}

impl Contents {
    /// Returns the position from which to request changes.
    pub fn next_position(&self) -> u64 {
        self.next
    }

    /// Returns whether the last request to the source succeeded.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Returns the number of tokens in the leading parts that are stored.
    pub fn leading_tokens(&self, keys: &[PartKey], parts: &[PromptPart]) -> Tokens {
        let is_stored = |(key, part): &(&PartKey, &PromptPart)| {
            let stored = self.parts.get(*key);
            // Only whole blocks are stored, so the last few tokens of a part may be missing.
            stored.is_some_and(|stored| stored.tokens.0 * 2 >= part.tokens.0)
        };
        let leading = keys.iter().zip(parts).take_while(is_stored);
        Tokens(leading.map(|(_, part)| part.tokens.0).sum())
    }

    /// Returns the keys of at most `limit` parts, preferring the most recently stored.
    pub fn newest(&self, limit: usize) -> Vec<PartKey> {
        let mut parts: Vec<_> = self.parts.iter().collect();
        if parts.len() > limit {
            parts.select_nth_unstable_by_key(limit, |(_, part)| u64::MAX - part.change);
            parts.truncate(limit);
        }
        parts.into_iter().map(|(key, _)| *key).collect()
    }

    /// Returns the fraction of the capacity that is overwritten before parts are reused.
    pub fn pressure(&self, capacity: Tokens, now: TimeMs) -> f64 {
        self.inflow.pressure(capacity, now)
    }

    /// Records that the source does not answer; returns whether it was reachable before.
    pub fn mark_unreachable(&mut self) -> bool {
        std::mem::replace(&mut self.is_reachable, false)
    }

    /// Applies changes read from the source.
    pub fn apply(&mut self, page: KvPage, now: TimeMs) {
        if page.epoch != self.epoch || page.incomplete {
            self.parts.clear();
        }
        self.epoch = page.epoch;
        self.next = page.next;
        self.is_reachable = true;
        for change in page.changes {
            self.inflow.record(change.tokens, now);
            self.changes += 1;
            let part = StoredPart {
                tokens: change.tokens,
                change: self.changes,
            };
            match change.tokens {
                Tokens(0) => drop(self.parts.remove(&change.key)),
                _ => drop(self.parts.insert(change.key, part)),
            }
        }
        self.drop_oldest();
    }

    /// Applies changes that another process has read from the source.
    ///
    /// Changes that leave a gap after the known position are ignored, and the source has to be polled.
    pub fn apply_relayed(&mut self, page: KvPage, now: TimeMs) {
        if !self.is_reachable || page.epoch != self.epoch || page.since > self.next {
            self.relayed_at = None;
            return;
        }
        if page.next > self.next {
            self.apply(page, now);
        }
        self.relayed_at = Some(now);
    }

    /// Discards the freshness of relayed changes, so that the source is polled at once. Called when
    /// another process gets no answer from the source.
    pub fn mark_stale(&mut self) {
        self.relayed_at = None;
    }

    /// Returns whether another process relayed changes without a gap within the last 2 s.
    pub fn is_fresh(&self, now: TimeMs) -> bool {
        self.relayed_at
            .is_some_and(|at| now.since(at) < RELAYED_TTL_MS)
    }

    fn drop_oldest(&mut self) {
        if self.parts.len() <= MAX_PARTS {
            return;
        }
        let mut changes: Vec<u64> = self.parts.values().map(|part| part.change).collect();
        let median = changes.len() / 2;
        let (_, oldest, _) = changes.select_nth_unstable(median);
        let oldest = *oldest;
        self.parts.retain(|_, part| part.change >= oldest);
    }
}

//! What an engine or a store of kept KV cache holds, from its events.
//!
//! Load pattern: hundreds of shared parts come and go at each engine within seconds, and each
//! request leaves a part of its own. Events come late and a few never come, so the contents are
//! hints: a wrong one costs a computation.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::PartKey;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;

use crate::saving::Inflow;

/// Parts that are remembered; beyond it those that changed longest ago are forgotten, as their
/// removal may have been lost.
const MAX_PARTS: usize = 8_192;

/// Time after another process has told changes in which the holder is not asked; it tells twice in
/// that time.
const TOLD_MS: DurationMs = DurationMs(2_000);

/// A part came or went.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvChange {
    /// Key of the part under its salt.
    pub key: PartKey,
    /// Tokens that are kept now.
    pub tokens: Tokens,
}

/// Changes since a position.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct KvPage {
    /// Position from which was asked.
    pub since: u64,
    /// Life of the holder; another one means that it was restarted and is empty.
    pub epoch: u64,
    /// Position for the next call.
    pub next: u64,
    /// Whether changes are missing.
    pub incomplete: bool,
    /// Changes.
    pub changes: Vec<KvChange>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: Tokens,
    /// Number of the change that brought it.
    change: u64,
}

/// Contents of one engine or store.
#[derive(Debug, Default)]
pub struct Contents {
    held: HashMap<PartKey, Held>,
    changes: u64,
    epoch: u64,
    next: u64,
    is_reachable: bool,
    /// When another process last told all changes up to then.
    told: Option<TimeMs>,
    inflow: Inflow,
}

impl Contents {
    /// Returns the position from which to ask for changes.
    pub fn next_position(&self) -> u64 {
        self.next
    }

    /// Returns whether the holder answers.
    pub fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Returns the tokens of the leading parts that are held.
    pub fn leading_tokens(&self, keys: &[PartKey], parts: &[PromptPart]) -> Tokens {
        let held = |(key, part): &(&PartKey, &PromptPart)| {
            let held = self.held.get(*key);
            // Whole blocks are kept, so the last few tokens of a part may be missing.
            held.is_some_and(|held| held.tokens.0 * 2 >= part.tokens.0)
        };
        let leading = keys.iter().zip(parts).take_while(held);
        Tokens(leading.map(|(_, part)| part.tokens.0).sum())
    }

    /// Returns the keys of at most `most` parts, those that came last if there are more.
    pub fn newest(&self, most: usize) -> Vec<PartKey> {
        let mut held: Vec<_> = self.held.iter().collect();
        if held.len() > most {
            held.select_nth_unstable_by_key(most, |(_, held)| u64::MAX - held.change);
            held.truncate(most);
        }
        held.into_iter().map(|(key, _)| *key).collect()
    }

    /// Returns the share of the holder's room that is filled anew before parts are used again.
    pub fn pressure(&self, capacity: Tokens, now: TimeMs) -> f64 {
        self.inflow.pressure(capacity, now)
    }

    /// Records that the holder does not answer; returns whether it did before.
    pub fn mark_unreachable(&mut self) -> bool {
        std::mem::replace(&mut self.is_reachable, false)
    }

    /// Takes over changes.
    pub fn apply(&mut self, page: KvPage, now: TimeMs) {
        if page.epoch != self.epoch || page.incomplete {
            self.held.clear();
        }
        self.epoch = page.epoch;
        self.next = page.next;
        self.is_reachable = true;
        for change in page.changes {
            self.inflow.record(change.tokens, now);
            self.changes += 1;
            let held = Held {
                tokens: change.tokens,
                change: self.changes,
            };
            match change.tokens {
                Tokens(0) => drop(self.held.remove(&change.key)),
                _ => drop(self.held.insert(change.key, held)),
            }
        }
        self.forget_oldest();
    }

    /// Takes over changes that another process has read.
    ///
    /// Changes that do not follow on what is known are of no use; then the holder has to be asked.
    pub fn apply_relayed(&mut self, page: KvPage, now: TimeMs) {
        if !self.is_reachable || page.epoch != self.epoch || page.since > self.next {
            self.told = None;
            return;
        }
        if page.next > self.next {
            self.apply(page, now);
        }
        self.told = Some(now);
    }

    /// Learns that another process gets no answer from the holder, so it is asked at once.
    pub fn mark_stale(&mut self) {
        self.told = None;
    }

    /// Returns whether another process has told all changes until lately.
    pub fn is_fresh(&self, now: TimeMs) -> bool {
        self.told.is_some_and(|told| now.since(told) < TOLD_MS)
    }

    fn forget_oldest(&mut self) {
        if self.held.len() <= MAX_PARTS {
            return;
        }
        let mut changes: Vec<u64> = self.held.values().map(|held| held.change).collect();
        let middle = changes.len() / 2;
        let (_, oldest, _) = changes.select_nth_unstable(middle);
        let oldest = *oldest;
        self.held.retain(|_, held| held.change >= oldest);
    }
}

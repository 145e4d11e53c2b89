//! Index of an engine's prefix cache, updated from numbered events and snapshots.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::BuildHasherDefault;
use std::hash::Hasher;

use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::TimeMs;
use dw_base::WeightsVersion;

use crate::event::Action;
use crate::event::Batch;
use crate::event::Event;
use crate::event::Kind;
use crate::event::Snapshot;

/// Time after which a numbered but unpublished event counts as lost. Publication lags by less than a
/// second. A time-out is needed because the loss of the last event leaves no gap in the numbers.
pub const LOST_TAIL_MS: DurationMs = DurationMs(2_000);

/// Number of recently stored blocks that [`Index::record_reported`] must not drop. It covers the
/// blocks stored between dispatch and first token of a request; 1,024 blocks are 2 million tokens.
const RECENT_BLOCKS: usize = 1_024;

/// Hasher that returns the low half of a block hash, which is already uniformly distributed.
#[derive(Clone, Copy, Debug, Default)]
struct LowHalfHasher(u64);

impl Hasher for LowHalfHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u128(&mut self, value: u128) {
        self.0 = value as u64;
    }
}

/// Predicted warm depth of a chain, with the index state on which the prediction is based.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Prediction {
    /// Number of leading blocks predicted to be cached.
    pub depth: usize,
    seq: u64,
    incarnation: Incarnation,
    weights: WeightsVersion,
}

/// Exact index of one engine's prefix cache.
#[derive(Debug)]
pub struct Index {
    incarnation: Incarnation,
    weights: WeightsVersion,
    applied_seq: u64,
    capacity_blocks: usize,
    synchronised: bool,
    behind_since: Option<TimeMs>,
    blocks: HashSet<u128, BuildHasherDefault<LowHalfHasher>>,
    recently_stored: VecDeque<(u64, u128)>,
}

impl Default for Index {
    fn default() -> Self {
        Self::new()
    }
}

impl Index {
    /// Creates an empty index that needs a snapshot.
    pub fn new() -> Self {
        Index {
            incarnation: Incarnation(0),
            weights: WeightsVersion(0),
            applied_seq: 0,
            capacity_blocks: 0,
            synchronised: false,
            behind_since: None,
            blocks: HashSet::default(),
            recently_stored: VecDeque::new(),
        }
    }

    /// Returns the sequence number of the last applied event, after which the next poll continues.
    pub fn applied_seq(&self) -> u64 {
        self.applied_seq
    }

    /// Returns the incarnation and weights to which the contents belong.
    pub fn generation(&self) -> (Incarnation, WeightsVersion) {
        (self.incarnation, self.weights)
    }

    /// Returns whether no event is known to be missing.
    pub fn is_synchronised(&self) -> bool {
        self.synchronised
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index holds no block.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns whether the index contains a block.
    pub fn contains(&self, hash: BlockHash) -> bool {
        self.blocks.contains(&hash.0)
    }

    /// Returns the number of leading blocks of `chain` that the index contains.
    pub fn warm_depth(&self, chain: &Chain) -> usize {
        chain
            .blocks
            .iter()
            .take_while(|hash| self.contains(**hash))
            .count()
    }

    /// Returns the warm depth together with the index state on which it is based.
    pub fn predict(&self, chain: &Chain) -> Prediction {
        Prediction {
            depth: self.warm_depth(chain),
            seq: self.applied_seq,
            incarnation: self.incarnation,
            weights: self.weights,
        }
    }

    /// Records the engine's incarnation and weights; a change clears the index.
    pub fn observe(&mut self, incarnation: Incarnation, weights: WeightsVersion) -> Option<Action> {
        if incarnation < self.incarnation {
            return None;
        }
        if incarnation == self.incarnation && weights == self.weights {
            return None;
        }
        self.incarnation = incarnation;
        self.weights = weights;
        self.applied_seq = 0;
        self.blocks.clear();
        self.recently_stored.clear();
        Some(self.lose_sync())
    }

    /// Applies the response to a poll.
    pub fn apply_batch(&mut self, batch: &Batch, now: TimeMs) -> Option<Action> {
        if batch.incarnation < self.incarnation {
            return None;
        }
        if let Some(action) = self.observe(batch.incarnation, batch.weights) {
            return Some(action);
        }
        if !self.synchronised {
            return Some(Action::Resync);
        }
        let before = self.applied_seq;
        for event in &batch.events {
            if event.seq <= self.applied_seq {
                continue;
            }
            if event.seq > self.applied_seq + 1 || !self.apply(event) {
                return Some(self.lose_sync());
            }
        }
        if self.applied_seq > before {
            self.behind_since = None;
        }
        self.check_tail(batch.last_seq, now)
    }

    /// Replaces the contents with a snapshot.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot) -> Option<Action> {
        if snapshot.incarnation < self.incarnation {
            return Some(Action::Resync);
        }
        self.observe(snapshot.incarnation, snapshot.weights);
        if snapshot.seq < self.applied_seq {
            // Events newer than the snapshot have already been applied.
            return (!self.synchronised).then_some(Action::Resync);
        }
        self.applied_seq = snapshot.seq;
        self.capacity_blocks = snapshot.capacity_blocks;
        self.blocks.clear();
        self.recently_stored.clear();
        let hashes = snapshot.hashes.iter().take(snapshot.capacity_blocks);
        self.blocks.extend(hashes.map(|hash| hash.0));
        self.synchronised = true;
        self.behind_since = None;
        None
    }

    /// Corrects the index with the number of leading blocks that the engine found in its cache.
    ///
    /// Blocks that were predicted at dispatch but not found are dropped, unless they were stored
    /// since. Blocks that were found but not indexed are added as far as the capacity allows.
    pub fn record_reported(&mut self, chain: &Chain, predicted: Prediction, found: usize) {
        if predicted.incarnation != self.incarnation || predicted.weights != self.weights {
            return;
        }
        let end = predicted.depth.min(chain.blocks.len());
        for hash in chain.blocks.iter().take(end).skip(found) {
            let stored_since =
                |(seq, block): &(u64, u128)| *seq > predicted.seq && *block == hash.0;
            if !self.recently_stored.iter().any(stored_since) {
                self.blocks.remove(&hash.0);
            }
        }
        // If events were applied since, the found blocks may have been evicted in the meantime.
        if predicted.seq == self.applied_seq {
            for hash in chain.blocks.iter().take(found) {
                if self.blocks.len() < self.capacity_blocks {
                    self.blocks.insert(hash.0);
                }
            }
        }
    }

    fn apply(&mut self, event: &Event) -> bool {
        self.applied_seq = event.seq;
        match event.kind {
            Kind::Stored => event.hashes.iter().all(|hash| {
                if self.recently_stored.len() == RECENT_BLOCKS {
                    self.recently_stored.pop_front();
                }
                self.recently_stored.push_back((event.seq, hash.0));
                self.insert(hash.0)
            }),
            Kind::Evicted => {
                for hash in &event.hashes {
                    self.blocks.remove(&hash.0);
                    self.recently_stored.retain(|(_, block)| *block != hash.0);
                }
                true
            }
            Kind::Cleared => {
                self.blocks.clear();
                self.recently_stored.clear();
                true
            }
        }
    }

    /// Returns false if the block does not fit, which means that an eviction event was lost.
    ///
    /// Some engines number a store event before the evictions that made room for it, so the index may
    /// exceed the capacity by [`RECENT_BLOCKS`] until those evictions are applied.
    fn insert(&mut self, block: u128) -> bool {
        if self.blocks.contains(&block) {
            return true;
        }
        self.blocks.len() < self.capacity_blocks + RECENT_BLOCKS && self.blocks.insert(block)
    }

    fn check_tail(&mut self, last_seq: u64, now: TimeMs) -> Option<Action> {
        if self.applied_seq >= last_seq {
            self.behind_since = None;
            let overfull = self.blocks.len() > self.capacity_blocks;
            return overfull.then(|| self.lose_sync());
        }
        let since = *self.behind_since.get_or_insert(now);
        (now.since(since) > LOST_TAIL_MS).then(|| self.lose_sync())
    }

    fn lose_sync(&mut self) -> Action {
        self.synchronised = false;
        self.behind_since = None;
        Action::Resync
    }
}

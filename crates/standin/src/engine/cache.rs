//! The prefix cache: blocks by hash, evicted by recency and by age.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use dw_base::BlockHash;

use crate::engine::audit::Stamp;
use crate::engine::holders::Holders;

#[derive(Debug)]
struct Block {
    stamp: Stamp,
    use_number: u64,
    used_at_ms: f64,
}

/// The prefix cache of one engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    max_age_ms: f64,
    blocks: HashMap<BlockHash, Block>,
    by_use: BTreeMap<u64, BlockHash>,
    next_use: u64,
    holders: Arc<Holders>,
}

impl PrefixCache {
    pub(crate) fn new(capacity_blocks: usize, max_age_ms: f64, holders: Arc<Holders>) -> Self {
        PrefixCache {
            capacity_blocks,
            max_age_ms,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
            holders,
        }
    }

    /// Returns how many blocks of `chain` are cached without a gap from its start.
    pub(crate) fn depth(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count()
    }

    pub(crate) fn stamp(&self, hash: BlockHash) -> Option<&Stamp> {
        self.blocks.get(&hash).map(|block| &block.stamp)
    }

    /// Marks blocks as used; the shallowest counts as the most recent, since deeper blocks need it.
    pub(crate) fn touch(&mut self, chain: &[BlockHash], now_ms: f64) {
        for hash in chain.iter().rev() {
            if let Some(block) = self.blocks.get_mut(hash) {
                self.by_use.remove(&block.use_number);
                block.use_number = self.next_use;
                block.used_at_ms = now_ms;
                self.by_use.insert(self.next_use, *hash);
                self.next_use += 1;
            }
        }
    }

    /// Stores a block; returns whether it is new, and the blocks evicted for it.
    pub(crate) fn store(
        &mut self,
        hash: BlockHash,
        stamp: Stamp,
        now_ms: f64,
    ) -> (bool, Vec<BlockHash>) {
        if self.capacity_blocks == 0 {
            return (false, Vec::new());
        }
        if self.blocks.contains_key(&hash) {
            self.touch(&[hash], now_ms);
            return (false, Vec::new());
        }
        let mut evicted = Vec::new();
        while self.blocks.len() >= self.capacity_blocks {
            evicted.extend(self.evict_oldest());
        }
        self.by_use.insert(self.next_use, hash);
        let block = Block {
            stamp,
            use_number: self.next_use,
            used_at_ms: now_ms,
        };
        self.next_use += 1;
        self.blocks.insert(hash, block);
        self.holders.add(hash);
        (true, evicted)
    }

    fn evict_oldest(&mut self) -> Option<BlockHash> {
        let (_, hash) = self.by_use.pop_first()?;
        self.blocks.remove(&hash);
        self.holders.remove(hash);
        Some(hash)
    }

    /// Evicts the blocks that were not used for the longest allowed time.
    pub(crate) fn expire(&mut self, now_ms: f64) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while let Some((_, hash)) = self.by_use.first_key_value() {
            let used_at_ms = self.blocks.get(hash).map_or(0.0, |block| block.used_at_ms);
            if now_ms - used_at_ms < self.max_age_ms {
                break;
            }
            evicted.extend(self.evict_oldest());
        }
        evicted
    }

    /// Evicts everything.
    pub(crate) fn clear(&mut self) -> Vec<BlockHash> {
        self.by_use.clear();
        let evicted: Vec<BlockHash> = self.blocks.drain().map(|(hash, _)| hash).collect();
        for hash in &evicted {
            self.holders.remove(*hash);
        }
        evicted
    }

    pub(crate) fn hashes(&self) -> Vec<BlockHash> {
        self.by_use.values().copied().collect()
    }
}

impl Drop for PrefixCache {
    fn drop(&mut self) {
        self.clear();
    }
}

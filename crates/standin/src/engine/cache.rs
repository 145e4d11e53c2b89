//! Prefix cache of KV blocks, with least-recently-used and idle-time eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use dw_base::BlockHash;

use crate::engine::audit::BlockOrigin;
use crate::engine::block_registry::BlockRegistry;

#[derive(Debug)]
struct Block {
    origin: BlockOrigin,
    last_use_seq: u64,
    last_used_ms: f64,
}

/// Prefix cache of one engine.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity_blocks: usize,
    max_idle_ms: f64,
    blocks: HashMap<BlockHash, Block>,
    lru_order: BTreeMap<u64, BlockHash>,
    next_use_seq: u64,
    registry: Arc<BlockRegistry>,
}

impl PrefixCache {
    pub(crate) fn new(
        capacity_blocks: usize,
        max_idle_ms: f64,
        registry: Arc<BlockRegistry>,
    ) -> Self {
        PrefixCache {
            capacity_blocks,
            max_idle_ms,
            blocks: HashMap::new(),
            lru_order: BTreeMap::new(),
            next_use_seq: 0,
            registry,
        }
    }

    /// Returns the number of leading blocks of `chain` that are cached.
    pub(crate) fn cached_prefix_len(&self, chain: &[BlockHash]) -> usize {
        chain
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count()
    }

    pub(crate) fn origin(&self, hash: BlockHash) -> Option<&BlockOrigin> {
        self.blocks.get(&hash).map(|block| &block.origin)
    }

    /// Marks blocks as used, the first block last: later blocks of a chain are useless without the
    /// earlier ones, so they must be evicted first.
    pub(crate) fn touch(&mut self, chain: &[BlockHash], now_ms: f64) {
        for hash in chain.iter().rev() {
            if let Some(block) = self.blocks.get_mut(hash) {
                self.lru_order.remove(&block.last_use_seq);
                block.last_use_seq = self.next_use_seq;
                block.last_used_ms = now_ms;
                self.lru_order.insert(self.next_use_seq, *hash);
                self.next_use_seq += 1;
            }
        }
    }

    /// Inserts a block; returns whether it was absent, and the blocks evicted to make room.
    pub(crate) fn insert(
        &mut self,
        hash: BlockHash,
        origin: BlockOrigin,
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
            evicted.extend(self.evict_lru());
        }
        self.lru_order.insert(self.next_use_seq, hash);
        let block = Block {
            origin,
            last_use_seq: self.next_use_seq,
            last_used_ms: now_ms,
        };
        self.next_use_seq += 1;
        self.blocks.insert(hash, block);
        self.registry.add(hash);
        (true, evicted)
    }

    fn evict_lru(&mut self) -> Option<BlockHash> {
        let (_, hash) = self.lru_order.pop_first()?;
        self.blocks.remove(&hash);
        self.registry.remove(hash);
        Some(hash)
    }

    /// Evicts the blocks that were not used for `max_idle_ms`.
    pub(crate) fn evict_expired(&mut self, now_ms: f64) -> Vec<BlockHash> {
        let mut evicted = Vec::new();
        while let Some((_, hash)) = self.lru_order.first_key_value() {
            let last_used_ms = self
                .blocks
                .get(hash)
                .map_or(0.0, |block| block.last_used_ms);
            if now_ms - last_used_ms < self.max_idle_ms {
                break;
            }
            evicted.extend(self.evict_lru());
        }
        evicted
    }

    /// Evicts all blocks and returns their hashes.
    pub(crate) fn clear(&mut self) -> Vec<BlockHash> {
        self.lru_order.clear();
        let evicted: Vec<BlockHash> = self.blocks.drain().map(|(hash, _)| hash).collect();
        for hash in &evicted {
            self.registry.remove(*hash);
        }
        evicted
    }

    pub(crate) fn hashes(&self) -> Vec<BlockHash> {
        self.lru_order.values().copied().collect()
    }
}

impl Drop for PrefixCache {
    fn drop(&mut self) {
        self.clear();
    }
}

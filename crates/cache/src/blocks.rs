//! Bounded table of what an agent knows about individual blocks.

use std::collections::HashMap;

use dw_base::BlockHash;
use dw_base::TimeMs;

/// Maximum number of tracked blocks. At about 96 B each, the table takes 0.8 MB.
pub const MAX_KNOWN_BLOCKS: usize = 8_192;

/// Use count and store state of one block.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BlockState {
    /// Number of requests that used the block.
    pub(crate) uses: u32,
    /// Size in the store; absent if the block is not known to be stored.
    pub(crate) size_bytes: Option<u64>,
    /// When a lookup last found the block absent from the store.
    pub(crate) absent_since: Option<TimeMs>,
    /// Whether the block is queued for export or being exported.
    pub(crate) exporting: bool,
}

/// Block table with two generations; the older one is dropped when the newer one is full.
#[derive(Debug, Default)]
pub(crate) struct BlockTable {
    newer: HashMap<BlockHash, BlockState>,
    older: HashMap<BlockHash, BlockState>,
}

impl BlockTable {
    pub(crate) fn get(&self, hash: BlockHash) -> BlockState {
        let found = self.newer.get(&hash).or_else(|| self.older.get(&hash));
        found.copied().unwrap_or_default()
    }

    /// Returns the entry of a block, after moving it to the newer generation.
    pub(crate) fn entry(&mut self, hash: BlockHash) -> &mut BlockState {
        if !self.newer.contains_key(&hash) && self.newer.len() >= MAX_KNOWN_BLOCKS / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
        let older = &mut self.older;
        let promoted = || older.remove(&hash).unwrap_or_default();
        self.newer.entry(hash).or_insert_with(promoted)
    }

    pub(crate) fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }
}

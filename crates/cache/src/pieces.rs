//! What an agent remembers about single pieces.

use std::collections::HashMap;

use dw_base::BlockHash;
use dw_base::TimeMs;

/// Most pieces that are remembered. At about 96 B each this is 0.8 MB.
pub const MAX_KNOWN_BLOCKS: usize = 8_192;

/// What is known about one piece.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Piece {
    /// Requests that used it.
    pub(crate) uses: u32,
    /// Size in the store; absent if it is not known to be there.
    pub(crate) size_bytes: Option<u64>,
    /// When the store was last found not to have it.
    pub(crate) absent_since: Option<TimeMs>,
    /// Whether it waits for its export or is being exported.
    pub(crate) exporting: bool,
}

/// Bounded memory of pieces in two halves; the older half is dropped when the newer one is full.
#[derive(Debug, Default)]
pub(crate) struct Pieces {
    newer: HashMap<BlockHash, Piece>,
    older: HashMap<BlockHash, Piece>,
}

impl Pieces {
    pub(crate) fn get(&self, hash: BlockHash) -> Piece {
        let found = self.newer.get(&hash).or_else(|| self.older.get(&hash));
        found.copied().unwrap_or_default()
    }

    /// Returns the entry of a piece, which counts as the newest.
    pub(crate) fn entry(&mut self, hash: BlockHash) -> &mut Piece {
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

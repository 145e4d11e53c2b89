//! Which parts of prompts an engine has cached, in few bytes.

use dw_base::PartKey;
use serde::Deserialize;
use serde::Serialize;

/// Parts of prompts that an engine has cached, as two bytes a part.
///
/// They are hints: with 150 parts one of 400 others is taken for one of them, which costs a
/// computation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedParts {
    /// Differences between the hashes in order, which take fewer bytes than the hashes.
    gaps: Vec<u16>,
}

impl CachedParts {
    /// Creates the hints for some parts.
    pub fn new(keys: impl IntoIterator<Item = PartKey>) -> Self {
        let mut hashes: Vec<u16> = keys.into_iter().map(hash).collect();
        hashes.sort_unstable();
        hashes.dedup();
        let mut last = 0;
        let gaps = hashes.into_iter().map(|hash| {
            let gap = hash - last;
            last = hash;
            gap
        });
        CachedParts {
            gaps: gaps.collect(),
        }
    }

    /// Returns the set of the parts.
    pub fn set(&self) -> CachedSet {
        let mut last: u16 = 0;
        let hashes = self.gaps.iter().map(|gap| {
            last = last.wrapping_add(*gap);
            last
        });
        let mut hashes: Vec<u16> = hashes.collect();
        // Gaps from another process may wrap around.
        hashes.sort_unstable();
        CachedSet(hashes)
    }
}

/// Parts of prompts that an engine has told to hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CachedSet(Vec<u16>);

impl CachedSet {
    /// Returns how many leading parts are held.
    pub fn leading(&self, keys: &[PartKey]) -> usize {
        let is_held = |key: &&PartKey| self.0.binary_search(&hash(**key)).is_ok();
        keys.iter().take_while(is_held).count()
    }
}

fn hash(key: PartKey) -> u16 {
    (key.0 >> 16) as u16
}

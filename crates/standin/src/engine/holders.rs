//! Which blocks the engines of a deployment and the KV store hold.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dw_base::BlockHash;

use crate::objects::MemoryObjects;

/// Counts the live engines that hold each block; the engines of a deployment share it.
#[derive(Debug, Default)]
pub struct Holders {
    counts: Mutex<HashMap<BlockHash, usize>>,
    objects: Option<Arc<MemoryObjects>>,
}

impl Holders {
    /// Creates counts for engines whose agents keep blocks in `objects` as `kv/<hash>`.
    pub fn with_store(objects: Arc<MemoryObjects>) -> Self {
        Holders {
            counts: Mutex::default(),
            objects: Some(objects),
        }
    }

    /// Returns whether a live engine or the KV store holds a block.
    pub fn is_held(&self, hash: BlockHash) -> bool {
        let stored = || {
            let objects = self.objects.as_ref();
            objects.is_some_and(|objects| objects.contains(&format!("kv/{hash}")))
        };
        self.counts().contains_key(&hash) || stored()
    }

    pub(crate) fn add(&self, hash: BlockHash) {
        *self.counts().entry(hash).or_insert(0) += 1;
    }

    pub(crate) fn remove(&self, hash: BlockHash) {
        let mut counts = self.counts();
        if let Some(count) = counts.get_mut(&hash) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&hash);
            }
        }
    }

    fn counts(&self) -> MutexGuard<'_, HashMap<BlockHash, usize>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

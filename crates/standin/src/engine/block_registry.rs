//! Registry of the KV blocks held by the engines of a deployment and by the KV store.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dw_base::BlockHash;

use crate::objects::MemoryObjects;

/// Counts the live engines that hold each block; shared by the engines of a deployment.
#[derive(Debug, Default)]
pub struct BlockRegistry {
    counts: Mutex<HashMap<BlockHash, usize>>,
    objects: Option<Arc<MemoryObjects>>,
}

impl BlockRegistry {
    /// Creates a registry that also looks up blocks in `objects`, where agents store them as
    /// `kv/<hash>`.
    pub fn with_kv_store(objects: Arc<MemoryObjects>) -> Self {
        BlockRegistry {
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

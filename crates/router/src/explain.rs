//! Records of recent placements.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use dw_base::BlockHash;
use dw_base::RequestId;
use dw_base::TimeMs;
use dw_place::Decision;
use serde::Serialize;

/// Records kept. At about 2 KiB a record the ring stays below 8 MiB of the 256 MB of a node.
const RECORDS: usize = 4_096;

/// One placement of a request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Placed {
    /// Request.
    pub request_id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// When it was placed.
    pub at: TimeMs,
    /// Where, and why.
    pub decision: Decision,
    /// Block hashes of the prompt.
    #[serde(skip)]
    pub blocks: Vec<BlockHash>,
}

/// Ring of the most recent placements.
#[derive(Debug, Default)]
pub(crate) struct Records(Mutex<VecDeque<Placed>>);

impl Records {
    pub(crate) fn add(&self, placed: Placed) {
        let mut ring = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if ring.len() == RECORDS {
            ring.pop_front();
        }
        ring.push_back(placed);
    }

    /// Returns all attempts of a request, the oldest first.
    pub(crate) fn of(&self, request_id: &RequestId) -> Vec<Placed> {
        let ring = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let same = |placed: &&Placed| placed.request_id == *request_id;
        ring.iter().filter(same).cloned().collect()
    }

    /// Returns the placements of prompts that contain a block, the newest first.
    pub(crate) fn with_block(&self, block: BlockHash) -> Vec<Placed> {
        let ring = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let holds = |placed: &&Placed| placed.blocks.contains(&block);
        ring.iter().rev().filter(holds).cloned().collect()
    }
}

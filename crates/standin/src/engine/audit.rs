//! Counts uses of cached blocks that belong to another organisation, weights or incarnation.

use dw_base::BlockHash;
use serde::Deserialize;
use serde::Serialize;

/// Most crossings described in full.
const MAX_EXAMPLES: usize = 100;

/// Origin of a cached block.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stamp {
    /// Organisation.
    pub user: String,
    /// Weights that computed the block.
    pub weights_version: u64,
    /// Incarnation of the engine that stored it.
    pub incarnation: u64,
}

/// A use of a block by a request of another origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crossing {
    /// Request that used the block.
    pub request_id: String,
    /// Block.
    pub hash: BlockHash,
    /// Origin of the block.
    pub block: Stamp,
    /// Origin that the request required.
    pub request: Stamp,
}

/// Answer of `GET /v1/audit`; it covers all incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Cached blocks that requests have used.
    pub used_blocks: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Computed tokens of whole blocks that a live engine of the deployment or the KV store held when
    /// their computation began.
    pub recomputed_tokens: u64,
    /// Prompt tokens taken from the cache.
    pub cached_tokens: u64,
    /// Uses that crossed organisations.
    pub organisation_crossings: u64,
    /// Uses that crossed weights.
    pub weights_crossings: u64,
    /// Uses that crossed incarnations.
    pub incarnation_crossings: u64,
    /// The first crossings in full.
    pub examples: Vec<Crossing>,
}

impl Audit {
    pub(crate) fn record(&mut self, request_id: &str, hash: BlockHash, block: &Stamp, by: &Stamp) {
        self.used_blocks += 1;
        if block == by {
            return;
        }
        self.organisation_crossings += u64::from(block.user != by.user);
        self.weights_crossings += u64::from(block.weights_version != by.weights_version);
        self.incarnation_crossings += u64::from(block.incarnation != by.incarnation);
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(Crossing {
                request_id: request_id.to_owned(),
                hash,
                block: block.clone(),
                request: by.clone(),
            });
        }
    }
}

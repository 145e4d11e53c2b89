//! Detects requests that use cached blocks of another organisation, weights version or engine
//! incarnation.

use dw_base::BlockHash;
use serde::Deserialize;
use serde::Serialize;

/// Number of violations recorded in full; further ones are only counted.
const MAX_EXAMPLES: usize = 100;

/// What a cached block was computed from: blocks may be shared only between requests with the same
/// origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BlockOrigin {
    /// Organisation whose request computed the block.
    pub user: String,
    /// Version of the weights that computed the block.
    pub weights_version: u64,
    /// Incarnation of the engine that stored the block.
    pub incarnation: u64,
}

/// Use of a cached block by a request with a different origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct IsolationViolation {
    /// Request that used the block.
    pub request_id: String,
    /// Hash of the block.
    pub hash: BlockHash,
    /// Origin of the block.
    pub block: BlockOrigin,
    /// Origin that the request requires.
    pub request: BlockOrigin,
}

/// Response of `GET /v1/audit`, accumulated over all incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Number of times that a request used a cached block.
    pub used_blocks: u64,
    /// Prompt tokens that were computed.
    pub computed_tokens: u64,
    /// Computed prompt tokens in complete blocks that a live engine of the deployment or the KV
    /// store already held when their computation started.
    pub recomputed_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Uses of a block of another organisation.
    pub organisation_crossings: u64,
    /// Uses of a block of another weights version.
    pub weights_crossings: u64,
    /// Uses of a block of another incarnation.
    pub incarnation_crossings: u64,
    /// The first violations in full.
    pub examples: Vec<IsolationViolation>,
}

impl Audit {
    pub(crate) fn record(
        &mut self,
        request_id: &str,
        hash: BlockHash,
        block: &BlockOrigin,
        required: &BlockOrigin,
    ) {
        self.used_blocks += 1;
        if block == required {
            return;
        }
        self.organisation_crossings += u64::from(block.user != required.user);
        self.weights_crossings += u64::from(block.weights_version != required.weights_version);
        self.incarnation_crossings += u64::from(block.incarnation != required.incarnation);
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(IsolationViolation {
                request_id: request_id.to_owned(),
                hash,
                block: block.clone(),
                request: required.clone(),
            });
        }
    }
}

//! Exchange of cache pieces with the KV store.
//!
//! The object store holds one descriptor for each exported piece. A piece is imported when that is
//! cheaper than computing it, and exported when two requests have used it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dw_api::engine::KvBlock;
use dw_api::engine::KvBlocks;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::TimeMs;
use dw_base::TokensPerS;
use dw_base::WeightsVersion;
use dw_base::PIECE_TOKENS;

use crate::shared::lock;
use crate::shared::Shared;

/// Uses after which a piece is exported.
const HOT_USES: u32 = 2;

/// Pieces that are remembered. At 64 B each this is 0.5 MB.
const MAX_KNOWN: usize = 8_192;

/// Time for which an absent descriptor is not looked up again, because the object store sustains
/// about 2,000 reads a second for all agents.
const ABSENT_FOR_MS: DurationMs = DurationMs(10_000);

/// Most descriptors read for one request.
const MAX_LOOKUPS: usize = 8;

/// Longest time that one descriptor is waited for.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);

/// Assumed time of one descriptor read, part of the cost of an import.
const LOOKUP_COST_S: f64 = 0.005;

#[derive(Clone, Copy, Debug, Default)]
struct Known {
    uses: u32,
    size_bytes: Option<u64>,
    absent_since: Option<TimeMs>,
    exporting: bool,
}

/// What the agent remembers about pieces; the whole memory is dropped when it is full.
#[derive(Debug, Default)]
pub(crate) struct KnownPieces {
    pieces: HashMap<BlockHash, Known>,
}

impl KnownPieces {
    fn entry(&mut self, hash: BlockHash) -> &mut Known {
        if self.pieces.len() >= MAX_KNOWN && !self.pieces.contains_key(&hash) {
            self.pieces.clear();
        }
        self.pieces.entry(hash).or_default()
    }
}

/// Imports pieces after the warm depth and returns how many the engine took.
pub(crate) async fn import(shared: &Shared, chain: &Chain, org: &OrgId, depth: usize) -> u64 {
    let weights = shared.upstream().weights;
    let missing = chain.blocks.iter().skip(depth).take(MAX_LOOKUPS);
    let speed = shared.queue.load().0.prefill_tokens_per_s;
    let mut blocks = Vec::new();
    for hash in missing {
        let Some(size_bytes) = find(shared, *hash, org, weights).await else {
            break;
        };
        if !cheaper(size_bytes, shared.settings.import_bytes_per_s, speed) {
            break;
        }
        blocks.push(KvBlock {
            hash: hash.to_string(),
            size_bytes,
        });
    }
    if blocks.is_empty() {
        return 0;
    }
    let blocks = KvBlocks {
        blocks,
        user: org.to_string(),
        weights_version: weights.0,
    };
    match shared.engine.import(&blocks).await {
        Ok(answer) => answer.imported,
        Err(error) => {
            log::warn!("event=kv_import_failed error={:?}", error.to_string());
            0
        }
    }
}

/// Returns whether importing one piece takes less time than computing it.
fn cheaper(size_bytes: u64, import_bytes_per_s: u64, prefill: TokensPerS) -> bool {
    let import_s = LOOKUP_COST_S + size_bytes as f64 / import_bytes_per_s as f64;
    prefill.get() <= 0.0 || import_s < PIECE_TOKENS as f64 / prefill.get()
}

async fn find(
    shared: &Shared,
    hash: BlockHash,
    org: &OrgId,
    weights: WeightsVersion,
) -> Option<u64> {
    let known = *lock(&shared.known).entry(hash);
    let now = shared.clock.now();
    if known.size_bytes.is_some() {
        return known.size_bytes;
    }
    let recently = |since: TimeMs| now.since(since) < ABSENT_FOR_MS;
    if known.absent_since.is_some_and(recently) {
        return None;
    }
    let key = descriptor_key(hash);
    let read = tokio::time::timeout(LOOKUP_TIMEOUT, shared.objects.get(&key)).await;
    let found = match read {
        Ok(Ok(Some(bytes))) => serde_json::from_slice::<KvBlocks>(&bytes).ok(),
        _ => None,
    };
    let size_bytes = found
        .filter(|found| found.user == org.as_str() && found.weights_version == weights.0)
        .and_then(|found| found.blocks.first().map(|block| block.size_bytes));
    let mut known = lock(&shared.known);
    let entry = known.entry(hash);
    entry.size_bytes = size_bytes;
    entry.absent_since = size_bytes.is_none().then_some(now);
    size_bytes
}

/// Counts the use of the pieces of a chain and exports those that have become hot.
pub(crate) fn used(shared: &Arc<Shared>, chain: &Chain) {
    let mut hot = Vec::new();
    let mut known = lock(&shared.known);
    for hash in &chain.blocks {
        let entry = known.entry(*hash);
        entry.uses = entry.uses.saturating_add(1);
        if entry.uses >= HOT_USES && entry.size_bytes.is_none() && !entry.exporting {
            entry.exporting = true;
            hot.push(*hash);
        }
    }
    drop(known);
    if !hot.is_empty() {
        let shared_task = Arc::clone(shared);
        shared.spawn(async move { export(&shared_task, &hot).await });
    }
}

async fn export(shared: &Shared, hashes: &[BlockHash]) {
    let texts = hashes.iter().map(BlockHash::to_string).collect();
    let exported = match shared.engine.export(texts).await {
        Ok(exported) => exported,
        Err(error) => {
            log::warn!("event=kv_export_failed error={:?}", error.to_string());
            KvBlocks {
                blocks: Vec::new(),
                user: String::new(),
                weights_version: 0,
            }
        }
    };
    for block in exported.blocks {
        let Ok(hash) = block.hash.parse::<BlockHash>() else {
            continue;
        };
        let size_bytes = block.size_bytes;
        let descriptor = KvBlocks {
            blocks: vec![block],
            user: exported.user.clone(),
            weights_version: exported.weights_version,
        };
        let Ok(json) = serde_json::to_vec(&descriptor) else {
            continue;
        };
        let created = shared
            .objects
            .create(&descriptor_key(hash), Bytes::from(json))
            .await;
        if created.is_ok() {
            lock(&shared.known).entry(hash).size_bytes = Some(size_bytes);
        }
    }
    let mut known = lock(&shared.known);
    for hash in hashes {
        known.entry(*hash).exporting = false;
    }
}

fn descriptor_key(hash: BlockHash) -> String {
    format!("kv/{hash}")
}

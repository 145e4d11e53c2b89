//! Calls of the KV store that the exchange decides on.
//!
//! The object store holds one description for each exported run of pieces.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dw_api::engine::KvBlock;
use dw_api::engine::KvBlocks;
use dw_api::vms::VmRole;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::OrgId;
use dw_base::WeightsVersion;
use dw_cache::import_is_cheaper;
use dw_cache::Run;
use dw_cache::StoredBlock;
use dw_config::UpstreamKind;
use dw_store::StoreError;
use dw_store::VmSource;

use crate::shared::lock;
use crate::shared::Shared;

/// Most runs looked up for one request. A branch of the tree of prefixes is one run, and there are
/// few levels.
const MAX_LOOKUPS: usize = 8;

/// Longest time that one lookup is waited for.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time that the engine is waited for with an export or import.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two counts of the agents that share the rates of the stores.
const COUNT_EVERY: Duration = Duration::from_secs(30);

/// Time between two looks at the runs that wait for the write allowance.
const EXPORT_EVERY: Duration = Duration::from_millis(100);

/// Imports pieces after the warm depth and returns how many the engine took.
pub(crate) async fn import(shared: &Shared, chain: &Chain, org: &OrgId, depth: usize) -> u64 {
    let weights = shared.upstream().weights;
    let bytes_per_s = shared.settings.import_bytes_per_s;
    let speed = shared.queue.load().0.prefill_tokens_per_s;
    if depth >= chain.blocks.len() || !import_is_cheaper(0, bytes_per_s, speed) {
        return 0;
    }
    look_up(shared, chain, org, weights, depth).await;
    let kept = lock(&shared.exchange).stored_blocks(chain, depth);
    let blocks: Vec<KvBlock> = kept
        .iter()
        .take_while(|piece| import_is_cheaper(piece.size_bytes, bytes_per_s, speed))
        .map(|piece| KvBlock {
            hash: piece.hash.to_string(),
            size_bytes: piece.size_bytes,
        })
        .collect();
    if blocks.is_empty() {
        return 0;
    }
    let blocks = KvBlocks {
        blocks,
        user: org.to_string(),
        weights_version: weights.0,
    };
    match tokio::time::timeout(TRANSFER_TIMEOUT, shared.engine.import(&blocks)).await {
        Ok(Ok(answer)) => {
            shared.metrics.imported_pieces.inc_by(answer.imported);
            answer.imported
        }
        Ok(Err(error)) => {
            log::warn!("event=kv_import_failed error={:?}", error.to_string());
            0
        }
        Err(_) => {
            log::warn!("event=kv_import_timed_out pieces={}", blocks.blocks.len());
            0
        }
    }
}

/// Looks up what may lead to pieces after `depth`; a failure ends the lookups of the request.
async fn look_up(
    shared: &Shared,
    chain: &Chain,
    org: &OrgId,
    weights: WeightsVersion,
    depth: usize,
) {
    for _ in 0..MAX_LOOKUPS {
        let now = shared.clock.now();
        let next = lock(&shared.exchange).next_lookup(chain, depth, now);
        let Some(hash) = next else {
            return;
        };
        let Some(found) = read(shared, hash).await else {
            return;
        };
        let found = found.filter(|found| found.user == org.as_str());
        let found = found.filter(|found| found.weights_version == weights.0);
        let kept = found.map_or_else(Vec::new, |found| kept_of(&found.blocks));
        let now = shared.clock.now();
        lock(&shared.exchange).record_lookup(hash, &kept, now);
    }
}

/// Reads one description; returns `None` without an answer of the store.
async fn read(shared: &Shared, hash: BlockHash) -> Option<Option<KvBlocks>> {
    shared.metrics.kv_lookups.inc();
    let key = object_key(hash);
    let read = tokio::time::timeout(LOOKUP_TIMEOUT, shared.objects.get(&key)).await;
    match read {
        Ok(Ok(found)) => Some(found.and_then(|bytes| serde_json::from_slice(&bytes).ok())),
        Ok(Err(error)) => {
            failed(shared, "kv_lookup_failed", &error);
            None
        }
        Err(_) => {
            log::warn!("event=kv_lookup_timed_out");
            lock(&shared.exchange).record_failure(shared.clock.now());
            None
        }
    }
}

fn failed(shared: &Shared, event: &str, error: &StoreError) {
    // The rate limit of this node says nothing about the store.
    if matches!(error, StoreError::RateLimited { .. }) {
        return;
    }
    log::warn!("event={event} error={:?}", error.to_string());
    lock(&shared.exchange).record_failure(shared.clock.now());
}

/// Counts the use of a prompt that the engine has computed, and exports what is due.
pub(crate) fn computed(shared: &Arc<Shared>, chain: &Chain) {
    let now = shared.clock.now();
    lock(&shared.exchange).record_use(chain, now);
    export_due(shared);
}

fn export_due(shared: &Arc<Shared>) {
    loop {
        let now = shared.clock.now();
        let due = lock(&shared.exchange).next_export(now);
        let Some(run) = due else {
            return;
        };
        let task_shared = Arc::clone(shared);
        shared.spawn(async move { export(&task_shared, run).await });
    }
}

async fn export(shared: &Shared, run: Run) {
    let (kept, description) = from_engine(shared, &run).await;
    let first = kept.first().map(|piece| piece.hash);
    let (Some(first), Some(description)) = (first, description) else {
        lock(&shared.exchange).record_export(&run, &[]);
        return;
    };
    match shared.objects.create(&object_key(first), description).await {
        Ok(true) => {
            shared.metrics.exported_pieces.inc_by(kept.len() as u64);
            let mut exchange = lock(&shared.exchange);
            exchange.record_success();
            exchange.record_export(&run, &kept);
        }
        // Another agent has described a run from this piece on, which may branch off earlier.
        Ok(false) => {
            lock(&shared.exchange).record_export(&run, &[]);
            if let Some(found) = read(shared, first).await {
                let kept = found.map_or_else(Vec::new, |found| kept_of(&found.blocks));
                let now = shared.clock.now();
                lock(&shared.exchange).record_lookup(first, &kept, now);
            }
        }
        Err(error) => {
            lock(&shared.exchange).record_export(&run, &[]);
            failed(shared, "kv_export_failed", &error);
        }
    }
}

/// Exports a run from the engine; returns the pieces from its start on, and their description.
async fn from_engine(shared: &Shared, run: &Run) -> (Vec<StoredBlock>, Option<Bytes>) {
    let texts = run.hashes.iter().map(BlockHash::to_string).collect();
    let exported = tokio::time::timeout(TRANSFER_TIMEOUT, shared.engine.export(texts)).await;
    let exported = match exported {
        Ok(Ok(exported)) => exported,
        Ok(Err(error)) => {
            log::warn!("event=kv_export_failed error={:?}", error.to_string());
            return (Vec::new(), None);
        }
        Err(_) => {
            log::warn!("event=kv_export_timed_out pieces={}", run.hashes.len());
            return (Vec::new(), None);
        }
    };
    // The engine may have evicted some pieces meanwhile, and a run has no gaps.
    let in_order = exported.blocks.into_iter().zip(&run.hashes);
    let blocks: Vec<KvBlock> = in_order
        .take_while(|(block, hash)| block.hash == hash.to_string())
        .map(|(block, _)| block)
        .collect();
    let kept = kept_of(&blocks);
    let description = KvBlocks {
        blocks,
        user: exported.user,
        weights_version: exported.weights_version,
    };
    let json = serde_json::to_vec(&description).ok();
    (kept, json.map(Bytes::from))
}

fn kept_of(blocks: &[KvBlock]) -> Vec<StoredBlock> {
    let kept = blocks.iter().map_while(|block| {
        Some(StoredBlock {
            hash: block.hash.parse().ok()?,
            size_bytes: block.size_bytes,
        })
    });
    kept.collect()
}

fn object_key(hash: BlockHash) -> String {
    format!("kv/{hash}")
}

/// Exports runs that waited for the write allowance, for ever.
pub(crate) async fn export_waiting(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPORT_EVERY).await;
        export_due(&shared);
    }
}

/// Divides the rates of the stores among the agents that exist, for ever.
pub(crate) async fn count_agents(shared: Arc<Shared>, vms: Option<Arc<dyn VmSource>>) {
    loop {
        let agents = match &vms {
            Some(vms) => listed_agents(vms.as_ref()).await,
            None => None,
        };
        // Without a list, each declared engine is taken to have an agent.
        let agents = agents.unwrap_or_else(|| declared_engines(&shared));
        let now = shared.clock.now();
        lock(&shared.exchange).set_agent_count(agents, now);
        tokio::time::sleep(COUNT_EVERY).await;
    }
}

async fn listed_agents(vms: &dyn VmSource) -> Option<usize> {
    let list = vms.vms().await.ok()?;
    let agents = list.vms.iter().filter(|vm| vm.role == VmRole::Agent);
    Some(agents.count()).filter(|count| *count > 0)
}

fn declared_engines(shared: &Shared) -> usize {
    let config = shared.config();
    let engines = config.upstreams();
    engines
        .filter(|upstream| upstream.kind == UpstreamKind::Engine)
        .count()
}

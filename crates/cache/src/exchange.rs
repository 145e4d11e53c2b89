//! Decides which blocks to export to the KV store and which runs to look up there.
//!
//! One stored object describes a run of consecutive blocks of a chain, under the hash of the first
//! block as its key. A run starts at the first block that no other run describes, so the objects
//! form a tree in which finding a chain takes one read per branch instead of one per block.

use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::TokensPerS;
use dw_base::BLOCK_TOKENS;

use crate::allowance::Allowance;
use crate::blocks::BlockTable;
use crate::breaker::Breaker;

/// Maximum writes per second of all agents together. The platform's stores sustain several hundred;
/// the rest is for outcome records and the configuration.
pub const EXPORTS_PER_S: f64 = 200.0;

/// Maximum reads per second of all agents together: half of what the platform's stores sustain.
pub const LOOKUPS_PER_S: f64 = 1_000.0;

/// Time before a run that was not found is looked up again.
pub const NEGATIVE_LOOKUP_TTL_MS: DurationMs = DurationMs(10_000);

/// Number of uses from which a block counts as hot and may use the whole write allowance.
const HOT_USES: u32 = 2;

/// Fraction of the write allowance that is reserved for hot blocks.
const HOT_RESERVE: f64 = 0.5;

/// Maximum blocks in one run. One block takes about 70 B in the stored object, so a run takes 4 KB.
const MAX_RUN_BLOCKS: usize = 64;

/// Maximum number of runs in the export queue; the lowest-ranked are dropped.
pub const MAX_WAITING_RUNS: usize = 64;

/// Maximum time that a hot run stays queued; engines evict cached blocks within seconds.
const MAX_WAIT_MS: DurationMs = DurationMs(5_000);

/// Assumed duration of one lookup, added to the cost of an import.
const LOOKUP_COST_S: f64 = 0.005;

/// A block in the KV store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredBlock {
    /// Hash of the block.
    pub hash: BlockHash,
    /// Size in the store.
    pub size_bytes: u64,
}

/// Consecutive blocks of one chain to export.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Block hashes in chain order.
    pub hashes: Vec<BlockHash>,
    /// Position of the first block in its chain.
    pub depth: usize,
    /// Whether all blocks were used at least twice.
    pub hot: bool,
    queued_at: TimeMs,
}

impl Run {
    /// Returns the sort key for export: hot runs first, then by depth.
    fn rank(&self) -> (bool, usize) {
        (!self.hot, self.depth)
    }
}

/// State of an agent's exports to and lookups in the KV store.
#[derive(Debug)]
pub struct Exchange {
    blocks: BlockTable,
    queue: Vec<Run>,
    writes: Allowance,
    reads: Allowance,
    breaker: Breaker,
    agent_count: usize,
}

impl Exchange {
    /// Creates the state of the only agent of a deployment.
    pub fn new(now: TimeMs) -> Self {
        Exchange {
            blocks: BlockTable::default(),
            queue: Vec::new(),
            writes: Allowance::new(EXPORTS_PER_S, now),
            reads: Allowance::new(LOOKUPS_PER_S, now),
            breaker: Breaker::default(),
            agent_count: 1,
        }
    }

    /// Divides the rate limits equally among `agent_count` agents.
    pub fn set_agent_count(&mut self, agent_count: usize, now: TimeMs) {
        self.agent_count = agent_count;
        self.writes.set_agent_count(agent_count, now);
        self.reads.set_agent_count(agent_count, now);
    }

    /// Returns the number of agents that share the rate limits.
    pub fn agent_count(&self) -> usize {
        self.agent_count
    }

    /// Returns the number of tracked blocks.
    pub fn known_blocks(&self) -> usize {
        self.blocks.len()
    }

    /// Returns the number of runs in the export queue.
    pub fn waiting_runs(&self) -> usize {
        self.queue.len()
    }

    /// Counts a use of each block of a chain that the engine has cached, and queues for export the
    /// blocks that are not known to be in the store.
    pub fn record_use(&mut self, chain: &Chain, now: TimeMs) {
        let mut run: Option<Run> = None;
        for (depth, hash) in chain.blocks.iter().enumerate() {
            let block = self.blocks.entry(*hash);
            block.uses = block.uses.saturating_add(1);
            if block.size_bytes.is_some() || block.exporting {
                self.queue.extend(run.take());
                continue;
            }
            block.exporting = true;
            let hot = block.uses >= HOT_USES;
            let fits = |run: &&mut Run| run.hot == hot && run.hashes.len() < MAX_RUN_BLOCKS;
            if let Some(run) = run.as_mut().filter(fits) {
                run.hashes.push(*hash);
                continue;
            }
            let next = Run {
                hashes: vec![*hash],
                depth,
                hot,
                queued_at: now,
            };
            self.queue.extend(run.replace(next));
        }
        self.queue.extend(run);
        self.queue.sort_by_key(Run::rank);
        let retained = self.queue.len().min(MAX_WAITING_RUNS);
        let dropped = self.queue.split_off(retained);
        self.clear_exporting(dropped.iter());
    }

    /// Returns the next run to export, if the write allowance permits one.
    ///
    /// Cold runs that the allowance does not permit now are dropped; a second use queues them again.
    pub fn next_export(&mut self, now: TimeMs) -> Option<Run> {
        let fresh = |run: &Run| now.since(run.queued_at) <= MAX_WAIT_MS;
        self.retain_queued(fresh);
        let run = self.queue.first()?;
        let reserve = if run.hot { 0.0 } else { HOT_RESERVE };
        if !self.breaker.is_open(now)
            && self.writes.try_take(reserve, now)
            && self.breaker.try_acquire(now)
        {
            return Some(self.queue.remove(0));
        }
        self.retain_queued(|run| run.hot);
        None
    }

    /// Records the leading blocks of a run that are in the store after its export.
    pub fn record_export(&mut self, run: &Run, stored: &[StoredBlock]) {
        self.clear_exporting([run].into_iter());
        self.record_stored(stored);
    }

    /// Returns the key of the next run to look up for importing the blocks from `depth` on, if the
    /// read allowance and the circuit breaker permit a lookup.
    pub fn next_lookup(&mut self, chain: &Chain, depth: usize, now: TimeMs) -> Option<BlockHash> {
        let hash = self.next_unknown(chain, depth, now)?;
        let permitted = !self.breaker.is_open(now)
            && self.reads.try_take(0.0, now)
            && self.breaker.try_acquire(now);
        permitted.then_some(hash)
    }

    /// Records the blocks of a run that was looked up; `stored` is empty if the run was not found.
    pub fn record_lookup(&mut self, key: BlockHash, stored: &[StoredBlock], now: TimeMs) {
        self.breaker.record_success();
        let found = stored.first().is_some_and(|block| block.hash == key);
        if found {
            self.record_stored(stored);
        } else {
            self.blocks.entry(key).absent_since = Some(now);
        }
    }

    /// Records that the store answered a write.
    pub fn record_success(&mut self) {
        self.breaker.record_success();
    }

    /// Records that the store did not answer, which opens the circuit breaker.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.breaker.record_failure(now);
    }

    /// Returns the contiguous blocks from `depth` on that are known to be in the store.
    pub fn stored_blocks(&self, chain: &Chain, depth: usize) -> Vec<StoredBlock> {
        let blocks = chain.blocks.iter().skip(depth).map_while(|hash| {
            let size_bytes = self.blocks.get(*hash).size_bytes?;
            Some(StoredBlock {
                hash: *hash,
                size_bytes,
            })
        });
        blocks.collect()
    }

    /// Returns the key of the next run to look up: the first block that is neither known to be stored
    /// nor recently found absent. If a run before `depth` is absent, one may still start at `depth`.
    fn next_unknown(&self, chain: &Chain, depth: usize, now: TimeMs) -> Option<BlockHash> {
        let mut position = 0;
        while let Some(hash) = chain.blocks.get(position) {
            let block = self.blocks.get(*hash);
            let recently = |since| now.since(since) < NEGATIVE_LOOKUP_TTL_MS;
            if block.size_bytes.is_some() {
                position += 1;
            } else if !block.absent_since.is_some_and(recently) {
                return Some(*hash);
            } else if position < depth {
                position = depth;
            } else {
                return None;
            }
        }
        None
    }

    fn record_stored(&mut self, stored: &[StoredBlock]) {
        for block in stored.iter().take(MAX_RUN_BLOCKS) {
            let entry = self.blocks.entry(block.hash);
            entry.size_bytes = Some(block.size_bytes);
            entry.absent_since = None;
        }
    }

    fn retain_queued(&mut self, keep: impl Fn(&Run) -> bool) {
        let (retained, dropped): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.queue).into_iter().partition(keep);
        self.queue = retained;
        self.clear_exporting(dropped.iter());
    }

    fn clear_exporting<'a>(&mut self, runs: impl Iterator<Item = &'a Run>) {
        for hash in runs.flat_map(|run| &run.hashes) {
            self.blocks.entry(*hash).exporting = false;
        }
    }
}

/// Returns whether importing a block takes less time than computing it.
pub fn import_is_cheaper(size_bytes: u64, import_bytes_per_s: u64, prefill: TokensPerS) -> bool {
    let import_s = LOOKUP_COST_S + size_bytes as f64 / import_bytes_per_s.max(1) as f64;
    prefill.get() <= 0.0 || import_s < BLOCK_TOKENS as f64 / prefill.get()
}

//! Decides which pieces are exported to the KV store and what is looked up there.
//!
//! One object describes a run of consecutive pieces of a chain and has the hash of the first piece
//! as its key. A run starts at the first piece that no other run describes, so the objects form a
//! tree in which a chain is found by one read for each branch, not for each piece.

use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::TokensPerS;
use dw_base::BLOCK_TOKENS;

use crate::allowance::Allowance;
use crate::breaker::Breaker;
use crate::pieces::Pieces;

/// Writes per second of all agents together. The platform's stores sustain several hundred, and
/// outcome records and the configuration need the rest.
pub const EXPORTS_PER_S: f64 = 200.0;

/// Reads per second of all agents together, half of what the platform's stores sustain.
pub const LOOKUPS_PER_S: f64 = 1_000.0;

/// Time for which an absent run is not looked up again.
pub const NEGATIVE_LOOKUP_TTL_MS: DurationMs = DurationMs(10_000);

/// Uses after which a piece may use the whole write allowance.
const HOT_USES: u32 = 2;

/// Part of the write allowance that pieces used once leave to those used twice.
const HOT_RESERVE: f64 = 0.5;

/// Most pieces in one run. A description of one piece has about 70 B, so that of a run has 4 KB.
const MAX_RUN_PIECES: usize = 64;

/// Most runs that wait for the write allowance; the lowest in rank are dropped.
pub const MAX_WAITING_RUNS: usize = 64;

/// Longest wait of a hot run, because engines evict cached blocks within seconds.
const MAX_WAIT_MS: DurationMs = DurationMs(5_000);

/// Assumed time of one lookup, part of the cost of an import.
const LOOKUP_COST_S: f64 = 0.005;

/// A piece in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredBlock {
    /// Hash.
    pub hash: BlockHash,
    /// Size.
    pub size_bytes: u64,
}

/// Consecutive pieces of one chain to export.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Pieces, the shallowest first.
    pub hashes: Vec<BlockHash>,
    /// Position of the first piece in its chain.
    pub depth: usize,
    /// Whether all pieces were used at least twice.
    pub hot: bool,
    since: TimeMs,
}

impl Run {
    /// Returns the order of export: hot runs first, then shallow ones.
    fn rank(&self) -> (bool, usize) {
        (!self.hot, self.depth)
    }
}

/// The agent's side of the exchange with the KV store.
#[derive(Debug)]
pub struct Exchange {
    pieces: Pieces,
    waiting: Vec<Run>,
    writes: Allowance,
    reads: Allowance,
    breaker: Breaker,
    agents: usize,
}

impl Exchange {
    /// Creates the state of the only agent of a deployment.
    pub fn new(now: TimeMs) -> Self {
        Exchange {
            pieces: Pieces::default(),
            waiting: Vec::new(),
            writes: Allowance::new(EXPORTS_PER_S, now),
            reads: Allowance::new(LOOKUPS_PER_S, now),
            breaker: Breaker::default(),
            agents: 1,
        }
    }

    /// Divides the rates among `agents`.
    pub fn set_agent_count(&mut self, agents: usize, now: TimeMs) {
        self.agents = agents;
        self.writes.share(agents, now);
        self.reads.share(agents, now);
    }

    /// Returns among how many agents the rates are divided.
    pub fn agent_count(&self) -> usize {
        self.agents
    }

    /// Returns how many pieces are remembered.
    pub fn known_blocks(&self) -> usize {
        self.pieces.len()
    }

    /// Returns how many runs wait for their export.
    pub fn waiting_runs(&self) -> usize {
        self.waiting.len()
    }

    /// Counts a use of each piece of a chain, all of which the engine has cached now, and lets
    /// those wait for export that the store is not known to have.
    pub fn record_use(&mut self, chain: &Chain, now: TimeMs) {
        let mut run: Option<Run> = None;
        for (depth, hash) in chain.blocks.iter().enumerate() {
            let piece = self.pieces.entry(*hash);
            piece.uses = piece.uses.saturating_add(1);
            if piece.size_bytes.is_some() || piece.exporting {
                self.waiting.extend(run.take());
                continue;
            }
            piece.exporting = true;
            let hot = piece.uses >= HOT_USES;
            let fits = |run: &&mut Run| run.hot == hot && run.hashes.len() < MAX_RUN_PIECES;
            if let Some(run) = run.as_mut().filter(fits) {
                run.hashes.push(*hash);
                continue;
            }
            let next = Run {
                hashes: vec![*hash],
                depth,
                hot,
                since: now,
            };
            self.waiting.extend(run.replace(next));
        }
        self.waiting.extend(run);
        self.waiting.sort_by_key(Run::rank);
        let kept = self.waiting.len().min(MAX_WAITING_RUNS);
        let dropped = self.waiting.split_off(kept);
        self.release(dropped.iter());
    }

    /// Returns the next run to export, if the allowance permits one.
    ///
    /// Runs used once that it does not permit now are dropped until their second use.
    pub fn next_export(&mut self, now: TimeMs) -> Option<Run> {
        let fresh = |run: &Run| now.since(run.since) <= MAX_WAIT_MS;
        self.drop_waiting(fresh);
        let run = self.waiting.first()?;
        let reserve = if run.hot { 0.0 } else { HOT_RESERVE };
        if !self.breaker.is_open(now) && self.writes.take(reserve, now) && self.breaker.allow(now) {
            return Some(self.waiting.remove(0));
        }
        self.drop_waiting(|run| run.hot);
        None
    }

    /// Learns which pieces of a run are in the store now; they are its first ones.
    pub fn record_export(&mut self, run: &Run, kept: &[StoredBlock]) {
        self.release([run].into_iter());
        self.learn(kept);
    }

    /// Returns the run to look up next in order to import pieces after `depth`.
    pub fn next_lookup(&mut self, chain: &Chain, depth: usize, now: TimeMs) -> Option<BlockHash> {
        let hash = self.unknown(chain, depth, now)?;
        let permitted =
            !self.breaker.is_open(now) && self.reads.take(0.0, now) && self.breaker.allow(now);
        permitted.then_some(hash)
    }

    /// Learns the content of the run that was looked up; an absent run has none.
    pub fn record_lookup(&mut self, asked: BlockHash, kept: &[StoredBlock], now: TimeMs) {
        self.breaker.succeeded();
        let is_there = kept.first().is_some_and(|piece| piece.hash == asked);
        if is_there {
            self.learn(kept);
        } else {
            self.pieces.entry(asked).absent_since = Some(now);
        }
    }

    /// Notes that the store answered a write.
    pub fn record_success(&mut self) {
        self.breaker.succeeded();
    }

    /// Notes that the store did not answer.
    pub fn record_failure(&mut self, now: TimeMs) {
        self.breaker.failed(now);
    }

    /// Returns the pieces from `depth` on that the store is known to have without a gap.
    pub fn stored_blocks(&self, chain: &Chain, depth: usize) -> Vec<StoredBlock> {
        let pieces = chain.blocks.iter().skip(depth).map_while(|hash| {
            let size_bytes = self.pieces.get(*hash).size_bytes?;
            Some(StoredBlock {
                hash: *hash,
                size_bytes,
            })
        });
        pieces.collect()
    }

    /// Returns the first piece of the next run that is not known. The runs above `depth` lead to
    /// it; if they end early, a run may still start at `depth`.
    fn unknown(&self, chain: &Chain, depth: usize, now: TimeMs) -> Option<BlockHash> {
        let mut position = 0;
        while let Some(hash) = chain.blocks.get(position) {
            let piece = self.pieces.get(*hash);
            let recently = |since| now.since(since) < NEGATIVE_LOOKUP_TTL_MS;
            if piece.size_bytes.is_some() {
                position += 1;
            } else if !piece.absent_since.is_some_and(recently) {
                return Some(*hash);
            } else if position < depth {
                position = depth;
            } else {
                return None;
            }
        }
        None
    }

    fn learn(&mut self, kept: &[StoredBlock]) {
        for piece in kept.iter().take(MAX_RUN_PIECES) {
            let entry = self.pieces.entry(piece.hash);
            entry.size_bytes = Some(piece.size_bytes);
            entry.absent_since = None;
        }
    }

    fn drop_waiting(&mut self, keep: impl Fn(&Run) -> bool) {
        let (kept, dropped): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(keep);
        self.waiting = kept;
        self.release(dropped.iter());
    }

    fn release<'a>(&mut self, runs: impl Iterator<Item = &'a Run>) {
        for hash in runs.flat_map(|run| &run.hashes) {
            self.pieces.entry(*hash).exporting = false;
        }
    }
}

/// Returns whether importing a piece takes less time than computing it.
pub fn import_is_cheaper(size_bytes: u64, import_bytes_per_s: u64, prefill: TokensPerS) -> bool {
    let import_s = LOOKUP_COST_S + size_bytes as f64 / import_bytes_per_s.max(1) as f64;
    prefill.get() <= 0.0 || import_s < BLOCK_TOKENS as f64 / prefill.get()
}

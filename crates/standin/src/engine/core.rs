//! The engine's batch as a state machine that advances in steps of one token.

use std::collections::BTreeMap;
use std::sync::Arc;

use dw_api::engine::CacheEventKind;
use dw_api::engine::EngineRole;
use dw_api::engine::GenerateRequest;
use dw_api::engine::LoadReport;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::BLOCK_TOKENS;
use tokio::sync::watch;

use crate::engine::audit::Audit;
use crate::engine::audit::Stamp;
use crate::engine::cache::PrefixCache;
use crate::engine::events::EventLog;
use crate::engine::generation::Ended;
use crate::engine::generation::Generation;
use crate::engine::generation::Phase;
use crate::engine::generation::Progress;
use crate::engine::generation::Started;
use crate::engine::holders::Holders;
use crate::engine::settings::EngineFaults;
use crate::engine::settings::EngineSettings;

/// State of one engine; times are milliseconds on the engine's clock.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: EngineFaults,
    pub(crate) incarnation: u64,
    pub(crate) model: String,
    pub(crate) weights_version: u64,
    pub(crate) role: EngineRole,
    pub(crate) loading: bool,
    pub(crate) fence: u64,
    pub(crate) adapters: Vec<String>,
    pub(crate) cache: PrefixCache,
    pub(crate) events: EventLog,
    pub(crate) audit: Audit,
    /// Request ids of all accepted generations of all incarnations.
    pub(crate) accepted: Vec<String>,
    generations: BTreeMap<String, Generation>,
    arrivals: u64,
    holders: Arc<Holders>,
}

impl Core {
    pub(crate) fn new(settings: EngineSettings, holders: Arc<Holders>) -> Self {
        Core {
            faults: EngineFaults::default(),
            incarnation: settings.incarnation,
            model: settings.model.clone(),
            weights_version: settings.weights_version,
            role: EngineRole::Serve,
            loading: false,
            fence: 0,
            adapters: Vec::new(),
            cache: PrefixCache::new(
                settings.cache_blocks,
                settings.cache_age_ms,
                Arc::clone(&holders),
            ),
            events: EventLog::new(settings.seed),
            audit: Audit::default(),
            accepted: Vec::new(),
            generations: BTreeMap::new(),
            arrivals: 0,
            holders,
            settings,
        }
    }

    /// Comes back empty with a greater incarnation; the audit covers all incarnations.
    pub(crate) fn crash(&mut self, now_ms: f64) {
        for generation in self.generations.values_mut() {
            generation.end(Ended::Crashed, now_ms);
        }
        let mut settings = self.settings.clone();
        settings.incarnation = self.incarnation + 1;
        let mut fresh = Core::new(settings, Arc::clone(&self.holders));
        fresh.faults = self.faults.clone();
        fresh.audit = std::mem::take(&mut self.audit);
        fresh.accepted = std::mem::take(&mut self.accepted);
        *self = fresh;
    }

    fn stamp(&self, user: &str) -> Stamp {
        Stamp {
            user: user.to_owned(),
            weights_version: self.weights_version,
            incarnation: self.incarnation,
        }
    }

    pub(crate) fn is_active(&self, request_id: &str) -> bool {
        self.generations
            .get(request_id)
            .is_some_and(|generation| !matches!(generation.phase, Phase::Ended { .. }))
    }

    pub(crate) fn queued(&self) -> impl Iterator<Item = &Generation> {
        self.generations
            .values()
            .filter(|generation| generation.phase == Phase::Queued)
    }

    /// Puts a new generation into the queue.
    pub(crate) fn submit(
        &mut self,
        request: GenerateRequest,
        root: BlockHash,
    ) -> watch::Receiver<Progress> {
        let (progress, reader) = watch::channel(Progress::default());
        let generation = Generation {
            chain: Chain::from_root(root, request.prompt.as_bytes()),
            stamp: self.stamp(&request.user),
            number: self.arrivals,
            phase: Phase::Queued,
            cached_tokens: 0,
            stored_blocks: 0,
            progress,
            request,
        };
        self.arrivals += 1;
        self.accepted.push(generation.request.request_id.clone());
        self.generations
            .insert(generation.request.request_id.clone(), generation);
        reader
    }

    /// Returns a reader of a generation; a cancelled one goes back into the queue.
    ///
    /// A cancelled generation cannot be resumed after the weights have changed.
    pub(crate) fn resume(&mut self, request_id: &str) -> Option<watch::Receiver<Progress>> {
        let stamp_of = |user: &str| Stamp {
            user: user.to_owned(),
            weights_version: self.weights_version,
            incarnation: self.incarnation,
        };
        let generation = self.generations.get_mut(request_id)?;
        let cancelled = generation.progress.borrow().ended == Some(Ended::Cancelled);
        if cancelled {
            let stamp = stamp_of(&generation.request.user);
            // Other weights would continue the answer with text of another model version.
            if self.loading || stamp != generation.stamp {
                return None;
            }
            generation.phase = Phase::Queued;
            generation.number = self.arrivals;
            self.arrivals += 1;
            generation
                .progress
                .send_modify(|progress| progress.ended = None);
        }
        Some(generation.progress.subscribe())
    }

    /// Cancels a generation; returns its tokens so far and whether it was queued or running.
    pub(crate) fn cancel(&mut self, request_id: &str, now_ms: f64) -> Option<(u64, bool)> {
        let generation = self.generations.get_mut(request_id)?;
        let active = !matches!(generation.phase, Phase::Ended { .. });
        if active {
            generation.end(Ended::Cancelled, now_ms);
        }
        Some((generation.tokens(), active))
    }

    pub(crate) fn has_work(&self) -> bool {
        self.generations
            .values()
            .any(|generation| !matches!(generation.phase, Phase::Ended { .. }))
    }

    /// Advances the batch by the time of one token.
    pub(crate) fn step(&mut self, now_ms: f64) {
        self.housekeep(now_ms);
        if self.faults.paused {
            return;
        }
        self.admit(now_ms);
        self.decode(now_ms);
        self.prefill(now_ms);
    }

    /// Evicts old blocks and forgets generations that ended long ago.
    pub(crate) fn housekeep(&mut self, now_ms: f64) {
        let evicted = self.cache.expire(now_ms);
        self.emit(CacheEventKind::Evicted, &evicted, now_ms);
        let retain_ms = self.settings.retain_ms;
        self.generations
            .retain(|_, generation| match generation.phase {
                Phase::Ended { at_ms } => now_ms - at_ms < retain_ms,
                _ => true,
            });
    }

    fn admit(&mut self, now_ms: f64) {
        let running = self.generations.values().filter(|g| g.is_running()).count();
        let mut waiting: Vec<(u64, u64, String)> = self
            .queued()
            .map(|g| (g.request.priority, g.number, g.request.request_id.clone()))
            .collect();
        waiting.sort_unstable();
        let free = self.settings.max_batch.saturating_sub(running);
        for (_, _, request_id) in waiting.into_iter().take(free) {
            self.begin_prefill(&request_id, now_ms);
        }
    }

    fn begin_prefill(&mut self, request_id: &str, now_ms: f64) {
        let Some(generation) = self.generations.get_mut(request_id) else {
            return;
        };
        let depth = self.cache.depth(&generation.chain.blocks);
        let hit = &generation.chain.blocks[..depth];
        for hash in hit {
            if let Some(stamp) = self.cache.stamp(*hash) {
                self.audit
                    .record(request_id, *hash, stamp, &generation.stamp);
            }
        }
        self.cache.touch(hit, now_ms);
        let left = generation.chain.uncached_tokens(depth).0;
        generation.cached_tokens = generation.chain.prompt_tokens.0 - left;
        generation.stored_blocks = depth;
        generation.phase = Phase::Prefill {
            left_tokens: left as f64,
        };
        self.audit.cached_tokens += generation.cached_tokens;
        self.audit.computed_tokens += left;
        let first = generation.chain.blocks.get(depth).copied();
        self.count_recomputed(first);
    }

    /// Counts the tokens of a block whose computation begins although the block is held somewhere.
    fn count_recomputed(&mut self, block: Option<BlockHash>) {
        if block.is_some_and(|hash| self.holders.is_held(hash)) {
            self.audit.recomputed_tokens += BLOCK_TOKENS;
        }
    }

    fn decode(&mut self, now_ms: f64) {
        for generation in self.generations.values_mut() {
            if generation.phase != Phase::Decode {
                continue;
            }
            let wanted = generation.request.max_tokens;
            if generation.tokens() < wanted {
                generation
                    .progress
                    .send_modify(|progress| progress.tokens += 1);
            }
            if generation.tokens() >= wanted {
                generation.end(Ended::Finished, now_ms);
            }
        }
    }

    /// Gives the prefill speed to the most urgent class first, in equal shares within a class.
    fn prefill(&mut self, now_ms: f64) {
        let step_s = self.settings.decode_ms_per_token / 1000.0;
        let mut budget = self.settings.prefill_tokens_per_s * step_s;
        let mut order: Vec<(u64, f64, String)> = self
            .generations
            .values()
            .filter_map(|g| match g.phase {
                Phase::Prefill { left_tokens } => Some((
                    g.request.priority,
                    left_tokens,
                    g.request.request_id.clone(),
                )),
                _ => None,
            })
            .collect();
        // Within a class the smallest come first, so that what they leave goes to the others.
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for index in 0..order.len() {
            let (class, left, request_id) = &order[index];
            let sharers = order[index..].iter().filter(|o| o.0 == *class).count();
            let share = (budget / sharers as f64).min(*left);
            budget -= share;
            self.advance_prefill(request_id, share, now_ms);
        }
    }

    fn advance_prefill(&mut self, request_id: &str, share: f64, now_ms: f64) {
        let Some(generation) = self.generations.get_mut(request_id) else {
            return;
        };
        let Phase::Prefill { left_tokens } = generation.phase else {
            return;
        };
        let left_tokens = left_tokens - share;
        let done = generation.chain.prompt_tokens.0 as f64 - left_tokens;
        let mut complete = generation.stored_blocks;
        let first_begun = complete + 1;
        while complete < generation.chain.blocks.len()
            && Chain::tokens_at(complete + 1).0 as f64 <= done + TOKEN_ROUNDING
        {
            complete += 1;
        }
        let new = generation.chain.blocks[generation.stored_blocks..complete].to_vec();
        let begun = first_begun..=complete;
        let begun: Vec<BlockHash> = begun
            .filter_map(|index| generation.chain.blocks.get(index).copied())
            .collect();
        generation.stored_blocks = complete;
        generation.phase = Phase::Prefill { left_tokens };
        let stamp = generation.stamp.clone();
        for hash in begun {
            self.count_recomputed(Some(hash));
        }
        let Some(generation) = self.generations.get_mut(request_id) else {
            return;
        };
        if left_tokens <= TOKEN_ROUNDING {
            generation.phase = Phase::Decode;
            let started = Started {
                cached_tokens: generation.cached_tokens,
                prompt_tokens: generation.chain.prompt_tokens.0,
                incarnation: stamp.incarnation,
                weights_version: stamp.weights_version,
            };
            generation.progress.send_modify(|progress| {
                progress.started.get_or_insert(started);
            });
            let chain = generation.chain.blocks.clone();
            self.store(&new, &stamp, now_ms);
            self.cache.touch(&chain, now_ms);
        } else {
            self.store(&new, &stamp, now_ms);
        }
    }

    /// Stores blocks and emits the events.
    pub(crate) fn store(&mut self, hashes: &[BlockHash], stamp: &Stamp, now_ms: f64) {
        for hash in hashes {
            let (new, evicted) = self.cache.store(*hash, stamp.clone(), now_ms);
            self.emit(CacheEventKind::Evicted, &evicted, now_ms);
            if new {
                self.emit(CacheEventKind::Stored, &[*hash], now_ms);
            }
        }
    }

    /// Evicts all blocks.
    pub(crate) fn evict_all(&mut self, now_ms: f64) {
        let evicted = self.cache.clear();
        self.emit(CacheEventKind::Evicted, &evicted, now_ms);
    }

    /// Ends a weight load.
    pub(crate) fn loaded(&mut self, model: String, weights_version: u64, now_ms: f64) {
        self.model = model;
        self.weights_version = weights_version;
        self.loading = false;
        self.cache.clear();
        let publish_at_ms = now_ms + self.event_delay_ms();
        let loss = self.faults.event_loss;
        self.events
            .push(CacheEventKind::Cleared, &[], publish_at_ms, loss);
    }

    fn emit(&mut self, kind: CacheEventKind, hashes: &[BlockHash], now_ms: f64) {
        if hashes.is_empty() {
            return;
        }
        let publish_at_ms = now_ms + self.event_delay_ms();
        let loss = self.faults.event_loss;
        self.events.push(kind, hashes, publish_at_ms, loss);
    }

    fn event_delay_ms(&self) -> f64 {
        self.faults
            .event_delay_ms
            .unwrap_or(self.settings.event_delay_ms)
    }

    /// Returns the time up to which load samples are reported.
    pub(crate) fn load_visible_ms(&self, now_ms: f64) -> u64 {
        let lag_ms = self.faults.load_lag_ms.unwrap_or(self.settings.load_lag_ms);
        (now_ms - lag_ms).max(0.0) as u64
    }

    /// Returns the load at this moment.
    pub(crate) fn load(&self, now_ms: f64) -> LoadReport {
        let waiting = |g: &Generation| {
            let depth = self.cache.depth(&g.chain.blocks);
            g.chain.uncached_tokens(depth).0
        };
        LoadReport {
            incarnation: self.incarnation,
            queued: self.queued().count() as u64,
            queued_tokens: self.queued().map(waiting).sum(),
            running: self.generations.values().filter(|g| g.is_running()).count() as u64,
            sampled_ms: now_ms as u64,
        }
    }
}

/// Shares are fractions of tokens; a smaller rest than this counts as computed.
const TOKEN_ROUNDING: f64 = 1e-6;

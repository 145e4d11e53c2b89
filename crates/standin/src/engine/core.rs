//! Batch scheduler and cache state of the engine, advanced in steps of one decoded token.

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
use crate::engine::audit::BlockOrigin;
use crate::engine::block_registry::BlockRegistry;
use crate::engine::cache::PrefixCache;
use crate::engine::events::EventLog;
use crate::engine::generation::EndReason;
use crate::engine::generation::Generation;
use crate::engine::generation::Phase;
use crate::engine::generation::Progress;
use crate::engine::generation::StartInfo;
use crate::engine::settings::EngineFaults;
use crate::engine::settings::EngineSettings;

/// State of one engine; times are milliseconds on the engine's clock, which runs `speedup` times
/// faster than real time.
#[derive(Debug)]
pub(crate) struct EngineCore {
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
    /// Request ids of all accepted generations, over all incarnations.
    pub(crate) accepted_requests: Vec<String>,
    generations: BTreeMap<String, Generation>,
    next_arrival: u64,
    registry: Arc<BlockRegistry>,
}

impl EngineCore {
    pub(crate) fn new(settings: EngineSettings, registry: Arc<BlockRegistry>) -> Self {
        EngineCore {
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
                Arc::clone(&registry),
            ),
            events: EventLog::new(settings.seed),
            audit: Audit::default(),
            accepted_requests: Vec::new(),
            generations: BTreeMap::new(),
            next_arrival: 0,
            registry,
            settings,
        }
    }

    /// Resets the engine to its initial state with the next incarnation, as after a crash and
    /// restart.
    ///
    /// The audit, the accepted request ids and the fault switches are kept.
    pub(crate) fn crash(&mut self, now_ms: f64) {
        for generation in self.generations.values_mut() {
            generation.end(EndReason::Crashed, now_ms);
        }
        let mut settings = self.settings.clone();
        settings.incarnation = self.incarnation + 1;
        let mut fresh = EngineCore::new(settings, Arc::clone(&self.registry));
        fresh.faults = self.faults.clone();
        fresh.audit = std::mem::take(&mut self.audit);
        fresh.accepted_requests = std::mem::take(&mut self.accepted_requests);
        *self = fresh;
    }

    fn origin_for(&self, user: &str) -> BlockOrigin {
        BlockOrigin {
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

    /// Queues a new generation.
    pub(crate) fn submit(
        &mut self,
        request: GenerateRequest,
        root: BlockHash,
    ) -> watch::Receiver<Progress> {
        let (progress, reader) = watch::channel(Progress::default());
        let generation = Generation {
            chain: Chain::from_root(root, request.prompt.as_bytes()),
            origin: self.origin_for(&request.user),
            arrival: self.next_arrival,
            phase: Phase::Queued,
            cached_tokens: 0,
            stored_blocks: 0,
            progress,
            request,
        };
        self.next_arrival += 1;
        self.accepted_requests
            .push(generation.request.request_id.clone());
        self.generations
            .insert(generation.request.request_id.clone(), generation);
        reader
    }

    /// Subscribes to the progress of a generation; a cancelled one is queued again.
    ///
    /// Returns `None` if the generation is unknown, or was cancelled and the weights have changed
    /// or are being loaded.
    pub(crate) fn resume(&mut self, request_id: &str) -> Option<watch::Receiver<Progress>> {
        let origin_for = |user: &str| BlockOrigin {
            user: user.to_owned(),
            weights_version: self.weights_version,
            incarnation: self.incarnation,
        };
        let generation = self.generations.get_mut(request_id)?;
        let cancelled = generation.progress.borrow().end_reason == Some(EndReason::Cancelled);
        if cancelled {
            let origin = origin_for(&generation.request.user);
            // With other weights, the rest of the answer would come from a different model version.
            if self.loading || origin != generation.origin {
                return None;
            }
            generation.phase = Phase::Queued;
            generation.arrival = self.next_arrival;
            self.next_arrival += 1;
            generation
                .progress
                .send_modify(|progress| progress.end_reason = None);
        }
        Some(generation.progress.subscribe())
    }

    /// Cancels a generation; returns the tokens generated so far, and whether it was still active.
    pub(crate) fn cancel(&mut self, request_id: &str, now_ms: f64) -> Option<(u64, bool)> {
        let generation = self.generations.get_mut(request_id)?;
        let active = !matches!(generation.phase, Phase::Ended { .. });
        if active {
            generation.end(EndReason::Cancelled, now_ms);
        }
        Some((generation.tokens(), active))
    }

    pub(crate) fn has_work(&self) -> bool {
        self.generations
            .values()
            .any(|generation| !matches!(generation.phase, Phase::Ended { .. }))
    }

    /// Advances the batch by one decode step; returns whether the engine crashed.
    pub(crate) fn step(&mut self, now_ms: f64) -> bool {
        self.purge_expired(now_ms);
        if self.faults.paused {
            return false;
        }
        self.admit(now_ms);
        if self.reaches_crashing_token() {
            self.crash(now_ms);
            return true;
        }
        self.decode(now_ms);
        self.prefill(now_ms);
        false
    }

    /// Returns whether an answer on which the engine crashes is to get its next token.
    fn reaches_crashing_token(&self) -> bool {
        let Some(text) = &self.faults.crash_on else {
            return false;
        };
        self.generations.values().any(|generation| {
            generation.phase == Phase::Decode
                && generation.tokens() >= self.faults.crash_after_tokens
                && generation.request.prompt.contains(text)
        })
    }

    /// Evicts idle blocks and drops generations that ended more than `retain_ms` ago.
    pub(crate) fn purge_expired(&mut self, now_ms: f64) {
        let evicted = self.cache.evict_expired(now_ms);
        self.publish(CacheEventKind::Evicted, &evicted, now_ms);
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
            .map(|g| (g.request.priority, g.arrival, g.request.request_id.clone()))
            .collect();
        waiting.sort_unstable();
        let free = self.settings.max_batch.saturating_sub(running);
        for (_, _, request_id) in waiting.into_iter().take(free) {
            self.start_prefill(&request_id, now_ms);
        }
    }

    fn start_prefill(&mut self, request_id: &str, now_ms: f64) {
        let Some(generation) = self.generations.get_mut(request_id) else {
            return;
        };
        let prefix_len = self.cache.cached_prefix_len(&generation.chain.blocks);
        let cached_blocks = &generation.chain.blocks[..prefix_len];
        for hash in cached_blocks {
            if let Some(origin) = self.cache.origin(*hash) {
                self.audit
                    .record(request_id, *hash, origin, &generation.origin);
            }
        }
        self.cache.touch(cached_blocks, now_ms);
        let uncached_tokens = generation.chain.uncached_tokens(prefix_len).0;
        generation.cached_tokens = generation.chain.prompt_tokens.0 - uncached_tokens;
        generation.stored_blocks = prefix_len;
        generation.phase = Phase::Prefill {
            remaining_tokens: uncached_tokens as f64,
        };
        self.audit.cached_tokens += generation.cached_tokens;
        self.audit.computed_tokens += uncached_tokens;
        let first_uncached = generation.chain.blocks.get(prefix_len).copied();
        self.count_recomputed(first_uncached);
    }

    /// Counts the tokens of a block as recomputed if an engine or the KV store holds the block when
    /// its computation starts.
    fn count_recomputed(&mut self, block: Option<BlockHash>) {
        if block.is_some_and(|hash| self.registry.is_held(hash)) {
            self.audit.recomputed_tokens += BLOCK_TOKENS;
        }
    }

    fn decode(&mut self, now_ms: f64) {
        for generation in self.generations.values_mut() {
            if generation.phase != Phase::Decode {
                continue;
            }
            let max_tokens = generation.request.max_tokens;
            if generation.tokens() < max_tokens {
                generation
                    .progress
                    .send_modify(|progress| progress.tokens += 1);
            }
            if generation.tokens() >= max_tokens {
                generation.end(EndReason::Finished, now_ms);
            }
        }
    }

    /// Spends the prefill budget of one step on the most urgent priority first, in equal shares
    /// within a priority.
    fn prefill(&mut self, now_ms: f64) {
        let step_s = self.settings.decode_ms_per_token / 1000.0;
        let mut budget = self.settings.prefill_tokens_per_s * step_s;
        let mut queue: Vec<(u64, f64, String)> = self
            .generations
            .values()
            .filter_map(|g| match g.phase {
                Phase::Prefill { remaining_tokens } => Some((
                    g.request.priority,
                    remaining_tokens,
                    g.request.request_id.clone(),
                )),
                _ => None,
            })
            .collect();
        // Within a priority, the shortest remainder comes first, so that its unused share is
        // distributed among the others.
        queue.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for index in 0..queue.len() {
            let (priority, remaining, request_id) = &queue[index];
            let same_priority = queue[index..]
                .iter()
                .filter(|entry| entry.0 == *priority)
                .count();
            let share = (budget / same_priority as f64).min(*remaining);
            budget -= share;
            self.advance_prefill(request_id, share, now_ms);
        }
    }

    fn advance_prefill(&mut self, request_id: &str, share: f64, now_ms: f64) {
        let Some(generation) = self.generations.get_mut(request_id) else {
            return;
        };
        let Phase::Prefill { remaining_tokens } = generation.phase else {
            return;
        };
        let remaining_tokens = remaining_tokens - share;
        let processed_tokens = generation.chain.prompt_tokens.0 as f64 - remaining_tokens;
        let mut computed_blocks = generation.stored_blocks;
        let first_started = computed_blocks + 1;
        while computed_blocks < generation.chain.blocks.len()
            && Chain::tokens_at(computed_blocks + 1).0 as f64 <= processed_tokens + TOKEN_EPSILON
        {
            computed_blocks += 1;
        }
        let new_blocks =
            generation.chain.blocks[generation.stored_blocks..computed_blocks].to_vec();
        let started_blocks = first_started..=computed_blocks;
        let started_blocks: Vec<BlockHash> = started_blocks
            .filter_map(|index| generation.chain.blocks.get(index).copied())
            .collect();
        generation.stored_blocks = computed_blocks;
        generation.phase = Phase::Prefill { remaining_tokens };
        let origin = generation.origin.clone();
        for hash in started_blocks {
            self.count_recomputed(Some(hash));
        }
        let Some(generation) = self.generations.get_mut(request_id) else {
            return;
        };
        if remaining_tokens <= TOKEN_EPSILON {
            generation.phase = Phase::Decode;
            let start_info = StartInfo {
                cached_tokens: generation.cached_tokens,
                prompt_tokens: generation.chain.prompt_tokens.0,
                incarnation: origin.incarnation,
                weights_version: origin.weights_version,
            };
            generation.progress.send_modify(|progress| {
                progress.start_info.get_or_insert(start_info);
            });
            let chain = generation.chain.blocks.clone();
            self.store_blocks(&new_blocks, &origin, now_ms);
            self.cache.touch(&chain, now_ms);
        } else {
            self.store_blocks(&new_blocks, &origin, now_ms);
        }
    }

    /// Inserts blocks into the cache and publishes the cache events.
    pub(crate) fn store_blocks(&mut self, hashes: &[BlockHash], origin: &BlockOrigin, now_ms: f64) {
        for hash in hashes {
            let (inserted, evicted) = self.cache.insert(*hash, origin.clone(), now_ms);
            self.publish(CacheEventKind::Evicted, &evicted, now_ms);
            if inserted {
                self.publish(CacheEventKind::Stored, &[*hash], now_ms);
            }
        }
    }

    /// Evicts all blocks.
    pub(crate) fn evict_all(&mut self, now_ms: f64) {
        let evicted = self.cache.clear();
        self.publish(CacheEventKind::Evicted, &evicted, now_ms);
    }

    /// Switches to the loaded weights and clears the cache.
    pub(crate) fn finish_weight_load(&mut self, model: String, weights_version: u64, now_ms: f64) {
        self.model = model;
        self.weights_version = weights_version;
        self.loading = false;
        self.cache.clear();
        let publish_at_ms = now_ms + self.event_delay_ms();
        let loss_rate = self.faults.event_loss;
        self.events
            .push(CacheEventKind::Cleared, &[], publish_at_ms, loss_rate);
    }

    fn publish(&mut self, kind: CacheEventKind, hashes: &[BlockHash], now_ms: f64) {
        if hashes.is_empty() {
            return;
        }
        let publish_at_ms = now_ms + self.event_delay_ms();
        let loss_rate = self.faults.event_loss;
        self.events.push(kind, hashes, publish_at_ms, loss_rate);
    }

    fn event_delay_ms(&self) -> f64 {
        self.faults
            .event_delay_ms
            .unwrap_or(self.settings.event_delay_ms)
    }

    /// Returns the time of the latest load sample that may be reported.
    pub(crate) fn load_cutoff_ms(&self, now_ms: f64) -> u64 {
        let lag_ms = self.faults.load_lag_ms.unwrap_or(self.settings.load_lag_ms);
        (now_ms - lag_ms).max(0.0) as u64
    }

    /// Returns the current load.
    pub(crate) fn current_load(&self, now_ms: f64) -> LoadReport {
        let uncached_tokens = |g: &Generation| {
            let prefix_len = self.cache.cached_prefix_len(&g.chain.blocks);
            g.chain.uncached_tokens(prefix_len).0
        };
        LoadReport {
            incarnation: self.incarnation,
            queued: self.queued().count() as u64,
            queued_tokens: self.queued().map(uncached_tokens).sum(),
            running: self.generations.values().filter(|g| g.is_running()).count() as u64,
            sampled_ms: now_ms as u64,
        }
    }
}

/// Tolerance in tokens: prefill shares are fractional, and a smaller remainder counts as computed.
const TOKEN_EPSILON: f64 = 1e-6;

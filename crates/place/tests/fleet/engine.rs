//! Simulated inference engine in virtual time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Fingerprint;
use dw_base::Priority;
use dw_base::TokensPerS;
use dw_base::UpstreamId;
use dw_base::BLOCK_TOKENS;
use dw_place::KnownCost;
use dw_place::Target;

/// Fixed time of a prefill in addition to computation.
const PREFILL_OVERHEAD_MS: f64 = 5.0;

/// Number of recent chains that are announced to routers.
const MAX_RECENT_CHAINS: usize = 4;

/// Fraction of uncached blocks that an agent expects in the KV store.
const EXPECTED_COVERAGE: f64 = 0.8;

/// A simulated request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: usize,
    pub(crate) router: usize,
    pub(crate) chain: Chain,
    pub(crate) priority: Priority,
    pub(crate) arrived_ms: f64,
    pub(crate) queued_ms: f64,
    pub(crate) deadline_ms: f64,
    pub(crate) decode_ms: f64,
    pub(crate) excluded: Vec<UpstreamId>,
    /// Costs at the engines that refused it because another is cheaper.
    pub(crate) known: Vec<KnownCost>,
    /// State of a prefill that an urgent request interrupted: cached tokens at its start and the
    /// remaining time.
    pub(crate) interrupted: Option<(u64, f64)>,
}

/// KV store from which all engines of a deployment can import blocks.
#[derive(Debug, Default)]
pub(crate) struct KvStore {
    available_ms: HashMap<u128, f64>,
}

impl KvStore {
    /// Time to look up and transfer one block: 128 MiB at 5 GB/s and a read of 5 ms.
    const IMPORT_MS: f64 = 32.0;

    /// Time from the computation of a block until other engines can import it.
    const EXPORT_MS: f64 = 500.0;

    pub(crate) fn holds(&self, hash: u128, now: f64) -> bool {
        self.available_ms.get(&hash).is_some_and(|at| *at <= now)
    }

    fn add_computed(&mut self, hash: u128, now: f64) {
        let at = now + Self::EXPORT_MS;
        self.available_ms.entry(hash).or_insert(at);
    }
}

/// A prefill that has been started.
pub(crate) struct StartedPrefill {
    pub(crate) end: f64,
    /// Blocks that are computed for it, and whether the KV store held them.
    pub(crate) computed: Vec<(u128, bool)>,
    /// Blocks that are imported for it.
    pub(crate) imported: usize,
    /// Sequence number of the prefill at the engine.
    pub(crate) number: u64,
}

/// Tokens and blocks of a prefill by their source, and the time it takes.
struct Prefill {
    cached_tokens: u64,
    time_ms: f64,
    computed: Vec<(u128, bool)>,
    imported: usize,
}

/// An engine with queues, one prefill at a time, decode slots and a prefix cache.
pub(crate) struct Engine {
    pub(crate) target: Target,
    /// Factor by which prefills are slower than declared.
    pub(crate) slowdown: f64,
    /// Whether blocks can be imported from the KV store.
    pub(crate) imports: bool,
    pub(crate) alive: bool,
    /// Incremented at each crash.
    pub(crate) incarnation: u32,
    pub(crate) queues: [VecDeque<Job>; 2],
    pub(crate) prefill: Option<(Job, u64, f64)>,
    pub(crate) number: u64,
    pub(crate) decoding: Vec<Job>,
    pub(crate) busy_ms: f64,
    /// Sequence numbers and blocks of the most recent prefills.
    recent: VecDeque<(u64, Vec<BlockHash>)>,
    prefill_count: u64,
    /// Number of the newest prefill that was announced to each router.
    announced: HashMap<usize, u64>,
    measured: f64,
    capacity: usize,
    use_count: u64,
    last_uses: HashMap<u128, u64>,
    by_last_use: BTreeMap<u64, u128>,
}

impl Engine {
    pub(crate) fn new(target: Target, capacity: usize, imports: bool) -> Self {
        let measured = target.prefill_tokens_per_s.get();
        Engine {
            target,
            slowdown: 1.0,
            imports,
            alive: true,
            incarnation: 0,
            queues: Default::default(),
            prefill: None,
            number: 0,
            decoding: Vec::new(),
            busy_ms: 0.0,
            recent: VecDeque::new(),
            prefill_count: 0,
            announced: HashMap::new(),
            measured,
            capacity,
            use_count: 0,
            last_uses: HashMap::new(),
            by_last_use: BTreeMap::new(),
        }
    }

    /// Returns the prefill speed measured by the agent.
    pub(crate) fn measured(&self) -> TokensPerS {
        TokensPerS::new(self.measured).expect("valid in the model")
    }

    fn speed(&self) -> f64 {
        self.target.prefill_tokens_per_s.get() / self.slowdown
    }

    pub(crate) fn holds(&self, hash: u128) -> bool {
        self.alive && self.last_uses.contains_key(&hash)
    }

    pub(crate) fn cached_tokens(&self, chain: &Chain) -> u64 {
        let held = |hash: &&BlockHash| self.last_uses.contains_key(&hash.0);
        chain.blocks.iter().take_while(held).count() as u64 * BLOCK_TOKENS
    }

    /// Returns the expected prefill time; some uncached blocks are expected in the KV store.
    pub(crate) fn prefill_ms(&self, chain: &Chain) -> f64 {
        let uncached = (chain.prompt_tokens.0 - self.cached_tokens(chain)) as f64;
        let compute_ms = uncached * 1_000.0 / self.speed();
        let import_ms = uncached / BLOCK_TOKENS as f64 * KvStore::IMPORT_MS;
        let obtained_ms = match self.imports && import_ms < compute_ms {
            true => EXPECTED_COVERAGE * import_ms + (1.0 - EXPECTED_COVERAGE) * compute_ms,
            false => compute_ms,
        };
        obtained_ms + PREFILL_OVERHEAD_MS
    }

    fn touch(&mut self, hash: u128) {
        self.use_count += 1;
        if let Some(old) = self.last_uses.insert(hash, self.use_count) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.use_count, hash);
        if self.last_uses.len() > self.capacity {
            if let Some((_, hash)) = self.by_last_use.pop_first() {
                self.last_uses.remove(&hash);
            }
        }
    }

    fn queue_of(priority: Priority) -> usize {
        usize::from(priority != Priority::Urgent)
    }

    /// Returns the expected wait of a new request.
    pub(crate) fn wait_ms(&self, priority: Priority, now: f64) -> f64 {
        let running = match &self.prefill {
            Some((job, _, _)) if priority == Priority::Urgent && job.priority != priority => 0.0,
            Some((_, _, end)) => (end - now).max(0.0),
            None => 0.0,
        };
        let ahead = &self.queues[..=Self::queue_of(priority)];
        let queued: f64 = ahead
            .iter()
            .flatten()
            .map(|j| match j.interrupted {
                Some((_, left)) => left,
                None => self.prefill_ms(&j.chain),
            })
            .sum();
        let slots = self.target.max_batch as usize;
        let waiting: usize = ahead.iter().map(VecDeque::len).sum();
        let busy = self.decoding.len() + usize::from(self.prefill.is_some()) + waiting;
        let mean: f64 = self.decoding.iter().map(|j| j.decode_ms).sum::<f64>()
            / self.decoding.len().max(1) as f64;
        let slot = (busy + 1).saturating_sub(slots) as f64 * mean / slots as f64;
        (running + queued).max(slot)
    }

    pub(crate) fn wait_times(&self, now: f64) -> [DurationMs; 3] {
        Priority::ALL.map(|p| DurationMs(self.wait_ms(p, now).round() as u64))
    }

    /// Returns the blocks of recent prefills that were not announced to the router yet.
    pub(crate) fn take_announcement(&mut self, router: usize) -> Vec<Fingerprint> {
        let announced = self
            .announced
            .insert(router, self.prefill_count)
            .unwrap_or_default();
        let unannounced = self.recent.iter().filter(|(number, _)| *number > announced);
        unannounced
            .flat_map(|(_, blocks)| blocks.iter().map(|block| block.fingerprint()))
            .collect()
    }

    /// Queues a job; an urgent one interrupts a running prefill that is not urgent.
    pub(crate) fn push(&mut self, job: Job, now: f64) {
        let urgent = job.priority == Priority::Urgent;
        self.queues[Self::queue_of(job.priority)].push_back(job);
        let interrupts = |running: &Job| urgent && running.priority != Priority::Urgent;
        if self.prefill.as_ref().is_some_and(|p| interrupts(&p.0)) {
            if let Some((mut job, cached, end)) = self.prefill.take() {
                self.number += 1;
                self.busy_ms -= (end - now).max(0.0);
                job.interrupted = Some((cached, (end - now).max(0.0)));
                self.queues[1].push_front(job);
            }
        }
    }

    /// Starts the next prefill if no prefill runs and a decode slot is free.
    pub(crate) fn start(
        &mut self,
        now: f64,
        store: Option<&mut KvStore>,
    ) -> Option<StartedPrefill> {
        if self.prefill.is_some() || self.decoding.len() >= self.target.max_batch as usize {
            return None;
        }
        let mut job = self.queues[0]
            .pop_front()
            .or_else(|| self.queues[1].pop_front())?;
        self.number += 1;
        let prefill = match job.interrupted.take() {
            Some((cached_tokens, time_ms)) => Prefill {
                cached_tokens,
                time_ms,
                computed: Vec::new(),
                imported: 0,
            },
            None => self.begin_prefill(&job, now, store),
        };
        let end = now + prefill.time_ms;
        self.busy_ms += prefill.time_ms;
        self.prefill = Some((job, prefill.cached_tokens, end));
        Some(StartedPrefill {
            end,
            computed: prefill.computed,
            imported: prefill.imported,
            number: self.number,
        })
    }

    /// Computes the sources and the time of a new prefill, and updates the caches.
    fn begin_prefill(&mut self, job: &Job, now: f64, store: Option<&mut KvStore>) -> Prefill {
        let cached = self.cached_tokens(&job.chain);
        let depth = (cached / BLOCK_TOKENS) as usize;
        let missing = &job.chain.blocks[depth..];
        let block_ms = BLOCK_TOKENS as f64 * 1_000.0 / self.speed();
        let mut imported = 0;
        let mut computed = Vec::new();
        if let Some(store) = &store {
            if KvStore::IMPORT_MS < block_ms {
                imported = missing.iter().take_while(|b| store.holds(b.0, now)).count();
            }
        }
        for block in &missing[imported..] {
            let stored = store
                .as_ref()
                .is_some_and(|store| store.holds(block.0, now));
            computed.push((block.0, stored));
        }
        // Touched from the deepest block up, so that deeper blocks are evicted first.
        for block in job.chain.blocks.iter().rev() {
            self.touch(block.0);
        }
        let uncached = job.chain.prompt_tokens.0 - cached - imported as u64 * BLOCK_TOKENS;
        let compute_ms = uncached as f64 * 1_000.0 / self.speed() + PREFILL_OVERHEAD_MS;
        if uncached > 1_024 {
            let speed = uncached as f64 * 1_000.0 / compute_ms;
            self.measured += 0.3 * (speed - self.measured);
        }
        self.prefill_count += 1;
        self.recent
            .push_back((self.prefill_count, job.chain.blocks.clone()));
        if self.recent.len() > MAX_RECENT_CHAINS {
            self.recent.pop_front();
        }
        let time = compute_ms + imported as f64 * KvStore::IMPORT_MS;
        if let Some(store) = store {
            computed
                .iter()
                .for_each(|(hash, _)| store.add_computed(*hash, now + time));
        }
        Prefill {
            cached_tokens: cached,
            time_ms: time,
            computed,
            imported,
        }
    }

    /// Clears all state and returns the queued and prefilling requests.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.alive = false;
        self.incarnation += 1;
        self.last_uses.clear();
        self.by_last_use.clear();
        self.recent.clear();
        self.decoding.clear();
        let mut lost: Vec<Job> = self.prefill.take().map(|p| p.0).into_iter().collect();
        for queue in &mut self.queues {
            lost.extend(queue.drain(..));
        }
        self.number += 1;
        for job in &mut lost {
            job.interrupted = None;
        }
        lost
    }
}

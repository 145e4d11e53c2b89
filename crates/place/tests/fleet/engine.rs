//! A model engine in virtual time.

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

/// Time of a prefill beside the computation.
const PREFILL_OVERHEAD_MS: f64 = 5.0;

/// Chains of which an answer tells the router.
const RECENT_CHAINS: usize = 4;

/// Share of the missing pieces that an agent expects in the KV store.
const EXPECTED_COVERAGE: f64 = 0.8;

/// A request in the model.
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
    /// Costs at the engines that refused it as a poor placement.
    pub(crate) known: Vec<KnownCost>,
    /// Prefill that an urgent request has interrupted: cached tokens at its start, and what is
    /// left of its time.
    pub(crate) interrupted: Option<(u64, f64)>,
}

/// Store of exported cache pieces that all engines of a deployment can import from.
#[derive(Debug, Default)]
pub(crate) struct KvStore {
    available_ms: HashMap<u128, f64>,
}

impl KvStore {
    /// Time to look up and transfer one piece: 128 MiB at 5 GB/s and a read of 5 ms.
    const IMPORT_MS: f64 = 32.0;

    /// Time from the computation of a piece until others can import it.
    const EXPORT_MS: f64 = 500.0;

    pub(crate) fn holds(&self, hash: u128, now: f64) -> bool {
        self.available_ms.get(&hash).is_some_and(|at| *at <= now)
    }

    fn computed(&mut self, hash: u128, now: f64) {
        let at = now + Self::EXPORT_MS;
        self.available_ms.entry(hash).or_insert(at);
    }
}

/// A prefill that has been started.
pub(crate) struct Started {
    pub(crate) end: f64,
    /// Blocks that are computed for it, and whether the KV store held them.
    pub(crate) computed: Vec<(u128, bool)>,
    /// Blocks that are imported for it.
    pub(crate) imported: usize,
    /// Number of the prefill within the engine.
    pub(crate) number: u64,
}

/// What a prefill obtains, and how long that takes.
struct Prefill {
    cached_tokens: u64,
    time_ms: f64,
    computed: Vec<(u128, bool)>,
    imported: usize,
}

/// An engine with a queue, one prefill at a time, decode slots and a prefix cache.
pub(crate) struct Engine {
    pub(crate) target: Target,
    pub(crate) slow: f64,
    /// Whether pieces can be imported from the KV store.
    pub(crate) imports: bool,
    pub(crate) alive: bool,
    pub(crate) life: u32,
    pub(crate) queues: [VecDeque<Job>; 2],
    pub(crate) prefill: Option<(Job, u64, f64)>,
    pub(crate) number: u64,
    pub(crate) decoding: Vec<Job>,
    pub(crate) busy_ms: f64,
    /// Numbers and blocks of the newest prefills.
    recent: VecDeque<(u64, Vec<BlockHash>)>,
    begun: u64,
    /// Number of the newest prefill that each router has been told of.
    told: HashMap<usize, u64>,
    measured: f64,
    capacity: usize,
    used: u64,
    held: HashMap<u128, u64>,
    order: BTreeMap<u64, u128>,
}

impl Engine {
    pub(crate) fn new(target: Target, capacity: usize, imports: bool) -> Self {
        let measured = target.prefill_tokens_per_s.get();
        Engine {
            target,
            slow: 1.0,
            imports,
            alive: true,
            life: 0,
            queues: Default::default(),
            prefill: None,
            number: 0,
            decoding: Vec::new(),
            busy_ms: 0.0,
            recent: VecDeque::new(),
            begun: 0,
            told: HashMap::new(),
            measured,
            capacity,
            used: 0,
            held: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Speed that the agent has measured.
    pub(crate) fn measured(&self) -> TokensPerS {
        TokensPerS::new(self.measured).expect("valid in the model")
    }

    fn speed(&self) -> f64 {
        self.target.prefill_tokens_per_s.get() / self.slow
    }

    pub(crate) fn holds(&self, hash: u128) -> bool {
        self.alive && self.held.contains_key(&hash)
    }

    pub(crate) fn cached_tokens(&self, chain: &Chain) -> u64 {
        let held = |hash: &&BlockHash| self.held.contains_key(&hash.0);
        chain.blocks.iter().take_while(held).count() as u64 * BLOCK_TOKENS
    }

    /// Expected prefill time; a part of what is missing is expected in the KV store.
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
        self.used += 1;
        if let Some(old) = self.held.insert(hash, self.used) {
            self.order.remove(&old);
        }
        self.order.insert(self.used, hash);
        if self.held.len() > self.capacity {
            if let Some((_, hash)) = self.order.pop_first() {
                self.held.remove(&hash);
            }
        }
    }

    fn queue_of(priority: Priority) -> usize {
        usize::from(priority != Priority::Urgent)
    }

    /// Expected wait of a new request.
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

    pub(crate) fn waits(&self, now: f64) -> [DurationMs; 3] {
        Priority::ALL.map(|p| DurationMs(self.wait_ms(p, now).round() as u64))
    }

    /// Returns the blocks of the newest prefills that the router has not been told of.
    pub(crate) fn tell(&mut self, router: usize) -> Vec<Fingerprint> {
        let told = self.told.insert(router, self.begun).unwrap_or_default();
        let news = self.recent.iter().filter(|(number, _)| *number > told);
        news.flat_map(|(_, blocks)| blocks.iter().map(|block| block.fingerprint()))
            .collect()
    }

    /// Queues a job; an urgent one interrupts the prefill of another that is not urgent.
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

    /// Starts the next prefill if there is room.
    pub(crate) fn start(&mut self, now: f64, store: Option<&mut KvStore>) -> Option<Started> {
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
            None => self.begin(&job, now, store),
        };
        let end = now + prefill.time_ms;
        self.busy_ms += prefill.time_ms;
        self.prefill = Some((job, prefill.cached_tokens, end));
        Some(Started {
            end,
            computed: prefill.computed,
            imported: prefill.imported,
            number: self.number,
        })
    }

    /// Begins a new prefill.
    fn begin(&mut self, job: &Job, now: f64, store: Option<&mut KvStore>) -> Prefill {
        let cached = self.cached_tokens(&job.chain);
        let depth = (cached / BLOCK_TOKENS) as usize;
        let missing = &job.chain.blocks[depth..];
        let piece_ms = BLOCK_TOKENS as f64 * 1_000.0 / self.speed();
        let mut imported = 0;
        let mut computed = Vec::new();
        if let Some(store) = &store {
            if KvStore::IMPORT_MS < piece_ms {
                imported = missing.iter().take_while(|b| store.holds(b.0, now)).count();
            }
        }
        for block in &missing[imported..] {
            let stored = store
                .as_ref()
                .is_some_and(|store| store.holds(block.0, now));
            computed.push((block.0, stored));
        }
        // The deepest block is the least recently used one.
        for block in job.chain.blocks.iter().rev() {
            self.touch(block.0);
        }
        let uncached = job.chain.prompt_tokens.0 - cached - imported as u64 * BLOCK_TOKENS;
        let compute_ms = uncached as f64 * 1_000.0 / self.speed() + PREFILL_OVERHEAD_MS;
        if uncached > 1_024 {
            let speed = uncached as f64 * 1_000.0 / compute_ms;
            self.measured += 0.3 * (speed - self.measured);
        }
        self.begun += 1;
        self.recent
            .push_back((self.begun, job.chain.blocks.clone()));
        if self.recent.len() > RECENT_CHAINS {
            self.recent.pop_front();
        }
        let time = compute_ms + imported as f64 * KvStore::IMPORT_MS;
        if let Some(store) = store {
            computed
                .iter()
                .for_each(|(hash, _)| store.computed(*hash, now + time));
        }
        Prefill {
            cached_tokens: cached,
            time_ms: time,
            computed,
            imported,
        }
    }

    /// Loses everything; returns the requests that were accepted.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.alive = false;
        self.life += 1;
        self.held.clear();
        self.order.clear();
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

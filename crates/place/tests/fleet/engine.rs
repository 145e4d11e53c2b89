//! A model engine in virtual time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::TokensPerS;
use dw_base::UpstreamId;
use dw_base::PIECE_TOKENS;
use dw_place::Target;

/// Time of a prefill beside the computation.
const PREFILL_OVERHEAD_MS: f64 = 5.0;

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
}

/// An engine with a queue, one prefill at a time, decode slots and a prefix cache.
pub(crate) struct Engine {
    pub(crate) target: Target,
    pub(crate) slow: f64,
    pub(crate) alive: bool,
    pub(crate) life: u32,
    pub(crate) queues: [VecDeque<Job>; 2],
    pub(crate) prefill: Option<(Job, u64, f64)>,
    pub(crate) decoding: Vec<Job>,
    pub(crate) busy_ms: f64,
    measured: f64,
    capacity: usize,
    used: u64,
    held: HashMap<u128, u64>,
    order: BTreeMap<u64, u128>,
}

impl Engine {
    pub(crate) fn new(target: Target, capacity: usize) -> Self {
        let measured = target.prefill_tokens_per_s.get();
        Engine {
            target,
            slow: 1.0,
            alive: true,
            life: 0,
            queues: Default::default(),
            prefill: None,
            decoding: Vec::new(),
            busy_ms: 0.0,
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
        let held = |hash: &&dw_base::BlockHash| self.held.contains_key(&hash.0);
        chain.blocks.iter().take_while(held).count() as u64 * PIECE_TOKENS
    }

    pub(crate) fn prefill_ms(&self, chain: &Chain) -> f64 {
        let uncached = chain.prompt_tokens.0 - self.cached_tokens(chain);
        uncached as f64 * 1_000.0 / self.speed() + PREFILL_OVERHEAD_MS
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
            Some((_, _, end)) => (end - now).max(0.0),
            None => 0.0,
        };
        let ahead = &self.queues[..=Self::queue_of(priority)];
        let queued: f64 = ahead
            .iter()
            .flatten()
            .map(|j| self.prefill_ms(&j.chain))
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

    pub(crate) fn push(&mut self, job: Job) {
        self.queues[Self::queue_of(job.priority)].push_back(job);
    }

    /// Starts the next prefill if there is room; returns its end and the blocks computed.
    pub(crate) fn start(&mut self, now: f64) -> Option<(f64, Vec<u128>)> {
        if self.prefill.is_some() || self.decoding.len() >= self.target.max_batch as usize {
            return None;
        }
        let job = self.queues[0]
            .pop_front()
            .or_else(|| self.queues[1].pop_front())?;
        let cached = self.cached_tokens(&job.chain);
        let time = self.prefill_ms(&job.chain);
        let depth = (cached / PIECE_TOKENS) as usize;
        let computed: Vec<u128> = job.chain.blocks[depth..].iter().map(|b| b.0).collect();
        // The deepest block is the least recently used one.
        for block in job.chain.blocks.iter().rev() {
            self.touch(block.0);
        }
        self.busy_ms += time;
        let speed = (job.chain.prompt_tokens.0 - cached) as f64 * 1_000.0 / time;
        if job.chain.prompt_tokens.0 - cached > 1_024 {
            self.measured += 0.3 * (speed - self.measured);
        }
        self.prefill = Some((job, cached, now + time));
        Some((now + time, computed))
    }

    /// Loses everything; returns the requests that were accepted.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.alive = false;
        self.life += 1;
        self.held.clear();
        self.order.clear();
        self.decoding.clear();
        let mut lost: Vec<Job> = self.prefill.take().map(|p| p.0).into_iter().collect();
        for queue in &mut self.queues {
            lost.extend(queue.drain(..));
        }
        lost
    }
}

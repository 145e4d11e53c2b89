//! Deterministic simulation of a fleet that drives placement policies in virtual time.

pub(crate) mod engine;
pub(crate) mod workload;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;

use dw_base::seeded_rng;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::UpstreamId;
use dw_base::BLOCK_TOKENS;
use dw_place::Alternative;
use dw_place::FlatBlock;
use dw_place::FlatPrompt;
use dw_place::FleetView;
use dw_place::ImportCost;
use dw_place::KnownCost;
use dw_place::LeastLoaded;
use dw_place::Nested;
use dw_place::NestedSettings;
use dw_place::Observation;
use dw_place::Oracle;
use dw_place::PlaceRequest;
use dw_place::Policy;
use dw_place::RoundRobin;
use dw_place::Target;
use rand::RngExt;

use engine::Engine;
use engine::Job;
use engine::KvStore;
use engine::StartedPrefill;
use workload::Deployment;
use workload::Workload;

/// Number of simulated routers.
const ROUTERS: usize = 4;

/// Interval between the reports of an engine.
const REPORT_MS: f64 = 2_000.0;

/// Virtual duration of a run, and the warm-up at its start that is not measured.
pub(crate) const RUN_MS: f64 = 90_000.0;
const WARM_UP_MS: f64 = 20_000.0;

/// Start of a fault, and duration of the outage of a crashed engine.
const FAULT_MS: f64 = 45_000.0;
const OUTAGE_MS: f64 = 10_000.0;

/// One-way network latency between data centres.
const REMOTE_LATENCY_MS: f64 = 3.0;

/// Maximum number of refusals of one request because another engine is cheaper.
const MAX_HOPS: usize = 2;

/// Minimum advantage of the second choice for a refusal; a hop itself takes a few milliseconds.
const HOP_MARGIN_MS: f64 = 50.0;

/// Fault injected into a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    Crash,
    Slow,
    Shift,
    Restart,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) answered: u64,
    pub(crate) lost: u64,
    /// Refusals because another engine was cheaper.
    pub(crate) hops: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) imported_tokens: u64,
    /// Recomputed tokens that some live engine held.
    pub(crate) wasted_tokens: u64,
    /// Recomputed tokens that had been computed before.
    pub(crate) repeated_tokens: u64,
    pub(crate) busy: f64,
    urgent_ms: Vec<f64>,
    normal_ms: Vec<f64>,
}

impl Figures {
    pub(crate) fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens as f64
    }

    /// Returns the fraction of prompt tokens that were cached or imported.
    pub(crate) fn reuse_rate(&self) -> f64 {
        (self.cached_tokens + self.imported_tokens) as f64 / self.prompt_tokens as f64
    }

    pub(crate) fn wasted_per_answer(&self) -> f64 {
        self.wasted_tokens as f64 / self.answered as f64
    }

    pub(crate) fn quantile(&self, priority: Priority, q: f64) -> f64 {
        let mut times = match priority {
            Priority::Urgent => self.urgent_ms.clone(),
            _ => self.normal_ms.clone(),
        };
        times.sort_by(f64::total_cmp);
        let at = (times.len() as f64 * q) as usize;
        times
            .get(at.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    }

    /// Adds the figures of another seed.
    pub(crate) fn add(&mut self, other: &Figures) {
        self.answered += other.answered;
        self.lost += other.lost;
        self.hops += other.hops;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.imported_tokens += other.imported_tokens;
        self.wasted_tokens += other.wasted_tokens;
        self.repeated_tokens += other.repeated_tokens;
        self.busy += other.busy;
        self.urgent_ms.extend(&other.urgent_ms);
        self.normal_ms.extend(&other.normal_ms);
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Report,
    PrefillEnd {
        engine: usize,
        number: u64,
    },
    DecodeEnd {
        engine: usize,
        incarnation: u32,
        job: usize,
    },
    Fault,
    Recover {
        engine: usize,
    },
}

type SharedState = Arc<Mutex<(f64, Vec<Engine>)>>;

type MakePolicy = Box<dyn Fn(&SharedState) -> Box<dyn Policy>>;

struct SimulatedFleet(SharedState);

impl SimulatedFleet {
    fn with<T>(&self, upstream: &UpstreamId, f: impl Fn(&Engine, f64) -> T) -> T {
        let guard = self.0.lock().expect("valid in the model");
        let engine = guard.1.iter().find(|e| e.target.upstream == *upstream);
        f(engine.expect("valid in the model"), guard.0)
    }
}

impl FleetView for SimulatedFleet {
    fn cached_tokens(&self, upstream: &UpstreamId, chain: &Chain) -> Tokens {
        self.with(upstream, |engine, _| Tokens(engine.cached_tokens(chain)))
    }

    fn wait_ms(&self, upstream: &UpstreamId, priority: Priority) -> DurationMs {
        self.with(upstream, |e, now| {
            DurationMs(e.wait_ms(priority, now) as u64)
        })
    }

    fn prefill_tokens_per_s(&self, upstream: &UpstreamId) -> TokensPerS {
        self.with(upstream, |engine, _| engine.measured())
    }
}

/// Simulated engines, routers and clock.
pub(crate) struct Fleet {
    shared: SharedState,
    routers: Vec<Box<dyn Policy>>,
    make: MakePolicy,
    workload: Workload,
    rng: Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: f64,
    fault: Fault,
    computed_before: HashSet<u128>,
    store: Option<KvStore>,
    figures: Figures,
}

fn make(policy: &'static str, settings: NestedSettings, shared: &SharedState) -> Box<dyn Policy> {
    match policy {
        "nested" => Box::new(Nested::new(settings)),
        "round-robin" => Box::new(RoundRobin::default()),
        "least-loaded" => Box::new(LeastLoaded::default()),
        "flat-prompt" => Box::new(FlatPrompt),
        "flat-block" => Box::new(FlatBlock),
        "oracle" => Box::new(Oracle::new(Box::new(SimulatedFleet(shared.clone())))),
        other => panic!("policy {other} does not exist"),
    }
}

/// Returns the targets of a deployment.
pub(crate) fn targets(deployment: &Deployment) -> Vec<Target> {
    let speeds = deployment.speeds.iter().enumerate();
    speeds
        .map(|(i, speed)| Target {
            upstream: format!("engine-{i}").parse().expect("valid in the model"),
            data_centre: format!("dc-{}", i % 3).parse().expect("valid in the model"),
            prefill_tokens_per_s: TokensPerS::new(*speed).expect("valid in the model"),
            decode_tokens_per_s: TokensPerS::new(50.0).expect("valid in the model"),
            max_batch: deployment.max_batch,
        })
        .collect()
}

/// Runs a simulation of a policy and returns its results.
pub(crate) fn run(
    policy: &'static str,
    deployment: &Deployment,
    fault: Fault,
    seed: u64,
) -> Figures {
    let import = deployment.kv_store.then(ImportCost::default);
    let settings = NestedSettings::builder()
        .routers(ROUTERS as u32)
        .maybe_import(import)
        .build();
    run_with(policy, settings, deployment, fault, seed)
}

/// Runs a simulation with the given settings of `nested`.
pub(crate) fn run_with(
    policy: &'static str,
    settings: NestedSettings,
    deployment: &Deployment,
    fault: Fault,
    seed: u64,
) -> Figures {
    let blocks = deployment.cache_blocks;
    let kv_store = deployment.kv_store;
    let engines = targets(deployment)
        .into_iter()
        .map(|t| Engine::new(t, blocks, kv_store));
    let shared: SharedState = Arc::new(Mutex::new((0.0, engines.collect())));
    let make: MakePolicy = Box::new(move |shared| make(policy, settings.clone(), shared));
    let mut fleet = Fleet {
        routers: (0..ROUTERS).map(|_| make(&shared)).collect(),
        make,
        shared,
        workload: Workload::new(deployment, seed),
        rng: seeded_rng(seed ^ 0x5eed),
        events: BinaryHeap::new(),
        sequence: 0,
        now: 0.0,
        fault,
        computed_before: HashSet::new(),
        store: kv_store.then(KvStore::default),
        figures: Figures::default(),
    };
    fleet.run()
}

impl Fleet {
    fn schedule(&mut self, time: f64, event: Event) {
        self.sequence += 1;
        let micros = (time * 1_000.0) as u64;
        self.events.push(Reverse((micros, self.sequence, event)));
    }

    fn is_measured(&self) -> bool {
        self.now >= WARM_UP_MS
    }

    fn time(&self) -> TimeMs {
        TimeMs(1_000_000 + self.now as u64)
    }

    fn engine<T>(&self, engine: usize, f: impl FnOnce(&mut Engine) -> T) -> T {
        f(&mut self.shared.lock().expect("valid in the model").1[engine])
    }

    fn run(&mut self) -> Figures {
        self.schedule(0.0, Event::Arrive);
        self.schedule(REPORT_MS, Event::Report);
        if self.fault != Fault::None {
            self.schedule(FAULT_MS, Event::Fault);
        }
        while let Some(Reverse((micros, _, event))) = self.events.pop() {
            self.now = micros as f64 / 1_000.0;
            self.shared.lock().expect("valid in the model").0 = self.now;
            if self.now > RUN_MS {
                break;
            }
            self.step(event);
        }
        let guard = self.shared.lock().expect("valid in the model");
        let busy: f64 = guard.1.iter().map(|e| e.busy_ms).sum();
        self.figures.busy = busy / RUN_MS / guard.1.len() as f64;
        self.figures.clone()
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                let router = self.rng.random_range(0..ROUTERS);
                let job = self.workload.request(router, self.now);
                self.place(job, None);
                let gap = self.workload.next_arrival_ms();
                self.schedule(self.now + gap, Event::Arrive);
            }
            Event::Report => {
                for router in 0..ROUTERS {
                    self.report_all(router);
                }
                self.schedule(self.now + REPORT_MS, Event::Report);
            }
            Event::PrefillEnd { engine, number } => self.prefill_end(engine, number),
            Event::DecodeEnd {
                engine,
                incarnation,
                job,
            } => {
                let done = self.engine(engine, |e| {
                    let at = (e.incarnation == incarnation)
                        .then(|| e.decoding.iter().position(|j| j.id == job));
                    at.flatten().map(|at| e.decoding.swap_remove(at))
                });
                if let Some(job) = done {
                    let upstream = self.engine(engine, |e| e.target.upstream.clone());
                    let now = self.time();
                    self.routers[job.router].observe(&Observation::Finished { upstream }, now);
                    self.start(engine);
                }
            }
            Event::Fault => self.inject_fault(),
            Event::Recover { engine } => self.engine(engine, |e| e.alive = true),
        }
    }

    fn inject_fault(&mut self) {
        match self.fault {
            Fault::None => {}
            Fault::Crash => {
                let engine = self.engine_with_most_work();
                let lost = self.engine(engine, Engine::crash);
                let upstream = self.engine(engine, |e| e.target.upstream.clone());
                let now = self.time();
                for router in &mut self.routers {
                    let upstream = upstream.clone();
                    router.observe(&Observation::CacheLost { upstream }, now);
                }
                for job in lost {
                    self.place(job, None);
                }
                self.schedule(self.now + OUTAGE_MS, Event::Recover { engine });
            }
            Fault::Slow => {
                for engine in self
                    .shared
                    .lock()
                    .expect("valid in the model")
                    .1
                    .iter_mut()
                    .step_by(3)
                {
                    engine.slowdown = 4.0;
                }
            }
            Fault::Shift => self.workload.shift(),
            Fault::Restart => {
                let make = &self.make;
                self.routers = (0..ROUTERS).map(|_| make(&self.shared)).collect();
            }
        }
    }

    fn engine_with_most_work(&self) -> usize {
        let guard = self.shared.lock().expect("valid in the model");
        let busy = |i: &usize| guard.1[*i].busy_ms;
        let all = 0..guard.1.len();
        all.max_by(|a, b| busy(a).total_cmp(&busy(b)))
            .expect("valid in the model")
    }

    fn report(&mut self, router: usize, engine: usize) {
        let now = self.now;
        let observation = self.engine(engine, |e| Observation::Report {
            upstream: e.target.upstream.clone(),
            queue_wait_ms: e.wait_times(now),
            running: (e.decoding.len() + usize::from(e.prefill.is_some())) as u32,
            queued: e.queues.iter().map(|q| q.len() as u32).sum(),
            prefill_tokens_per_s: e.measured(),
            warm: None,
        });
        let cached = self.engine(engine, |e| Observation::Cached {
            upstream: e.target.upstream.clone(),
            blocks: e.take_announcement(router),
        });
        let now = self.time();
        self.routers[router].observe(&observation, now);
        self.routers[router].observe(&cached, now);
    }

    fn report_all(&mut self, router: usize) {
        let count = self.shared.lock().expect("valid in the model").1.len();
        for engine in 0..count {
            if self.engine(engine, |e| e.alive) {
                self.report(router, engine);
            }
        }
    }

    fn place(&mut self, mut job: Job, hint: Option<UpstreamId>) {
        let targets: Vec<Target> = {
            let guard = self.shared.lock().expect("valid in the model");
            let alive = guard.1.iter().filter(|e| e.alive);
            alive.map(|e| e.target.clone()).collect()
        };
        let data_centre: dw_base::DataCentreId = format!("dc-{}", job.router % 3)
            .parse()
            .expect("valid in the model");
        let request = PlaceRequest {
            chain: Some(job.chain.clone()),
            priority: job.priority,
            budget_ms: DurationMs((job.deadline_ms - self.now).max(0.0) as u64),
            data_centre,
            hint,
            excluded: job.excluded.clone(),
            known: job.known.clone(),
        };
        let now = self.time();
        let router = &mut self.routers[job.router];
        let Some(decision) = router.place(&request, &targets, now, &mut self.rng) else {
            self.figures.lost += u64::from(self.is_measured());
            return;
        };
        let upstream = decision.upstream;
        let engine: usize = upstream.as_str()[7..].parse().expect("valid in the model");
        let expected = self.engine(engine, |e| {
            e.wait_ms(job.priority, self.now) + e.prefill_ms(&job.chain)
        });
        if self.is_cheaper_elsewhere(&decision.alternative, &job, engine) {
            self.report(job.router, engine);
            let known = self.engine(engine, |e| KnownCost {
                upstream,
                warm_depth: (e.cached_tokens(&job.chain) / BLOCK_TOKENS) as u32,
                wait_ms: DurationMs(e.wait_ms(job.priority, self.now) as u64),
            });
            job.known.push(known);
            self.figures.hops += u64::from(self.is_measured());
            return self.place(job, None);
        }
        if self.now + expected > job.deadline_ms {
            self.report(job.router, engine);
            job.excluded.push(upstream);
            if job.excluded.len() > 2 {
                self.figures.lost += u64::from(self.is_measured());
                return;
            }
            return self.place(job, None);
        }
        let sent = Observation::Sent {
            upstream,
            uncached_tokens: job.chain.prompt_tokens,
        };
        self.routers[job.router].observe(&sent, now);
        job.queued_ms = self.now;
        let now_ms = self.now;
        self.engine(engine, |e| e.push(job, now_ms));
        self.start(engine);
    }

    /// Returns whether the agent refuses a request because the router's second choice is cheaper.
    fn is_cheaper_elsewhere(&self, other: &Option<Alternative>, job: &Job, engine: usize) -> bool {
        let Some(other) = other.filter(|_| job.known.len() < MAX_HOPS) else {
            return false;
        };
        let cost = self.engine(engine, |e| {
            e.wait_ms(job.priority, self.now) + other.prefill_weight * e.prefill_ms(&job.chain)
        });
        cost > other.cost_ms.0 as f64 + HOP_MARGIN_MS
    }

    fn start(&mut self, engine: usize) {
        let now = self.now;
        let mut store = self.store.take();
        let started = self.engine(engine, |e| e.start(now, store.as_mut()));
        self.store = store;
        let Some(StartedPrefill {
            end,
            computed,
            imported,
            number,
        }) = started
        else {
            return;
        };
        let is_measured = self.is_measured();
        let guard = self.shared.lock().expect("valid in the model");
        let held = |(hash, stored): &&(u128, bool)| {
            let mut others = guard.1.iter().enumerate();
            *stored || others.any(|(i, e)| i != engine && e.holds(*hash))
        };
        let wasted = computed.iter().filter(held).count() as u64;
        drop(guard);
        let new = computed
            .iter()
            .filter(|(hash, _)| self.computed_before.insert(*hash))
            .count();
        if is_measured {
            self.figures.imported_tokens += imported as u64 * BLOCK_TOKENS;
            self.figures.wasted_tokens += wasted * BLOCK_TOKENS;
            self.figures.repeated_tokens += (computed.len() - new) as u64 * BLOCK_TOKENS;
        }
        self.schedule(end, Event::PrefillEnd { engine, number });
    }

    fn prefill_end(&mut self, engine: usize, number: u64) {
        let taken = self.engine(engine, |e| {
            let prefill = (e.number == number).then(|| e.prefill.take()).flatten();
            if let Some((job, _, _)) = &prefill {
                e.decoding.push(job.clone());
            }
            prefill.map(|p| (p, e.target.upstream.clone(), e.target.data_centre.clone()))
        });
        let Some(((job, cached, _), upstream, data_centre)) = taken else {
            return;
        };
        let remote = data_centre.as_str() != format!("dc-{}", job.router % 3);
        let network = if remote { REMOTE_LATENCY_MS } else { 0.0 };
        let hops_ms = job.known.len() as f64 * 2.0 * REMOTE_LATENCY_MS;
        let first_token = self.now - job.arrived_ms + network + hops_ms;
        if self.is_measured() {
            self.figures.answered += 1;
            self.figures.prompt_tokens += job.chain.prompt_tokens.0;
            self.figures.cached_tokens += cached;
            match job.priority {
                Priority::Urgent => self.figures.urgent_ms.push(first_token),
                _ => self.figures.normal_ms.push(first_token),
            }
        }
        let since_queued = self.now - job.queued_ms;
        let uncached = job.chain.prompt_tokens.0 - cached;
        let speed = self.engine(engine, |e| e.target.prefill_tokens_per_s.get() / e.slowdown);
        let prefill = uncached as f64 * 1_000.0 / speed;
        let observation = Observation::FirstToken {
            upstream,
            chain: job.chain.clone(),
            cached_tokens: Tokens(cached),
            queued_ms: DurationMs((since_queued - prefill).max(0.0) as u64),
            first_token_ms: DurationMs((since_queued + network) as u64),
        };
        let now = self.time();
        self.routers[job.router].observe(&observation, now);
        self.report(job.router, engine);
        let end = self.now + job.decode_ms;
        let incarnation = self.engine(engine, |e| e.incarnation);
        let event = Event::DecodeEnd {
            engine,
            incarnation,
            job: job.id,
        };
        self.schedule(end, event);
        self.start(engine);
    }
}

//! A small fleet of engines under long and short prompts, for tests of placement.
//!
//! Engines read prompts in the order of arrival, whatever their priority. Many routers place them, and
//! know of each other's only what was outstanding a while ago. Shared parts that were read once can be
//! fetched from a store.

mod outcome;

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::ops::Range;

use dw_base::Bytes;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_place::Direct;
use dw_place::DirectRequest;
use dw_place::DirectSettings;
use dw_place::DirectTarget;
use dw_place::SentRequest;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

pub(crate) use outcome::scenario;
pub(crate) use outcome::Kind;
pub(crate) use outcome::Outcome;
pub(crate) use outcome::Scenario;

const ROUTERS: usize = 30;
const ENGINES: usize = 24;
/// Speed of an engine of factor 1.
const TOKENS_PER_MS: f64 = 75.0;
const REPORT_EVERY_MS: u64 = 20;
/// Number of intervals by which reports are late.
const REPORTS_LATE: usize = 8;
const BASE_LATENCY_MS: u64 = 20;
/// Part of the time to read a token that fetching it takes.
const FETCH_PART: f64 = 0.2;
/// Length of a slow moment, the part of them that are slow, and the factor.
const SLOW_MS: u64 = 600;
const SLOW_PART: f64 = 0.15;
const SLOW_FACTOR: f64 = 2.5;
/// Wait after which callers give up.
const GIVE_UP_MS: DurationMs = DurationMs(3_200);
const LENGTH_MS: u64 = 10_000;
const LOST_AT_MS: u64 = 4_000;
const WAVE_MS: Range<u64> = 3_000..5_000;

struct Job {
    kind: Kind,
    left: f64,
    arrived: TimeMs,
    router: usize,
    sent: SentRequest,
}

struct Engine {
    id: UpstreamId,
    speed: f64,
    slow_until: u64,
    cached: HashSet<u64>,
    queue: VecDeque<Job>,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    engines: Vec<Engine>,
    routers: Vec<Direct>,
    data_centre: DataCentreId,
    rng: StdRng,
    outcome: Outcome,
    next_own: u64,
    stored: HashSet<u64>,
    past: HashMap<UpstreamId, VecDeque<Vec<u64>>>,
}

fn objective_ms(kind: Kind) -> DurationMs {
    match kind {
        Kind::Short => DurationMs(400),
        Kind::Long => DurationMs(600),
    }
}

/// Plays ten seconds.
pub(crate) fn play(scenario: &Scenario, settings: &DirectSettings) -> Outcome {
    let engine = |at: usize| Engine {
        id: engine_id(at),
        speed: scenario.speeds[at % scenario.speeds.len()] * TOKENS_PER_MS,
        slow_until: 0,
        cached: HashSet::new(),
        queue: VecDeque::new(),
    };
    let router = |_| Direct::new(settings.clone());
    let mut fleet = Fleet {
        scenario,
        engines: (0..ENGINES).map(engine).collect(),
        routers: (0..ROUTERS).map(router).collect(),
        data_centre: "dc".parse().expect("test data is valid"),
        rng: StdRng::seed_from_u64(7),
        outcome: Outcome::default(),
        next_own: 1 << 32,
        stored: HashSet::new(),
        past: HashMap::new(),
    };
    for ms in 0..LENGTH_MS {
        fleet.tick(TimeMs(1_000_000 + ms), ms);
    }
    fleet.outcome
}

fn engine_id(at: usize) -> UpstreamId {
    format!("e{at}").parse().expect("test data is valid")
}

impl Fleet<'_> {
    fn tick(&mut self, now: TimeMs, ms: u64) {
        if let Some(lost) = self.scenario.lost.filter(|_| ms == LOST_AT_MS) {
            let engine = self.engines.remove(lost);
            for job in engine.queue {
                self.routers[job.router].record_abandoned(&engine.id, &job.sent);
            }
        }
        if ms.is_multiple_of(REPORT_EVERY_MS) {
            self.report(now);
        }
        let is_wave = WAVE_MS.contains(&ms);
        let wave = if is_wave { self.scenario.wave } else { 1.0 };
        let rates = [
            (Kind::Short, self.scenario.short_per_s),
            (Kind::Long, self.scenario.long_per_s * wave),
        ];
        for (kind, per_s) in rates {
            let arrivals = per_s / 1_000.0;
            let more = self.rng.random_bool(arrivals.fract());
            for _ in 0..arrivals as u32 + u32::from(more) {
                self.arrive(kind, now);
            }
        }
        for at in 0..self.engines.len() {
            self.work(at, now, ms);
        }
    }

    /// Tells each router what the others had outstanding, and the speeds that all have measured.
    fn report(&mut self, now: TimeMs) {
        for engine in &self.engines {
            let id = &engine.id;
            let routers = self.routers.iter_mut();
            let own = routers.map(|r| r.load_mut(id).own_tokens().0).collect();
            let past = self.past.entry(id.clone()).or_default();
            past.push_back(own);
            if past.len() > REPORTS_LATE {
                past.pop_front();
            }
            let speeds: Vec<MeasuredSpeeds> = self
                .routers
                .iter_mut()
                .map(|r| r.load_mut(id).measured_speeds())
                .collect();
            let measured = MeasuredSpeeds {
                single_prompts: speeds.iter().map(|s| s.single_prompts).sum(),
                queued_prompts: speeds.iter().map(|s| s.queued_prompts).sum(),
            };
            let all: u64 = past[0].iter().sum();
            for (router, own) in self.routers.iter_mut().zip(&past[0]) {
                let load = router.load_mut(id);
                load.set_other_tokens(Tokens(all - own), now);
                load.set_measured_speeds(measured);
            }
        }
    }

    /// Returns a number of tokens around `median`, of which a few are many times as large.
    fn heavy(&mut self, median: f64, most: f64) -> u64 {
        let sum: f64 = (0..12).map(|_| self.rng.random_range(0.0..1.0)).sum();
        (median * (sum - 6.0).exp()).clamp(16.0, most) as u64
    }

    fn prompt(&mut self, kind: Kind) -> Vec<PromptPart> {
        let part = |id, tokens| PromptPart {
            id,
            tokens: Tokens(tokens),
        };
        self.next_own += 1;
        let own = self.next_own;
        match kind {
            Kind::Short => {
                let (a, b) = (self.rng.random_range(0..40), self.rng.random_range(0..400));
                vec![
                    part(1_000 + a, 341),
                    part(100_000 + a * 1_000 + b, 227),
                    part(own, self.heavy(1_100.0, 6_870.0)),
                ]
            }
            Kind::Long => {
                let a = self.rng.random_range(0..100);
                vec![
                    part(1, 512),
                    part(2_000 + a, 4_870),
                    part(own, self.heavy(4_000.0, 54_600.0)),
                ]
            }
        }
    }

    fn arrive(&mut self, kind: Kind, now: TimeMs) {
        let prompt = self.prompt(kind);
        let router = self.rng.random_range(0..ROUTERS);
        let targets: Vec<DirectTarget<'_>> = self
            .engines
            .iter()
            .map(|engine| DirectTarget {
                upstream: &engine.id,
                data_centre: &self.data_centre,
                slots: 32,
                kv_capacity: Some(Tokens(172_000)),
                weights: Some(WeightsVersion(1)),
                old_weights: false,
                cached_parts: None,
                loads_soon: false,
                limited: false,
                failure_rate: 0.0,
            })
            .collect();
        let stored_parts = prompt
            .iter()
            .take_while(|part| self.stored.contains(&part.id));
        let stored_tokens = Tokens(stored_parts.map(|part| part.tokens.0).sum());
        let stored = |_| stored_tokens;
        let request = DirectRequest {
            prompt: &prompt,
            scope: "m",
            data_centre: &self.data_centre,
            objective_ms: objective_ms(kind),
            bytes: Bytes(13_000),
            output_tokens: Tokens(20),
            stored: &stored,
            mixed_objective_ms: Some(objective_ms(kind)),
        };
        let choice = self.routers[router]
            .place(&request, &targets, now)
            .expect("there are engines");
        let sent = self.routers[router].record_sent(&choice, "m", &prompt, now);
        let engine = self.engines.iter_mut().find(|e| e.id == choice.upstream);
        let engine = engine.expect("it is a target");
        let mut left = 0;
        let (own, shared) = prompt.split_last().expect("it has parts");
        for part in shared {
            if !engine.cached.insert(part.id) {
                continue;
            }
            if self.stored.insert(part.id) {
                left += part.tokens.0;
            } else {
                self.outcome.read_again_tokens += part.tokens.0;
                left += (part.tokens.0 as f64 * FETCH_PART) as u64;
            }
        }
        left += own.tokens.0;
        // Attention makes long prompts dearer.
        let left = left as f64 * (1.0 + left as f64 * 0.000_012);
        engine.queue.push_back(Job {
            kind,
            left,
            arrived: now,
            router,
            sent,
        });
        self.outcome.of(kind).asked += 1;
    }

    fn work(&mut self, at: usize, now: TimeMs, ms: u64) {
        if self.scenario.is_noisy && ms.is_multiple_of(SLOW_MS) && self.rng.random_bool(SLOW_PART) {
            self.engines[at].slow_until = ms + SLOW_MS;
        }
        let engine = &mut self.engines[at];
        let is_slow = ms < engine.slow_until;
        let mut budget = if is_slow {
            engine.speed / SLOW_FACTOR
        } else {
            engine.speed
        };
        while let Some(job) = engine.queue.front_mut() {
            let read = budget.min(job.left);
            budget -= read;
            job.left -= read;
            if job.left > 0.0 {
                return;
            }
            let Some(job) = engine.queue.pop_front() else {
                return;
            };
            let router = &mut self.routers[job.router];
            let first = now + DurationMs(BASE_LATENCY_MS);
            router.record_first_token(&engine.id, &job.sent, first);
            router.record_ended(&engine.id);
            if first.since(job.arrived) > GIVE_UP_MS {
                self.outcome.of(job.kind).given_up += 1;
            }
            let is_in_aim = first.since(job.arrived) <= objective_ms(job.kind);
            self.outcome.of(job.kind).in_aim += u32::from(is_in_aim);
        }
    }
}

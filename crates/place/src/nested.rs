//! Nested weighted rendezvous hashing, with expected time to first token deciding among the homes.

use std::collections::HashMap;

use bon::Builder;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Fingerprint;
use dw_base::Priority;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::BLOCK_TOKENS;

use crate::cost::prefill_ms;
use crate::cost::Cost;
use crate::cost::ImportCost;
use crate::decision::Alternative;
use crate::decision::Candidate;
use crate::decision::Decision;
use crate::heat::HeatSketch;
use crate::homes::keep_preferred;
use crate::load::Upstream;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Most levels of a chain that are looked at; bounds the work of one placement.
pub(crate) const MAX_LEVELS: usize = 24;

/// Non-homes that are considered beside the homes.
const NON_HOMES: usize = 2;

/// An upstream that has not been a candidate for this long is forgotten.
const FORGET_UPSTREAM: DurationMs = DurationMs(600_000);

/// Assumed probability that the first home holds a prefix, whatever this router's hints say.
///
/// Other routers use the same home, and a computation there is of use to them. With 0.5, and only
/// without hints, each router kept to its own non-home and the hit rate was far lower.
const HOME_PRIOR: f64 = 1.0;

/// The same for urgent requests, which need an estimate rather than an investment.
const URGENT_HOME_PRIOR: f64 = 0.5;

/// Settings of [`Nested`].
#[derive(Builder, Clone, Debug)]
pub struct NestedSettings {
    /// Routers that share the traffic; scales the heat that one router sees.
    #[builder(default = 1)]
    pub routers: u32,
    /// Width of a home set before its heat is known.
    #[builder(default = 1)]
    pub initial_homes: u8,
    /// How much the computation counts for non-urgent requests, relative to their waiting time.
    ///
    /// Computation also delays later requests of the upstream and evicts their prefixes.
    #[builder(default = 3.0)]
    pub computation_weight: f64,
    /// The same for urgent requests.
    #[builder(default = 1.0)]
    pub urgent_computation_weight: f64,
    /// Network time to an upstream in another data centre.
    #[builder(default = 3.0)]
    pub remote_network_ms: f64,
    /// Cost of an import from the store of saved cache, if there is one.
    pub import: Option<ImportCost>,
}

impl NestedSettings {
    /// Returns the settings for agents that exchange pieces through a KV store.
    pub fn with_kv_store() -> Self {
        NestedSettings::builder()
            .import(ImportCost::default())
            .build()
    }
}

/// The placement policy of the product.
#[derive(Debug)]
pub struct Nested {
    settings: NestedSettings,
    heat: HeatSketch,
    numbers: HashMap<UpstreamId, u16>,
    upstreams: HashMap<u16, Upstream>,
    next_number: u16,
}

/// What one placement works with.
struct Round<'a> {
    now: TimeMs,
    targets: Vec<&'a Target>,
    numbers: Vec<u16>,
    weights: Vec<f64>,
    /// Homes at the deepest level, the preferred one first.
    homes: Vec<usize>,
    /// For each target, the number of levels whose home set has it.
    home_levels: Vec<usize>,
}

impl Nested {
    /// Creates the policy without any hints.
    pub fn new(settings: NestedSettings) -> Self {
        Nested {
            settings,
            heat: HeatSketch::new(),
            numbers: HashMap::new(),
            upstreams: HashMap::new(),
            next_number: 0,
        }
    }

    /// Returns the size of the hints, without the upstreams' names.
    pub fn state_bytes(&self) -> usize {
        let upstream = size_of::<Upstream>() + size_of::<UpstreamId>() + 2 * size_of::<u16>();
        self.heat.size_bytes() + self.upstreams.len() * upstream
    }

    /// Returns the home set of a chain, the preferred upstream first.
    pub fn homes(&mut self, chain: &Chain, targets: &[Target], now: TimeMs) -> Vec<UpstreamId> {
        let round = self.round(Some(chain), targets.iter().collect(), now);
        let name = |i: &usize| round.targets[*i].upstream.clone();
        round.homes.iter().map(name).collect()
    }

    fn number(&mut self, upstream: &UpstreamId, now: TimeMs) -> u16 {
        if let Some(number) = self.numbers.get(upstream) {
            return *number;
        }
        self.forget_upstreams(now);
        let number = self.next_number;
        // The greatest number marks an unused hint.
        self.next_number = (self.next_number + 1) % u16::MAX;
        self.heat.cool(number);
        self.numbers.retain(|_, n| *n != number);
        self.numbers.insert(upstream.clone(), number);
        self.upstreams.insert(number, Upstream::new(now));
        number
    }

    fn forget_upstreams(&mut self, now: TimeMs) {
        self.upstreams
            .retain(|_, state| now.since(state.seen) < FORGET_UPSTREAM);
        let upstreams = &self.upstreams;
        self.numbers.retain(|_, n| upstreams.contains_key(n));
    }

    fn state(&mut self, upstream: &UpstreamId, now: TimeMs) -> (u16, &mut Upstream) {
        let number = self.number(upstream, now);
        let state = self.upstreams.entry(number);
        (number, state.or_insert_with(|| Upstream::new(now)))
    }

    fn round<'a>(
        &mut self,
        chain: Option<&Chain>,
        targets: Vec<&'a Target>,
        now: TimeMs,
    ) -> Round<'a> {
        let mut numbers = Vec::with_capacity(targets.len());
        let mut weights = Vec::with_capacity(targets.len());
        for target in &targets {
            let (number, state) = self.state(&target.upstream, now);
            state.seen = now;
            let speed = state.speed.weight_tokens_per_s(target.prefill_tokens_per_s);
            numbers.push(number);
            weights.push(speed * f64::from(target.max_batch.max(1)));
        }
        let mut round = Round {
            now,
            homes: (0..targets.len()).collect(),
            home_levels: vec![0; targets.len()],
            targets,
            numbers,
            weights,
        };
        if let Some(chain) = chain {
            for key in levels(chain) {
                let width = self.width(key, now);
                let (targets, weights) = (&round.targets, &round.weights);
                keep_preferred(&mut round.homes, key, width, targets, weights);
                for home in &round.homes {
                    round.home_levels[*home] += 1;
                }
            }
        }
        round
    }

    fn width(&self, key: BlockHash, now: TimeMs) -> usize {
        let learned = self
            .heat
            .get(key.fingerprint(), now)
            .map_or(0, |prefix| prefix.width);
        usize::from(match learned {
            0 => self.settings.initial_homes,
            width => width,
        })
    }

    /// Returns the tokens of the request's chain that the target is expected to have cached.
    fn cached_tokens(
        &self,
        request: &PlaceRequest,
        round: &Round<'_>,
        at: usize,
        prior: Prior,
    ) -> f64 {
        let Some(chain) = &request.chain else {
            return 0.0;
        };
        if let Some(known) = request.known(&round.targets[at].upstream) {
            return f64::from(known.warm_depth) * BLOCK_TOKENS as f64;
        }
        let urgent = request.priority == Priority::Urgent;
        let number = round.numbers[at];
        let Some(state) = self.upstreams.get(&number) else {
            return 0.0;
        };
        let rank = round.homes.iter().position(|home| *home == at);
        let prior = match (prior, urgent) {
            (Prior::Estimate, _) => 0.0f64,
            (Prior::Preference, true) => URGENT_HOME_PRIOR,
            (Prior::Preference, false) => HOME_PRIOR,
        }
        .powi(rank.unwrap_or(round.homes.len()) as i32 + 1);
        let mut cached = 0.0;
        let mut probability: f64 = 1.0;
        for (level, hash) in chain.blocks.iter().take(MAX_LEVELS).enumerate() {
            let prefix = self.heat.get(hash.fingerprint(), round.now);
            let age = prefix.and_then(|prefix| prefix.warm_age_ms(number, round.now));
            let hinted = age.map_or(0.0, |age| state.survival(age));
            let here = match level < round.home_levels[at] {
                true => hinted.max(prior),
                false => hinted,
            };
            probability = probability.min(here);
            cached += probability * BLOCK_TOKENS as f64;
        }
        cached
    }

    fn cost(&self, request: &PlaceRequest, round: &Round<'_>, at: usize, prior: Prior) -> Cost {
        let target = round.targets[at];
        let state = self.upstreams.get(&round.numbers[at]);
        let declared = target.prefill_tokens_per_s;
        let speed = state.map_or(declared.get(), |s| s.speed.tokens_per_s(declared));
        let uncached = request.chain.as_ref().map_or(0.0, |chain| {
            chain.prompt_tokens.0 as f64 - self.cached_tokens(request, round, at, prior)
        });
        Cost {
            wait_ms: match request.known(&target.upstream) {
                Some(known) => known.wait_ms.0 as f64,
                None => state.map_or(0.0, |s| s.wait_ms(request.priority, round.now)),
            },
            prefill_ms: prefill_ms(uncached.max(0.0), speed, self.settings.import),
            network_ms: match target.data_centre == request.data_centre {
                true => 0.0,
                false => self.settings.remote_network_ms,
            },
        }
    }

    /// Returns what decides: the expected time, with the computation weighted.
    fn score(&self, cost: &Cost, priority: Priority) -> f64 {
        cost.first_token_ms() + (self.weight(priority) - 1.0) * cost.prefill_ms
    }

    fn weight(&self, priority: Priority) -> f64 {
        match priority {
            Priority::Urgent => self.settings.urgent_computation_weight,
            _ => self.settings.computation_weight,
        }
    }

    /// Returns the considered targets with their scores, the best first.
    fn rank(&self, request: &PlaceRequest, round: &Round<'_>) -> Vec<Ranked> {
        let mut all: Vec<Ranked> = (0..round.targets.len())
            .map(|at| {
                let cost = self.cost(request, round, at, Prior::Preference);
                Ranked {
                    at,
                    rank: round.homes.iter().position(|home| *home == at),
                    score: self.score(&cost, request.priority),
                    cost,
                }
            })
            .collect();
        all.sort_by(|a, b| {
            let key = |r: &Ranked| r.rank.unwrap_or(usize::MAX);
            let names = || {
                let name = |r: &Ranked| &round.targets[r.at].upstream;
                name(a).cmp(name(b))
            };
            a.score
                .total_cmp(&b.score)
                .then_with(|| key(a).cmp(&key(b)))
                .then_with(names)
        });
        let mut strangers = 0;
        all.retain(|ranked| {
            let hinted = request.hint.as_ref() == Some(&round.targets[ranked.at].upstream);
            strangers += usize::from(ranked.rank.is_none());
            ranked.rank.is_some() || hinted || strangers <= NON_HOMES
        });
        all
    }

    /// Adds the request to the heat of its prefixes and adapts their widths.
    fn learn_heat(&mut self, chain: &Chain, round: &Round<'_>, best: &Ranked, now: TimeMs) {
        let speed = |at: &usize| {
            let target = round.targets[*at];
            let state = self.upstreams.get(&round.numbers[*at]);
            let declared = target.prefill_tokens_per_s;
            state.map_or(declared.get(), |s| s.speed.tokens_per_s(declared))
        };
        let speeds: Vec<f64> = (0..round.targets.len()).map(|at| speed(&at)).collect();
        let mut set: Vec<usize> = (0..round.targets.len()).collect();
        for key in levels(chain) {
            let width = self.width(key, now);
            keep_preferred(&mut set, key, width, &round.targets, &round.weights);
            let capacity: f64 = set.iter().map(|at| speeds[*at]).sum();
            let routers = f64::from(self.settings.routers);
            let prefix = self.heat.add(key.fingerprint(), 0.0, now);
            let utilisation = prefix.work_tokens_per_s(now) * routers / capacity;
            prefix.adapt(
                width,
                utilisation,
                usize::from(self.settings.initial_homes),
                now,
            );
            prefix.warm(round.numbers[best.at], now);
        }
    }

    /// Learns that an upstream holds some prefixes, after some computation.
    fn learn_warm(
        &mut self,
        number: u16,
        keys: impl Iterator<Item = Fingerprint>,
        computed_tokens: f64,
        now: TimeMs,
    ) {
        for key in keys {
            self.heat.add(key, computed_tokens, now).warm(number, now);
        }
    }

    /// Remembers what the hints say about a request, to compare it with the answer.
    fn probe(&mut self, chain: &Chain, number: u16, now: TimeMs) {
        let heat = &self.heat;
        let blocks = chain.blocks.iter().take(MAX_LEVELS);
        let ages = blocks.map(|hash| heat.get(hash.fingerprint(), now)?.warm_age_ms(number, now));
        if let Some(state) = self.upstreams.get_mut(&number) {
            state.probe(probe_key(chain), ages, now);
        }
    }
}

/// Returns what identifies a request among the few that are remembered.
fn probe_key(chain: &Chain) -> u64 {
    let last = chain.blocks.last().unwrap_or(&chain.root);
    last.0 as u64 ^ chain.prompt_tokens.0
}

/// How likely a home holds a prefix that no hint tells of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Prior {
    /// As the placement prefers it, so that routers agree on homes.
    Preference,
    /// Not at all: what this router knows.
    Estimate,
}

/// A considered target.
struct Ranked {
    at: usize,
    rank: Option<usize>,
    score: f64,
    cost: Cost,
}

/// Returns the keys of a chain, the shallowest first.
fn levels(chain: &Chain) -> impl Iterator<Item = BlockHash> + '_ {
    let short = chain.blocks.is_empty().then_some(chain.root);
    short
        .into_iter()
        .chain(chain.blocks.iter().take(MAX_LEVELS).copied())
}

fn candidate(round: &Round<'_>, ranked: &Ranked, estimate: &Cost, cached: f64) -> Candidate {
    let ms = |value: f64| DurationMs(value.round() as u64);
    Candidate {
        upstream: round.targets[ranked.at].upstream.clone(),
        home: ranked.rank.is_some(),
        warm_depth: (cached / BLOCK_TOKENS as f64).round() as u32,
        wait_ms: ms(estimate.wait_ms),
        prefill_ms: ms(estimate.prefill_ms),
        network_ms: ms(estimate.network_ms),
        first_token_ms: ms(estimate.first_token_ms()),
        preferred_ms: ms(ranked.cost.first_token_ms()),
    }
}

impl Policy for Nested {
    fn name(&self) -> &'static str {
        "nested"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        now: TimeMs,
        _rng: &mut Rng,
    ) -> Option<Decision> {
        let allowed = targets
            .iter()
            .filter(|target| !request.excluded.contains(&target.upstream))
            .collect();
        let round = self.round(request.chain.as_ref(), allowed, now);
        let ranked = self.rank(request, &round);
        let best = ranked.first()?;
        let candidates: Vec<Candidate> = ranked
            .iter()
            .map(|one| {
                let estimate = Prior::Estimate;
                let cached = self.cached_tokens(request, &round, one.at, estimate);
                let cost = self.cost(request, &round, one.at, estimate);
                candidate(&round, one, &cost, cached)
            })
            .collect();
        if let Some(state) = self.upstreams.get_mut(&round.numbers[best.at]) {
            state.sent(request.priority, best.cost.prefill_ms);
        }
        if let Some(chain) = &request.chain {
            self.probe(chain, round.numbers[best.at], now);
            self.learn_heat(chain, &round, best, now);
        }
        let place = match best.rank {
            Some(rank) => format!("home {} of {}", rank + 1, round.homes.len()),
            None => "non-home, preferred to every home".to_owned(),
        };
        let expected_ms = candidates.first()?.first_token_ms.0;
        let preferred_ms = candidates.first()?.preferred_ms.0;
        let counted = match preferred_ms == expected_ms {
            true => String::new(),
            false => format!(", counted as {preferred_ms} ms because homes are preferred"),
        };
        Some(Decision {
            policy: self.name().to_owned(),
            upstream: round.targets[best.at].upstream.clone(),
            reason: format!("{place}, first token expected in {expected_ms} ms{counted}"),
            candidates,
            alternative: ranked.get(1).map(|second| Alternative {
                cost_ms: DurationMs(second.score.round() as u64),
                prefill_weight: self.weight(request.priority),
            }),
        })
    }

    fn set_routers(&mut self, routers: u32) {
        self.settings.routers = routers.max(1);
    }

    fn observe(&mut self, observation: &Observation, now: TimeMs) {
        match observation {
            // Work is counted by `place`, which knows its priority.
            Observation::Sent { .. } | Observation::Finished { .. } => {}
            Observation::FirstToken {
                upstream,
                chain,
                cached_tokens,
                queued_ms,
                first_token_ms,
            } => {
                let Tokens(all) = chain.prompt_tokens;
                let prefill = first_token_ms.saturating_sub(*queued_ms);
                let uncached = all.saturating_sub(cached_tokens.0);
                let (number, state) = self.state(upstream, now);
                state.answered(probe_key(chain), (cached_tokens.0 / BLOCK_TOKENS) as usize);
                state.speed.measured(uncached, prefill.0);
                self.learn_warm(
                    number,
                    levels(chain).map(BlockHash::fingerprint),
                    uncached as f64,
                    now,
                );
            }
            Observation::Report {
                upstream,
                queue_wait_ms,
                prefill_tokens_per_s,
                warm,
                ..
            } => {
                let (_, state) = self.state(upstream, now);
                state.report(queue_wait_ms, now);
                state.speed.reported(*prefill_tokens_per_s);
                if let Some((chain, depth)) = warm {
                    let number = self.number(upstream, now);
                    let held = (*depth as usize).min(MAX_LEVELS);
                    let keys = chain.blocks.iter().take(held).map(|b| b.fingerprint());
                    self.learn_warm(number, keys, 0.0, now);
                }
            }
            Observation::Cached { upstream, blocks } => {
                let number = self.number(upstream, now);
                self.learn_warm(number, blocks.iter().copied(), 0.0, now);
            }
            Observation::CacheLost { upstream } => {
                let number = self.number(upstream, now);
                self.heat.cool(number);
            }
        }
    }
}

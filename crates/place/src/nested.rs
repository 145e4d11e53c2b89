//! Nested weighted rendezvous hashing; the expected time to first token decides among the homes.

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
use crate::load::UpstreamState;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Maximum number of levels of a chain that are considered; bounds the work of one placement.
pub(crate) const MAX_LEVELS: usize = 24;

/// Maximum number of upstreams considered in addition to the homes.
const MAX_NON_HOMES: usize = 2;

/// Upstreams that have not been candidates for this long are removed.
const UPSTREAM_EXPIRY: DurationMs = DurationMs(600_000);

/// Minimum for the probability that a home has the prefix cached, applied regardless of hints; the
/// home at position n counts with the power n + 1.
///
/// Other routers use the same home and benefit from a computation there. With 0.5, applied only to
/// prefixes without hints, each router stayed with its own non-home and the hit rate was far lower.
const HOME_PRIOR: f64 = 1.0;

/// The same for urgent requests, for which their own expected time matters more than the benefit
/// of later requests.
const URGENT_HOME_PRIOR: f64 = 0.5;

/// Settings of [`Nested`].
#[derive(Builder, Clone, Debug)]
pub struct NestedSettings {
    /// Number of routers that share the traffic; scales the heat measured by one router.
    #[builder(default = 1)]
    pub routers: u32,
    /// Initial width of a home set.
    #[builder(default = 1)]
    pub initial_homes: u8,
    /// Weight of the prefill time of non-urgent requests, relative to their waiting time.
    ///
    /// A prefill also delays later requests at the upstream and evicts their prefixes.
    #[builder(default = 3.0)]
    pub computation_weight: f64,
    /// The same for urgent requests.
    #[builder(default = 1.0)]
    pub urgent_computation_weight: f64,
    /// Network time to an upstream in another data centre.
    #[builder(default = 3.0)]
    pub remote_network_ms: f64,
    /// Cost of an import from the KV store, if there is one.
    pub import: Option<ImportCost>,
}

impl NestedSettings {
    /// Returns the settings for agents that exchange blocks through a KV store.
    pub fn with_kv_store() -> Self {
        NestedSettings::builder()
            .import(ImportCost::default())
            .build()
    }
}

/// Default placement policy: nested home sets with load-dependent width.
#[derive(Debug)]
pub struct Nested {
    settings: NestedSettings,
    heat: HeatSketch,
    numbers: HashMap<UpstreamId, u16>,
    upstreams: HashMap<u16, UpstreamState>,
    next_number: u16,
}

/// Inputs and home sets of one placement.
struct PlacementContext<'a> {
    now: TimeMs,
    targets: Vec<&'a Target>,
    /// Number of each target's upstream.
    numbers: Vec<u16>,
    /// Rendezvous weight of each target.
    weights: Vec<f64>,
    /// Targets in the home set of the deepest level, preferred one first.
    homes: Vec<usize>,
    /// For each target, the number of levels whose home set contains it.
    home_levels: Vec<usize>,
}

impl Nested {
    /// Creates the policy with no recorded state.
    pub fn new(settings: NestedSettings) -> Self {
        Nested {
            settings,
            heat: HeatSketch::new(),
            numbers: HashMap::new(),
            upstreams: HashMap::new(),
            next_number: 0,
        }
    }

    /// Returns the size of the state, without the upstreams' names.
    pub fn state_bytes(&self) -> usize {
        let upstream = size_of::<UpstreamState>() + size_of::<UpstreamId>() + 2 * size_of::<u16>();
        self.heat.size_bytes() + self.upstreams.len() * upstream
    }

    /// Returns the home set of a chain, preferred upstream first.
    pub fn homes(&mut self, chain: &Chain, targets: &[Target], now: TimeMs) -> Vec<UpstreamId> {
        let context = self.context(Some(chain), targets.iter().collect(), now);
        let name = |i: &usize| context.targets[*i].upstream.clone();
        context.homes.iter().map(name).collect()
    }

    /// Returns the number that stands for an upstream in hints, assigning one if necessary.
    fn number(&mut self, upstream: &UpstreamId, now: TimeMs) -> u16 {
        if let Some(number) = self.numbers.get(upstream) {
            return *number;
        }
        self.remove_expired_upstreams(now);
        let number = self.next_number;
        // The largest number marks an unused hint.
        self.next_number = (self.next_number + 1) % u16::MAX;
        self.heat.clear_hints(number);
        self.numbers.retain(|_, n| *n != number);
        self.numbers.insert(upstream.clone(), number);
        self.upstreams.insert(number, UpstreamState::new(now));
        number
    }

    fn remove_expired_upstreams(&mut self, now: TimeMs) {
        self.upstreams
            .retain(|_, state| now.since(state.last_seen) < UPSTREAM_EXPIRY);
        let upstreams = &self.upstreams;
        self.numbers.retain(|_, n| upstreams.contains_key(n));
    }

    fn state(&mut self, upstream: &UpstreamId, now: TimeMs) -> (u16, &mut UpstreamState) {
        let number = self.number(upstream, now);
        let state = self.upstreams.entry(number);
        (number, state.or_insert_with(|| UpstreamState::new(now)))
    }

    fn context<'a>(
        &mut self,
        chain: Option<&Chain>,
        targets: Vec<&'a Target>,
        now: TimeMs,
    ) -> PlacementContext<'a> {
        let mut numbers = Vec::with_capacity(targets.len());
        let mut weights = Vec::with_capacity(targets.len());
        for target in &targets {
            let (number, state) = self.state(&target.upstream, now);
            state.last_seen = now;
            let speed = state.speed.weight_tokens_per_s(target.prefill_tokens_per_s);
            numbers.push(number);
            weights.push(speed * f64::from(target.max_batch.max(1)));
        }
        let mut context = PlacementContext {
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
                let (targets, weights) = (&context.targets, &context.weights);
                keep_preferred(&mut context.homes, key, width, targets, weights);
                for home in &context.homes {
                    context.home_levels[*home] += 1;
                }
            }
        }
        context
    }

    fn width(&self, key: BlockHash, now: TimeMs) -> usize {
        let recorded = self
            .heat
            .get(key.fingerprint(), now)
            .map_or(0, |prefix| prefix.width);
        usize::from(match recorded {
            0 => self.settings.initial_homes,
            width => width,
        })
    }

    /// Returns the tokens of the request's chain that the target is expected to have cached.
    fn cached_tokens(
        &self,
        request: &PlaceRequest,
        context: &PlacementContext<'_>,
        at: usize,
        prior: HomePrior,
    ) -> f64 {
        let Some(chain) = &request.chain else {
            return 0.0;
        };
        if let Some(known) = request.known(&context.targets[at].upstream) {
            return f64::from(known.warm_depth) * BLOCK_TOKENS as f64;
        }
        let urgent = request.priority == Priority::Urgent;
        let number = context.numbers[at];
        let Some(state) = self.upstreams.get(&number) else {
            return 0.0;
        };
        let home_position = context.homes.iter().position(|home| *home == at);
        let prior = match (prior, urgent) {
            (HomePrior::Ignored, _) => 0.0f64,
            (HomePrior::Assumed, true) => URGENT_HOME_PRIOR,
            (HomePrior::Assumed, false) => HOME_PRIOR,
        }
        .powi(home_position.unwrap_or(context.homes.len()) as i32 + 1);
        let mut cached = 0.0;
        let mut probability: f64 = 1.0;
        for (level, hash) in chain.blocks.iter().take(MAX_LEVELS).enumerate() {
            let prefix = self.heat.get(hash.fingerprint(), context.now);
            let age = prefix.and_then(|prefix| prefix.hint_age_ms(number, context.now));
            let hinted = age.map_or(0.0, |age| state.hit_probability(age));
            let probability_here = match level < context.home_levels[at] {
                true => hinted.max(prior),
                false => hinted,
            };
            probability = probability.min(probability_here);
            cached += probability * BLOCK_TOKENS as f64;
        }
        cached
    }

    fn cost(
        &self,
        request: &PlaceRequest,
        context: &PlacementContext<'_>,
        at: usize,
        prior: HomePrior,
    ) -> Cost {
        let target = context.targets[at];
        let state = self.upstreams.get(&context.numbers[at]);
        let declared = target.prefill_tokens_per_s;
        let speed = state.map_or(declared.get(), |s| s.speed.tokens_per_s(declared));
        let uncached = request.chain.as_ref().map_or(0.0, |chain| {
            chain.prompt_tokens.0 as f64 - self.cached_tokens(request, context, at, prior)
        });
        Cost {
            wait_ms: match request.known(&target.upstream) {
                Some(known) => known.wait_ms.0 as f64,
                None => state.map_or(0.0, |s| s.wait_ms(request.priority, context.now)),
            },
            prefill_ms: prefill_ms(uncached.max(0.0), speed, self.settings.import),
            network_ms: match target.data_centre == request.data_centre {
                true => 0.0,
                false => self.settings.remote_network_ms,
            },
        }
    }

    /// Returns the ranking score: the expected time to first token with weighted prefill time.
    fn score(&self, cost: &Cost, priority: Priority) -> f64 {
        cost.first_token_ms() + (self.computation_weight(priority) - 1.0) * cost.prefill_ms
    }

    fn computation_weight(&self, priority: Priority) -> f64 {
        match priority {
            Priority::Urgent => self.settings.urgent_computation_weight,
            _ => self.settings.computation_weight,
        }
    }

    /// Returns the considered targets with their scores, best first.
    fn rank(&self, request: &PlaceRequest, context: &PlacementContext<'_>) -> Vec<RankedTarget> {
        let mut all: Vec<RankedTarget> = (0..context.targets.len())
            .map(|at| {
                let cost = self.cost(request, context, at, HomePrior::Assumed);
                RankedTarget {
                    target_index: at,
                    home_position: context.homes.iter().position(|home| *home == at),
                    score: self.score(&cost, request.priority),
                    cost,
                }
            })
            .collect();
        all.sort_by(|a, b| {
            let key = |r: &RankedTarget| r.home_position.unwrap_or(usize::MAX);
            let names = || {
                let name = |r: &RankedTarget| &context.targets[r.target_index].upstream;
                name(a).cmp(name(b))
            };
            a.score
                .total_cmp(&b.score)
                .then_with(|| key(a).cmp(&key(b)))
                .then_with(names)
        });
        let mut non_homes = 0;
        all.retain(|ranked| {
            let is_hinted =
                request.hint.as_ref() == Some(&context.targets[ranked.target_index].upstream);
            non_homes += usize::from(ranked.home_position.is_none());
            ranked.home_position.is_some() || is_hinted || non_homes <= MAX_NON_HOMES
        });
        all
    }

    /// Records hints for the prefixes of a placed request and adapts the widths of their home sets.
    fn record_placement(
        &mut self,
        chain: &Chain,
        context: &PlacementContext<'_>,
        best: &RankedTarget,
        now: TimeMs,
    ) {
        let speed = |at: &usize| {
            let target = context.targets[*at];
            let state = self.upstreams.get(&context.numbers[*at]);
            let declared = target.prefill_tokens_per_s;
            state.map_or(declared.get(), |s| s.speed.tokens_per_s(declared))
        };
        let speeds: Vec<f64> = (0..context.targets.len()).map(|at| speed(&at)).collect();
        let mut set: Vec<usize> = (0..context.targets.len()).collect();
        for key in levels(chain) {
            let width = self.width(key, now);
            keep_preferred(&mut set, key, width, &context.targets, &context.weights);
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
            prefix.record_hint(context.numbers[best.target_index], now);
        }
    }

    /// Records that an upstream holds some prefixes and adds the computed tokens to their heat.
    fn record_hints(
        &mut self,
        number: u16,
        keys: impl Iterator<Item = Fingerprint>,
        computed_tokens: f64,
        now: TimeMs,
    ) {
        for key in keys {
            self.heat
                .add(key, computed_tokens, now)
                .record_hint(number, now);
        }
    }

    /// Records the hint ages of a request, to compare them with the cached depth in its answer.
    fn probe(&mut self, chain: &Chain, number: u16, now: TimeMs) {
        let heat = &self.heat;
        let blocks = chain.blocks.iter().take(MAX_LEVELS);
        let ages = blocks.map(|hash| heat.get(hash.fingerprint(), now)?.hint_age_ms(number, now));
        if let Some(state) = self.upstreams.get_mut(&number) {
            state.start_probe(probe_key(chain), ages, now);
        }
    }
}

/// Returns a key that identifies a request among the pending probes.
fn probe_key(chain: &Chain) -> u64 {
    let last = chain.blocks.last().unwrap_or(&chain.root);
    last.0 as u64 ^ chain.prompt_tokens.0
}

/// Probability assumed for homes to hold prefixes, apart from hints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HomePrior {
    /// The configured prior, so that routers agree on homes; used for ranking.
    Assumed,
    /// None: only the hints of this router count; used for estimates.
    Ignored,
}

/// A considered target with its score.
struct RankedTarget {
    target_index: usize,
    /// Position in the home set; absent for a non-home.
    home_position: Option<usize>,
    score: f64,
    cost: Cost,
}

/// Returns the keys of a chain's levels, shallowest first.
fn levels(chain: &Chain) -> impl Iterator<Item = BlockHash> + '_ {
    let short = chain.blocks.is_empty().then_some(chain.root);
    short
        .into_iter()
        .chain(chain.blocks.iter().take(MAX_LEVELS).copied())
}

fn candidate(
    context: &PlacementContext<'_>,
    ranked: &RankedTarget,
    estimate: &Cost,
    cached: f64,
) -> Candidate {
    let ms = |value: f64| DurationMs(value.round() as u64);
    Candidate {
        upstream: context.targets[ranked.target_index].upstream.clone(),
        home: ranked.home_position.is_some(),
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
        let context = self.context(request.chain.as_ref(), allowed, now);
        let ranked = self.rank(request, &context);
        let best = ranked.first()?;
        let candidates: Vec<Candidate> = ranked
            .iter()
            .map(|ranked_target| {
                let prior = HomePrior::Ignored;
                let cached =
                    self.cached_tokens(request, &context, ranked_target.target_index, prior);
                let cost = self.cost(request, &context, ranked_target.target_index, prior);
                candidate(&context, ranked_target, &cost, cached)
            })
            .collect();
        if let Some(state) = self.upstreams.get_mut(&context.numbers[best.target_index]) {
            state.add_sent(request.priority, best.cost.prefill_ms);
        }
        if let Some(chain) = &request.chain {
            self.probe(chain, context.numbers[best.target_index], now);
            self.record_placement(chain, &context, best, now);
        }
        let place = match best.home_position {
            Some(position) => format!("home {} of {}", position + 1, context.homes.len()),
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
            upstream: context.targets[best.target_index].upstream.clone(),
            reason: format!("{place}, first token expected in {expected_ms} ms{counted}"),
            candidates,
            alternative: ranked.get(1).map(|second| Alternative {
                cost_ms: DurationMs(second.score.round() as u64),
                prefill_weight: self.computation_weight(request.priority),
            }),
        })
    }

    fn set_routers(&mut self, routers: u32) {
        self.settings.routers = routers.max(1);
    }

    fn observe(&mut self, observation: &Observation, now: TimeMs) {
        match observation {
            // `place` counts the work, because it has the priority.
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
                state.finish_probe(probe_key(chain), (cached_tokens.0 / BLOCK_TOKENS) as usize);
                state.speed.record_prefill(uncached, prefill.0);
                self.record_hints(
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
                state.set_report(queue_wait_ms, now);
                state.speed.record_report(*prefill_tokens_per_s);
                if let Some((chain, depth)) = warm {
                    let number = self.number(upstream, now);
                    let held = (*depth as usize).min(MAX_LEVELS);
                    let keys = chain.blocks.iter().take(held).map(|b| b.fingerprint());
                    self.record_hints(number, keys, 0.0, now);
                }
            }
            Observation::Cached { upstream, blocks } => {
                let number = self.number(upstream, now);
                self.record_hints(number, blocks.iter().copied(), 0.0, now);
            }
            Observation::CacheLost { upstream } => {
                let number = self.number(upstream, now);
                self.heat.clear_hints(number);
            }
        }
    }
}

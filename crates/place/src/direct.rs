//! Placement by routers that send straight to upstreams.
//!
//! Load pattern: prompts share long first parts, and each also has a long part of its own that
//! pushes shared parts out of an engine's cache within seconds. Engines differ in speed, some load
//! weights, and a few very long prompts block an engine for a good part of the objective. The
//! choice is the upstream with the least expected time to first token, to which the costs that
//! others bear are added as time: computation of a shared part again, and traffic between data
//! centres.

use std::collections::HashMap;

use bon::Builder;
use dw_base::rendezvous_score;
use dw_base::Bytes;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::PrefixKey;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;

use crate::upstream_load::UpstreamLoad;
use crate::warm::WarmSet;

/// Settings of [`Direct`]; all costs are in milliseconds of a time to first token that matters.
#[derive(Builder, Clone, Debug)]
pub struct DirectSettings {
    /// Cost of computing a token of a shared part that another engine has computed.
    #[builder(default = 0.05)]
    pub again_ms_per_token: f64,
    /// Time to fetch a token of a shared part from the store of kept KV cache.
    #[builder(default = 0.003)]
    pub fetch_ms_per_token: f64,
    /// Cost of a byte that is sent to another data centre.
    #[builder(default = 0.0012)]
    pub remote_ms_per_byte: f64,
    /// Network time to another data centre and back.
    #[builder(default = 3.0)]
    pub remote_network_ms: f64,
    /// Cost of an answer on older weights, once newer ones have been named for a while.
    #[builder(default = 60.0)]
    pub old_weights_ms: f64,
    /// Tokens of an answer that is finished before an engine's turn to load weights.
    #[builder(default = Tokens(150))]
    pub short_answer_tokens: Tokens,
    /// Cost of a token beyond them, which keeps an engine from loading weights.
    #[builder(default = 2.0)]
    pub loads_soon_ms_per_token: f64,
    /// Cost of an upstream all of whose recent requests failed.
    #[builder(default = 1_500.0)]
    pub failure_ms: f64,
    /// Advantage of the upstream that all routers prefer for a prompt.
    #[builder(default = 15.0)]
    pub home_ms: f64,
    /// Mean wait at the engines that doubles the cost of work which another engine would save.
    #[builder(default = 25.0)]
    pub crowd_ms: f64,
    /// Cost of fetching a token of a shared part away from its home.
    #[builder(default = 0.005)]
    pub fetch_away_ms_per_token: f64,
    /// Part of the objective that may be used up at little cost.
    #[builder(default = 0.4)]
    pub easy_part: f64,
    /// Cost of a millisecond within that part.
    #[builder(default = 0.2)]
    pub easy_weight: f64,
    /// Cost of a millisecond beyond that part.
    #[builder(default = 2.0)]
    pub late_weight: f64,
}

/// An upstream that may be chosen.
#[derive(Clone, Debug)]
pub struct DirectTarget<'a> {
    /// Upstream.
    pub upstream: &'a UpstreamId,
    /// Data centre.
    pub data_centre: &'a DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Memory for prompts; absent for a plain service.
    pub kv_capacity: Option<Tokens>,
    /// Weights of the wanted model.
    pub weights: Option<WeightsVersion>,
    /// Leading parts of the prompt that the engine has told to hold; absent if it is silent.
    pub cached_parts: Option<usize>,
    /// Whether answers on these weights are worth less by now.
    pub old_weights: bool,
    /// Whether it takes no requests soon, from when on it only finishes its answers.
    pub loads_soon: bool,
    /// Share of recent requests that failed.
    pub failure_rate: f64,
}

/// A request that needs an upstream.
#[derive(Clone)]
pub struct DirectRequest<'a> {
    /// Parts of the prompt; the last one is the request's own. Empty for a plain service.
    pub prompt: &'a [PromptPart],
    /// Who shares the cached prompt; the weights are added to it.
    pub scope: &'a str,
    /// Data centre of the router.
    pub data_centre: &'a DataCentreId,
    /// Time that is left of the objective.
    pub objective_ms: DurationMs,
    /// Length of the request.
    pub bytes: Bytes,
    /// Most tokens of the answer.
    pub output_tokens: Tokens,
    /// Tokens of shared parts that the store of kept KV cache holds, for given weights.
    pub stored: &'a dyn Fn(WeightsVersion) -> Tokens,
}

/// Chosen upstream with the numbers behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Weights that it was chosen with.
    pub weights: Option<WeightsVersion>,
    /// Expected time to first token.
    pub first_token_ms: DurationMs,
    /// Part of it that is the wait for earlier prompts.
    pub backlog_ms: DurationMs,
    /// Tokens that the engine must compute or fetch.
    pub missing_tokens: Tokens,
    /// Part of them that belongs to shared parts.
    pub missing_shared_tokens: Tokens,
    /// Part of these that another engine or the store of kept KV cache holds.
    pub fetched_tokens: Tokens,
    /// Upstream that is expected to hold shared parts which this one lacks, unless the store does.
    pub holder: Option<UpstreamId>,
    /// Whether it is the preferred upstream for the prompt.
    pub home: bool,
    /// Upstreams that were compared.
    pub compared: usize,
}

/// A request that is under way at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sent {
    at: TimeMs,
    tokens: u64,
    ahead: u64,
    /// Whether the tokens are really computed: other routers may have brought shared parts.
    certain: bool,
}

/// Placement with what one router knows of each upstream.
#[derive(Debug)]
pub struct Direct {
    settings: DirectSettings,
    loads: HashMap<UpstreamId, UpstreamLoad>,
    warm: HashMap<UpstreamId, WarmSet>,
    routers: u32,
}

/// Preferred upstreams for the shared parts of a prompt among those with the same weights, since
/// cached parts of other weights are of no use.
#[derive(Clone, Copy)]
struct Homes<'a> {
    weights: Option<WeightsVersion>,
    /// Of all upstreams: computes the parts while the store lacks them.
    first: Option<&'a UpstreamId>,
    /// Of those in the data centre of the router: used once the store holds them.
    near: Option<&'a UpstreamId>,
}

/// What the other targets mean for one target.
struct Others<'a> {
    homes: Homes<'a>,
    /// Engine from which the most parts can be fetched.
    holder: Option<&'a DirectTarget<'a>>,
    /// Factor of the cost of work that another engine would save.
    crowding: f64,
}

struct Scored {
    cost: f64,
    choice: Choice,
}

impl Direct {
    /// Creates the placement without any knowledge.
    pub fn new(settings: DirectSettings) -> Self {
        Direct {
            settings,
            loads: HashMap::new(),
            warm: HashMap::new(),
            routers: 1,
        }
    }

    /// Learns how many routers share the traffic.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Returns the number of routers that share the traffic.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// Returns the load of an upstream, to record reports.
    pub fn load(&mut self, upstream: &UpstreamId) -> &mut UpstreamLoad {
        if !self.loads.contains_key(upstream) {
            self.loads.insert(upstream.clone(), UpstreamLoad::default());
        }
        self.loads.entry(upstream.clone()).or_default()
    }

    /// Forgets the upstreams for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|id, _| keep(id));
        self.warm.retain(|id, _| keep(id));
    }

    /// Forgets what an upstream had cached, after a restart.
    pub fn cache_lost(&mut self, upstream: &UpstreamId) {
        self.warm.remove(upstream);
    }

    /// Chooses one of `targets`, or none if there are none.
    pub fn place(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Option<Choice> {
        let mut homes: Vec<Homes<'_>> = Vec::new();
        for target in targets {
            if !homes.iter().any(|homes| homes.weights == target.weights) {
                homes.push(self.homes(request, targets, target.weights));
            }
        }
        let crowding = self.crowding(targets, now);
        let scored = targets.iter().map(|target| {
            let homes = homes.iter().find(|homes| homes.weights == target.weights);
            match homes.filter(|_| !request.prompt.is_empty()) {
                None => self.score_plain(request, target),
                Some(homes) => {
                    let others = Others {
                        homes: *homes,
                        holder: holder(targets, target, homes.first),
                        crowding,
                    };
                    self.score_prompt(request, target, &others, now)
                }
            }
        });
        let best = scored.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        Some(Choice {
            compared: targets.len(),
            ..best.choice
        })
    }

    /// Records that a request was sent, and returns what is needed at its first token.
    pub fn sent(&mut self, choice: &Choice, request: &DirectRequest<'_>, now: TimeMs) -> Sent {
        let routers = u64::from(self.routers);
        let weights = choice.weights.unwrap_or_default();
        let keys = prefix_keys(request.scope, weights, request.prompt);
        if !request.prompt.is_empty() {
            let warm = self.warm.entry(choice.upstream.clone()).or_default();
            for (key, part) in keys.iter().zip(request.prompt) {
                warm.used(*key, part.tokens, routers, now);
            }
        }
        let load = self.load(&choice.upstream);
        let ahead = load.outstanding_tokens(now);
        load.sent(choice.missing_tokens.0);
        Sent {
            at: now,
            tokens: choice.missing_tokens.0,
            ahead,
            certain: choice.missing_shared_tokens.0 * 5 <= choice.missing_tokens.0,
        }
    }

    /// Records the first token of a request.
    pub fn first_token(&mut self, upstream: &UpstreamId, sent: &Sent, now: TimeMs) {
        let load = self.load(upstream);
        load.computed(sent.tokens);
        load.learn_queue(sent.tokens, sent.ahead, now.since(sent.at));
        if sent.certain {
            load.learn(sent.tokens, sent.ahead, now.since(sent.at));
        }
    }

    /// Records that a request ended before its first token.
    pub fn abandoned(&mut self, upstream: &UpstreamId, sent: &Sent) {
        self.load(upstream).computed(sent.tokens);
    }

    /// Records that a request ended.
    pub fn ended(&mut self, upstream: &UpstreamId) {
        self.load(upstream).ended();
    }

    /// Returns the upstreams that all routers prefer for the shared parts.
    fn homes<'a>(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'a>],
        weights: Option<WeightsVersion>,
    ) -> Homes<'a> {
        let shared = request
            .prompt
            .split_last()
            .map_or(&[][..], |(_, parts)| parts);
        let root = PrefixKey::root(request.scope);
        let key = shared.iter().fold(root, |key, part| key.with(part));
        let score = |target: &&DirectTarget<'_>| {
            // Homes share the prompts by memory, which is equal, and not by speed.
            let score = rendezvous_score(u128::from(key.0), target.upstream.as_str(), 1.0);
            score.to_bits()
        };
        let near = |target: &&DirectTarget<'_>| target.data_centre == request.data_centre;
        let same = || targets.iter().filter(|target| target.weights == weights);
        let first = same().max_by_key(score);
        let nearest = same().filter(near).max_by_key(score);
        Homes {
            weights,
            first: first.map(|target| target.upstream),
            near: nearest.or(first).map(|target| target.upstream),
        }
    }

    fn score_plain(&self, request: &DirectRequest<'_>, target: &DirectTarget<'_>) -> Scored {
        let load = self.loads.get(target.upstream);
        let expected_ms = load.map_or(0.0, |load| load.plain_ms(target.slots, self.routers));
        Scored {
            cost: self.waiting_cost(request, expected_ms) + self.common_cost(request, target),
            choice: Choice {
                upstream: target.upstream.clone(),
                weights: None,
                first_token_ms: DurationMs(expected_ms as u64),
                backlog_ms: DurationMs::ZERO,
                missing_tokens: Tokens(0),
                missing_shared_tokens: Tokens(0),
                fetched_tokens: Tokens(0),
                holder: None,
                home: false,
                compared: 0,
            },
        }
    }

    fn score_prompt(
        &self,
        request: &DirectRequest<'_>,
        target: &DirectTarget<'_>,
        others: &Others<'_>,
        now: TimeMs,
    ) -> Scored {
        let Others {
            homes,
            holder,
            crowding,
        } = others;
        let weights = target.weights.unwrap_or_default();
        let keys = prefix_keys(request.scope, weights, request.prompt);
        let capacity = target.kv_capacity.unwrap_or_default();
        let warm = self.warm.get(target.upstream);
        let warm_depth = warm.map_or(0, |warm| match target.cached_parts {
            Some(_) => warm.untold_depth(&keys, now),
            None => warm.depth(&keys, capacity),
        });
        let held = target.cached_parts.unwrap_or(0).max(warm_depth);
        let held = held.min(request.prompt.len());
        let tokens = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0).sum::<u64>();
        let missing = tokens(&request.prompt[held..]);
        let shared = request.prompt.len() - 1;
        let missing_shared = tokens(&request.prompt[held.min(shared)..shared]);
        let known = tokens(&request.prompt[..held.min(shared)]);
        let stored = (request.stored)(weights).0.saturating_sub(known);
        let holder_parts = holder.and_then(|holder| holder.cached_parts);
        let holder_parts = holder_parts.unwrap_or(0).min(shared);
        let elsewhere = tokens(&request.prompt[..holder_parts]).saturating_sub(known);
        let fetched = stored.max(elsewhere).min(missing_shared);
        let is_stored = stored.max(elsewhere) + known >= tokens(&request.prompt[..shared]);
        let preferred = if is_stored { homes.near } else { homes.first };
        let home = preferred == Some(target.upstream);
        let load = self.loads.get(target.upstream);
        let unknown = UpstreamLoad::default();
        let load = load.unwrap_or(&unknown);
        let backlog_ms = load.backlog_ms(now);
        let compute_ms = load.compute_ms(missing - fetched);
        let fetch_ms = fetched as f64 * self.settings.fetch_ms_per_token;
        let first_token_ms = backlog_ms + compute_ms + fetch_ms;
        let mut cost = self.waiting_cost(request, first_token_ms);
        cost += self.common_cost(request, target);
        let holder = match elsewhere > 0 && elsewhere >= stored {
            true => holder.map(|holder| holder.upstream),
            // The home may have begun to compute them.
            false => homes
                .first
                .filter(|first| missing_shared > fetched && *first != target.upstream),
        };
        if !home {
            // The home is expected to hold what other routers have sent there. Copies at other
            // engines push out other parts, so also one that holds the parts is no home.
            let again = missing_shared - fetched;
            let again_ms = again as f64 * self.settings.again_ms_per_token;
            let fetch_ms = fetched as f64 * self.settings.fetch_away_ms_per_token;
            cost += (self.settings.home_ms + again_ms + fetch_ms) * crowding;
        }
        Scored {
            cost,
            choice: Choice {
                upstream: target.upstream.clone(),
                weights: target.weights,
                first_token_ms: DurationMs(first_token_ms as u64),
                backlog_ms: DurationMs(backlog_ms as u64),
                missing_tokens: Tokens(missing),
                missing_shared_tokens: Tokens(missing_shared),
                fetched_tokens: Tokens(fetched),
                holder: holder.cloned(),
                home,
                compared: 0,
            },
        }
    }

    /// Returns the factor of the cost of work that a home would save: all that wait bear it.
    fn crowding(&self, targets: &[DirectTarget<'_>], now: TimeMs) -> f64 {
        let loads = targets.iter().filter_map(|t| self.loads.get(t.upstream));
        let backlog_ms: f64 = loads.map(|load| load.backlog_ms(now)).sum();
        1.0 + backlog_ms / targets.len().max(1) as f64 / self.settings.crowd_ms
    }

    /// A wait matters little while the objective is far, and much once it is near.
    fn waiting_cost(&self, request: &DirectRequest<'_>, wait_ms: f64) -> f64 {
        let easy_ms = request.objective_ms.0 as f64 * self.settings.easy_part;
        let late_ms = (wait_ms - easy_ms).max(0.0);
        (wait_ms - late_ms) * self.settings.easy_weight + late_ms * self.settings.late_weight
    }

    fn common_cost(&self, request: &DirectRequest<'_>, target: &DirectTarget<'_>) -> f64 {
        let mut cost = target.failure_rate * self.settings.failure_ms;
        if target.data_centre != request.data_centre {
            cost += request.bytes.0 as f64 * self.settings.remote_ms_per_byte;
            cost += self.settings.remote_network_ms * self.settings.easy_weight;
        }
        if target.old_weights {
            cost += self.settings.old_weights_ms;
        }
        if target.loads_soon {
            let short = self.settings.short_answer_tokens.0;
            let long = request.output_tokens.0.saturating_sub(short);
            cost += long as f64 * self.settings.loads_soon_ms_per_token;
        }
        cost
    }
}

/// Returns the engine from which `target` can fetch the most parts, near it if possible.
fn holder<'t, 'a>(
    targets: &'t [DirectTarget<'a>],
    target: &DirectTarget<'_>,
    home: Option<&UpstreamId>,
) -> Option<&'t DirectTarget<'a>> {
    let same = |other: &&DirectTarget<'_>| {
        other.weights == target.weights && other.upstream != target.upstream
    };
    targets.iter().filter(same).max_by_key(|other| {
        let is_near = other.data_centre == target.data_centre;
        (other.cached_parts, is_near, home == Some(other.upstream))
    })
}

/// Returns the key of each prefix of a prompt, the shortest first.
fn prefix_keys(scope: &str, weights: WeightsVersion, prompt: &[PromptPart]) -> Vec<PrefixKey> {
    let salt = PromptPart {
        id: weights.0,
        tokens: Tokens(0),
    };
    let mut key = PrefixKey::root(scope).with(&salt);
    prompt
        .iter()
        .map(|part| {
            key = key.with(part);
            key
        })
        .collect()
}

//! Placement by routers that forward requests directly to upstreams.
//!
//! Load pattern: prompts share long leading parts, and each also has a long part of its own that
//! evicts shared parts from an engine's cache within seconds. Engines differ in speed, some load
//! weights, and a few very long prompts occupy an engine for a large part of the latency objective.
//! The chosen upstream has the lowest expected time to first token, plus penalties in milliseconds
//! for costs that fall on other requests: recomputing a shared part, and traffic between data
//! centres.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;

use crate::cached_prefixes::CachedPrefixes;
use crate::direct_homes::best_source;
use crate::direct_homes::prefix_keys;
use crate::direct_homes::Homes;
use crate::direct_request::Choice;
use crate::direct_request::DirectRequest;
use crate::direct_request::DirectTarget;
use crate::direct_request::SentRequest;
use crate::direct_settings::DirectSettings;
use crate::home_shares::HomeShares;
use crate::learned_speed::PRIOR_TOKENS_PER_MS;
use crate::scored::cheapest;
use crate::scored::Scored;
use crate::upstream_load::UpstreamLoad;

/// Placement policy with one router's state of each upstream.
#[derive(Debug)]
pub struct Direct {
    settings: DirectSettings,
    loads: HashMap<UpstreamId, UpstreamLoad>,
    cached: HashMap<UpstreamId, CachedPrefixes>,
    routers: u32,
}

/// Data about the other targets that the score of one target depends on.
struct TargetContext<'a> {
    homes: Homes<'a>,
    /// Engine from which the most parts can be fetched.
    source: Option<&'a DirectTarget<'a>>,
    /// Multiplier of the penalty for work that the home engine would avoid.
    congestion_factor: f64,
}

/// Tokens of a prompt that a target has not cached, and where they can be fetched.
struct PromptCoverage<'a> {
    missing: u64,
    /// Missing tokens that belong to shared parts.
    missing_shared: u64,
    /// Missing shared tokens that can be fetched instead of computed.
    fetched: u64,
    /// Whether all shared parts are cached here or can be fetched.
    shared_obtainable: bool,
    /// Engine to fetch from, unless the KV store supplies the tokens.
    source: Option<&'a UpstreamId>,
}

impl Direct {
    /// Creates a policy with no recorded state.
    pub fn new(settings: DirectSettings) -> Self {
        Direct {
            settings,
            loads: HashMap::new(),
            cached: HashMap::new(),
            routers: 1,
        }
    }

    /// Sets the number of routers that share the traffic.
    pub fn set_routers(&mut self, routers: u32) {
        self.routers = routers.max(1);
    }

    /// Returns the number of routers that share the traffic.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// Returns the load of an upstream, which is created if it is unknown.
    pub fn load_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamLoad {
        if !self.loads.contains_key(upstream) {
            self.loads.insert(upstream.clone(), UpstreamLoad::default());
        }
        self.loads.entry(upstream.clone()).or_default()
    }

    /// Drops the state of upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.loads.retain(|id, _| keep(id));
        self.cached.retain(|id, _| keep(id));
    }

    /// Clears the expected cache contents of an upstream, for example after a restart.
    pub fn clear_cache(&mut self, upstream: &UpstreamId) {
        self.cached.remove(upstream);
    }

    /// Chooses one of `targets`; returns `None` if there are none.
    pub fn place(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Option<Choice> {
        let best = cheapest(self.score(request, targets, now))?;
        Some(Choice {
            compared: targets.len(),
            ..best.choice
        })
    }

    /// Returns what [`place`](Self::place) compares: each target with its cost in weighted milliseconds, the
    /// cheapest first.
    pub fn rank(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Vec<(f64, Choice)> {
        let mut scored = self.score(request, targets, now);
        // The sort is stable, so that the first of equally cheap ones is the one that is chosen.
        scored.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let ranked = scored.into_iter().map(|one| (one.cost, one.choice));
        ranked.collect()
    }

    fn score(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Vec<Scored> {
        match request.prompt.is_empty() {
            true => targets
                .iter()
                .map(|target| self.score_plain(request, target))
                .collect(),
            false => self.score_prompts(request, targets, now),
        }
    }

    /// Returns the costs of all targets for a request with a prompt.
    fn score_prompts(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Vec<Scored> {
        let speeds = targets.iter().map(|t| self.tokens_per_ms(t.upstream));
        let shares = HomeShares::new(&self.settings, speeds);
        let share = |upstream: &UpstreamId| shares.share(self.tokens_per_ms(upstream));
        let is_warm = |candidate: &DirectTarget<'_>| self.is_warm(request, candidate, now);
        let mut homes_by_weights: Vec<Homes<'_>> = Vec::new();
        let congestion_factor = self.congestion_factor(targets, now);
        let scored = targets.iter().map(|target| {
            let found = homes_by_weights
                .iter()
                .find(|homes| homes.weights == target.weights);
            let homes = found.copied().unwrap_or_else(|| {
                let homes = Homes::find(request, targets, target.weights, share, is_warm);
                homes_by_weights.push(homes);
                homes
            });
            let context = TargetContext {
                homes,
                source: best_source(targets, target, homes.global),
                congestion_factor,
            };
            self.score_prompt(request, target, &context, now)
        });
        let mut scored: Vec<Scored> = scored.collect();
        if let Some(mixed) = &self.settings.mixed {
            mixed.apply(request, &mut scored);
        }
        scored
    }

    /// Records that a request was sent, and returns the data that
    /// [`record_first_token`](Self::record_first_token) needs.
    pub fn record_sent(
        &mut self,
        choice: &Choice,
        scope: &str,
        prompt: &[PromptPart],
        now: TimeMs,
    ) -> SentRequest {
        let routers = u64::from(self.routers);
        let weights = choice.weights.unwrap_or_default();
        let keys = prefix_keys(scope, weights, prompt);
        if !prompt.is_empty() {
            let cached = self.cached.entry(choice.upstream.clone()).or_default();
            for (key, part) in keys.iter().zip(prompt) {
                cached.record_use(*key, part.tokens, routers, now);
            }
        }
        let load = self.load_mut(&choice.upstream);
        let ahead = load.outstanding_tokens(now);
        load.add_request(choice.missing_tokens.0);
        SentRequest {
            at: now,
            tokens: choice.missing_tokens.0,
            ahead,
            certain: choice.missing_shared_tokens.0 * 5 <= choice.missing_tokens.0,
        }
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, upstream: &UpstreamId, sent: &SentRequest, now: TimeMs) {
        let load = self.load_mut(upstream);
        load.remove_tokens(sent.tokens);
        load.record_queue_wait(sent.tokens, sent.ahead, now.since(sent.at));
        if sent.certain {
            load.record_compute(sent.tokens, sent.ahead, now.since(sent.at));
        }
    }

    /// Records that a request ended before its first token.
    pub fn record_abandoned(&mut self, upstream: &UpstreamId, sent: &SentRequest) {
        self.load_mut(upstream).remove_tokens(sent.tokens);
    }

    /// Records that a request ended.
    pub fn record_ended(&mut self, upstream: &UpstreamId) {
        self.load_mut(upstream).remove_request();
    }

    fn score_plain(&self, request: &DirectRequest<'_>, target: &DirectTarget<'_>) -> Scored {
        let load = self.loads.get(target.upstream);
        let expected_ms = load.map_or(0.0, |load| load.service_ms(target.slots, self.routers));
        let penalty = self.target_penalty(request, target);
        Scored {
            cost: self.latency_cost(request, expected_ms) + penalty,
            penalty,
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
        context: &TargetContext<'_>,
        now: TimeMs,
    ) -> Scored {
        let coverage = self.coverage(request, target, context, now);
        let homes = &context.homes;
        let preferred = match coverage.shared_obtainable {
            true => homes.local_if_warm,
            false => homes.global,
        };
        let home = preferred == Some(target.upstream);
        let load = self.loads.get(target.upstream);
        let unknown = UpstreamLoad::default();
        let load = load.unwrap_or(&unknown);
        let backlog_ms = load.backlog_ms(now);
        let compute_ms = load.compute_ms(coverage.missing - coverage.fetched);
        let fetch_ms = coverage.fetched as f64 * self.settings.fetch_ms_per_token;
        let first_token_ms = backlog_ms + compute_ms + fetch_ms;
        let mut cost = self.latency_cost(request, first_token_ms);
        let penalty = self.target_penalty(request, target);
        cost += penalty;
        if !home {
            cost += self.non_home_cost(&coverage) * context.congestion_factor;
        }
        Scored {
            cost,
            penalty,
            choice: Choice {
                upstream: target.upstream.clone(),
                weights: target.weights,
                first_token_ms: DurationMs(first_token_ms as u64),
                backlog_ms: DurationMs(backlog_ms as u64),
                missing_tokens: Tokens(coverage.missing),
                missing_shared_tokens: Tokens(coverage.missing_shared),
                fetched_tokens: Tokens(coverage.fetched),
                holder: coverage.source.cloned(),
                home,
                compared: 0,
            },
        }
    }

    /// Returns the tokens that `target` has not cached and where it can fetch them.
    fn coverage<'a>(
        &self,
        request: &DirectRequest<'_>,
        target: &DirectTarget<'_>,
        context: &TargetContext<'a>,
        now: TimeMs,
    ) -> PromptCoverage<'a> {
        let prompt = request.prompt;
        let tokens = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0).sum::<u64>();
        let held = self.held_parts(request, target, now);
        let shared = prompt.len() - 1;
        let held_shared = tokens(&prompt[..held.min(shared)]);
        let missing_shared = tokens(&prompt[held.min(shared)..shared]);
        let stored = (request.stored)(target.weights.unwrap_or_default()).0;
        let stored = stored.saturating_sub(held_shared);
        let source_parts = context.source.and_then(|source| source.cached_parts);
        let source_parts = source_parts.unwrap_or(0).min(shared);
        let at_source = tokens(&prompt[..source_parts]).saturating_sub(held_shared);
        let fetched = stored.max(at_source).min(missing_shared);
        let must_compute_shared = missing_shared > fetched;
        let source = match at_source > 0 && at_source >= stored {
            true => context.source.map(|source| source.upstream),
            // The home may already be computing the missing parts.
            false => context
                .homes
                .global
                .filter(|global| must_compute_shared && *global != target.upstream),
        };
        PromptCoverage {
            missing: tokens(&prompt[held..]),
            missing_shared,
            fetched,
            shared_obtainable: !must_compute_shared,
            source,
        }
    }

    /// Returns how many leading parts of a prompt `target` is expected to hold.
    fn held_parts(
        &self,
        request: &DirectRequest<'_>,
        target: &DirectTarget<'_>,
        now: TimeMs,
    ) -> usize {
        let weights = target.weights.unwrap_or_default();
        let keys = prefix_keys(request.scope, weights, request.prompt);
        let capacity = target.kv_capacity.unwrap_or_default();
        let cached = self.cached.get(target.upstream);
        let expected_parts = cached.map_or(0, |cached| match target.cached_parts {
            Some(_) => cached.unannounced_depth(&keys, now),
            None => cached.depth(&keys, capacity),
        });
        let held = target.cached_parts.unwrap_or(0).max(expected_parts);
        held.min(request.prompt.len())
    }

    fn tokens_per_ms(&self, upstream: &UpstreamId) -> f64 {
        let load = self.loads.get(upstream);
        load.map_or(PRIOR_TOKENS_PER_MS, UpstreamLoad::tokens_per_ms)
    }

    /// Returns whether `target` holds all shared parts of a prompt or does not announce its cache
    /// contents.
    fn is_warm(&self, request: &DirectRequest<'_>, target: &DirectTarget<'_>, now: TimeMs) -> bool {
        let held = self.held_parts(request, target, now);
        target.cached_parts.is_none() || held + 1 >= request.prompt.len()
    }

    /// Returns the penalty of a target that is not the home.
    ///
    /// The home is expected to hold the parts because the other routers send them there too. The
    /// penalty also applies to other engines that hold the parts, since copies evict other parts.
    fn non_home_cost(&self, coverage: &PromptCoverage<'_>) -> f64 {
        let recomputed = coverage.missing_shared - coverage.fetched;
        let recompute_ms = recomputed as f64 * self.settings.again_ms_per_token;
        let fetch_ms = coverage.fetched as f64 * self.settings.fetch_away_ms_per_token;
        self.settings.home_ms + recompute_ms + fetch_ms
    }

    /// Returns the multiplier of the penalty for work that the home would avoid.
    ///
    /// It grows with the mean backlog, because extra work delays every queued request.
    fn congestion_factor(&self, targets: &[DirectTarget<'_>], now: TimeMs) -> f64 {
        let loads = targets.iter().filter_map(|t| self.loads.get(t.upstream));
        let backlog_ms: f64 = loads.map(|load| load.backlog_ms(now)).sum();
        1.0 + backlog_ms / targets.len().max(1) as f64 / self.settings.crowd_ms
    }

    /// Returns the weighted time to first token: time within `easy_part` of the objective costs
    /// little, time beyond it much more.
    fn latency_cost(&self, request: &DirectRequest<'_>, first_token_ms: f64) -> f64 {
        let easy_ms = request.objective_ms.0 as f64 * self.settings.easy_part;
        let late_ms = (first_token_ms - easy_ms).max(0.0);
        (first_token_ms - late_ms) * self.settings.easy_weight + late_ms * self.settings.late_weight
    }

    /// Returns the penalties that do not depend on the prompt's cache.
    fn target_penalty(&self, request: &DirectRequest<'_>, target: &DirectTarget<'_>) -> f64 {
        let mut cost = target.failure_rate * self.settings.failure_ms;
        if target.data_centre != request.data_centre {
            cost += request.bytes.0 as f64 * self.settings.remote_ms_per_byte;
            cost += self.settings.remote_network_ms * self.settings.easy_weight;
        }
        if target.limited {
            cost += self.settings.limited_ms;
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

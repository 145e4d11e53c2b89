//! Placement by routers that send straight to upstreams.
//!
//! Load pattern: prompts share long first parts, and each also has a long part of its own that
//! pushes shared parts out of an engine's cache within seconds. Engines differ in speed, some load
//! weights, and a few very long prompts block an engine for a good part of the objective. The
//! choice is the upstream with the least expected time to first token, to which the costs that
//! others bear are added as time: computation of a shared part again, and traffic between data
//! centres.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;

use crate::direct_homes::holder;
use crate::direct_homes::prefix_keys;
use crate::direct_homes::Homes;
use crate::direct_request::Choice;
use crate::direct_request::DirectRequest;
use crate::direct_request::DirectTarget;
use crate::direct_request::SentRequest;
use crate::direct_settings::DirectSettings;
use crate::home_shares::HomeShares;
use crate::learned_speed::PRIOR_TOKENS_PER_MS;
use crate::upstream_load::UpstreamLoad;
use crate::warm::WarmSet;

/// Placement with what one router knows of each upstream.
#[derive(Debug)]
pub struct Direct {
    settings: DirectSettings,
    loads: HashMap<UpstreamId, UpstreamLoad>,
    warm: HashMap<UpstreamId, WarmSet>,
    routers: u32,
}

/// What the other targets mean for one target.
struct Others<'a> {
    homes: Homes<'a>,
    /// Engine from which the most parts can be fetched.
    holder: Option<&'a DirectTarget<'a>>,
    /// Factor of the cost of work that another engine would save.
    crowding: f64,
}

/// What a target lacks of a prompt, in tokens.
struct Supply<'a> {
    missing: u64,
    /// Part of it that belongs to shared parts.
    missing_shared: u64,
    /// Part of these that is fetched.
    fetched: u64,
    /// Whether all shared parts are held here, at another engine or in the store.
    is_reachable: bool,
    /// Engine to fetch from, unless it is the store.
    holder: Option<&'a UpstreamId>,
}

struct Scored {
    cost: f64,
    choice: Choice,
}

fn least(scored: impl Iterator<Item = Scored>) -> Option<Scored> {
    scored.min_by(|a, b| a.cost.total_cmp(&b.cost))
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
    pub fn load_mut(&mut self, upstream: &UpstreamId) -> &mut UpstreamLoad {
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
    pub fn clear_cache(&mut self, upstream: &UpstreamId) {
        self.warm.remove(upstream);
    }

    /// Chooses one of `targets`, or none if there are none.
    pub fn place(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Option<Choice> {
        let best = match request.prompt.is_empty() {
            true => least(
                targets
                    .iter()
                    .map(|target| self.score_plain(request, target)),
            ),
            false => self.best_for_prompt(request, targets, now),
        }?;
        Some(Choice {
            compared: targets.len(),
            ..best.choice
        })
    }

    fn best_for_prompt(
        &self,
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'_>],
        now: TimeMs,
    ) -> Option<Scored> {
        let speeds = targets.iter().map(|t| self.tokens_per_ms(t.upstream));
        let shares = HomeShares::new(&self.settings, speeds);
        let share = |upstream: &UpstreamId| shares.share(self.tokens_per_ms(upstream));
        let is_warm = |near: &DirectTarget<'_>| self.is_warm(request, near, now);
        let mut known: Vec<Homes<'_>> = Vec::new();
        let crowding = self.crowding(targets, now);
        least(targets.iter().map(|target| {
            let found = known.iter().find(|homes| homes.weights == target.weights);
            let homes = found.copied().unwrap_or_else(|| {
                let homes = Homes::find(request, targets, target.weights, share, is_warm);
                known.push(homes);
                homes
            });
            let others = Others {
                homes,
                holder: holder(targets, target, homes.first),
                crowding,
            };
            self.score_prompt(request, target, &others, now)
        }))
    }

    /// Records that a request was sent, and returns what is needed at its first token.
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
            let warm = self.warm.entry(choice.upstream.clone()).or_default();
            for (key, part) in keys.iter().zip(prompt) {
                warm.used(*key, part.tokens, routers, now);
            }
        }
        let load = self.load_mut(&choice.upstream);
        let ahead = load.outstanding_tokens(now);
        load.sent(choice.missing_tokens.0);
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
        load.computed(sent.tokens);
        load.learn_queue(sent.tokens, sent.ahead, now.since(sent.at));
        if sent.certain {
            load.learn(sent.tokens, sent.ahead, now.since(sent.at));
        }
    }

    /// Records that a request ended before its first token.
    pub fn record_abandoned(&mut self, upstream: &UpstreamId, sent: &SentRequest) {
        self.load_mut(upstream).computed(sent.tokens);
    }

    /// Records that a request ended.
    pub fn record_ended(&mut self, upstream: &UpstreamId) {
        self.load_mut(upstream).ended();
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
        let supply = self.supply(request, target, others, now);
        let homes = &others.homes;
        let preferred = match supply.is_reachable {
            true => homes.warm,
            false => homes.first,
        };
        let home = preferred == Some(target.upstream);
        let load = self.loads.get(target.upstream);
        let unknown = UpstreamLoad::default();
        let load = load.unwrap_or(&unknown);
        let backlog_ms = load.backlog_ms(now);
        let compute_ms = load.compute_ms(supply.missing - supply.fetched);
        let fetch_ms = supply.fetched as f64 * self.settings.fetch_ms_per_token;
        let first_token_ms = backlog_ms + compute_ms + fetch_ms;
        let mut cost = self.waiting_cost(request, first_token_ms);
        cost += self.common_cost(request, target);
        if !home {
            cost += self.away_cost(&supply) * others.crowding;
        }
        Scored {
            cost,
            choice: Choice {
                upstream: target.upstream.clone(),
                weights: target.weights,
                first_token_ms: DurationMs(first_token_ms as u64),
                backlog_ms: DurationMs(backlog_ms as u64),
                missing_tokens: Tokens(supply.missing),
                missing_shared_tokens: Tokens(supply.missing_shared),
                fetched_tokens: Tokens(supply.fetched),
                holder: supply.holder.cloned(),
                home,
                compared: 0,
            },
        }
    }

    /// Returns what `target` lacks of a prompt and where it gets that from.
    fn supply<'a>(
        &self,
        request: &DirectRequest<'_>,
        target: &DirectTarget<'_>,
        others: &Others<'a>,
        now: TimeMs,
    ) -> Supply<'a> {
        let prompt = request.prompt;
        let tokens = |parts: &[PromptPart]| parts.iter().map(|part| part.tokens.0).sum::<u64>();
        let held = self.held_parts(request, target, now);
        let shared = prompt.len() - 1;
        let known = tokens(&prompt[..held.min(shared)]);
        let missing_shared = tokens(&prompt[held.min(shared)..shared]);
        let stored = (request.stored)(target.weights.unwrap_or_default()).0;
        let stored = stored.saturating_sub(known);
        let holder_parts = others.holder.and_then(|holder| holder.cached_parts);
        let holder_parts = holder_parts.unwrap_or(0).min(shared);
        let elsewhere = tokens(&prompt[..holder_parts]).saturating_sub(known);
        let fetched = stored.max(elsewhere).min(missing_shared);
        let lacks = missing_shared > fetched;
        let holder = match elsewhere > 0 && elsewhere >= stored {
            true => others.holder.map(|holder| holder.upstream),
            // The home may have begun to compute them.
            false => others
                .homes
                .first
                .filter(|first| lacks && *first != target.upstream),
        };
        Supply {
            missing: tokens(&prompt[held..]),
            missing_shared,
            fetched,
            is_reachable: !lacks,
            holder,
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
        let warm = self.warm.get(target.upstream);
        let warm_depth = warm.map_or(0, |warm| match target.cached_parts {
            Some(_) => warm.untold_depth(&keys, now),
            None => warm.depth(&keys, capacity),
        });
        let held = target.cached_parts.unwrap_or(0).max(warm_depth);
        held.min(request.prompt.len())
    }

    fn tokens_per_ms(&self, upstream: &UpstreamId) -> f64 {
        let load = self.loads.get(upstream);
        load.map_or(PRIOR_TOKENS_PER_MS, UpstreamLoad::tokens_per_ms)
    }

    /// Returns whether `target` holds all shared parts of a prompt, or does not tell what it holds.
    fn is_warm(&self, request: &DirectRequest<'_>, target: &DirectTarget<'_>, now: TimeMs) -> bool {
        let held = self.held_parts(request, target, now);
        target.cached_parts.is_none() || held + 1 >= request.prompt.len()
    }

    /// Returns the cost of work that the home is expected to save, since it holds what other
    /// routers have sent there. Copies at other engines push out other parts, so also one that
    /// holds the parts is no home.
    fn away_cost(&self, supply: &Supply<'_>) -> f64 {
        let again = supply.missing_shared - supply.fetched;
        let again_ms = again as f64 * self.settings.again_ms_per_token;
        let fetch_ms = supply.fetched as f64 * self.settings.fetch_away_ms_per_token;
        self.settings.home_ms + again_ms + fetch_ms
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

//! Selection of the upstream for one attempt.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_cache::is_worth_saving;
use dw_member::Entry;
use dw_place::Choice;
use dw_place::DirectRequest;
use dw_place::DirectTarget;
use dw_wire::UpstreamStart;

use crate::candidates::known_software;
use crate::candidates::open_upstreams;
use crate::candidates::placement_target;
use crate::candidates::Exclusions;
use crate::context::salt;
use crate::context::RequestContext;
use crate::part_keys::PartKeys;
use crate::shared::Shared;
use crate::upstream_end::SentTo;

/// Where an attempt is sent, and what is sent with it.
pub(crate) struct AttemptPlan {
    pub(crate) choice: Choice,
    pub(crate) addr: SocketAddr,
    /// Data centre of the upstream.
    pub(crate) data_centre: DataCentreId,
    /// Start time of the upstream that was selected.
    pub(crate) started_ms: u64,
    /// Version of its software, if it is known.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) scope: String,
    pub(crate) salt: Option<String>,
    pub(crate) fetch_from: Option<SocketAddr>,
    pub(crate) save_to: Option<SocketAddr>,
}

impl AttemptPlan {
    /// Returns the key of the start of the selected upstream.
    pub(crate) fn start(&self) -> UpstreamStart {
        UpstreamStart::new(&self.choice.upstream, self.started_ms)
    }

    /// Returns the selected upstream.
    pub(crate) fn sent_to(&self) -> SentTo {
        SentTo {
            upstream: self.choice.upstream.clone(),
            addr: self.addr,
            start: self.start(),
        }
    }
}

/// No upstream can take the request.
pub(crate) struct NoUpstream {
    pub(crate) reason: &'static str,
}

/// Selects the upstream for the next attempt of a request.
pub(crate) fn select_upstream(
    shared: &Shared,
    context: &RequestContext,
    exclusions: &Exclusions,
) -> Result<AttemptPlan, NoUpstream> {
    let directory = shared.directory.borrow();
    let candidates = open_upstreams(shared, &directory, context, exclusions);
    with_targets(shared, context, &candidates, |cache, targets| {
        let choice = with_request(shared, context, cache, |request, now| {
            shared.placement.borrow().place(request, targets, now)
        });
        attempt_plan(shared, (&candidates, cache), choice)
    })
}

/// Returns the upstreams that are compared for the first attempt of a request, each with its cost, the
/// cheapest first.
pub(crate) fn rank_upstreams(
    shared: &Shared,
    context: &RequestContext,
    candidates: &[&Entry],
) -> Vec<(f64, Choice)> {
    with_targets(shared, context, candidates, |cache, targets| {
        with_request(shared, context, cache, |request, now| {
            shared.placement.borrow().rank(request, targets, now)
        })
    })
}

/// Calls `decide` with what placement compares.
fn with_targets<T>(
    shared: &Shared,
    context: &RequestContext,
    candidates: &[&Entry],
    decide: impl FnOnce(&PromptCache<'_>, &[DirectTarget<'_>]) -> T,
) -> T {
    let kv_capacity = shared
        .routes()
        .and_then(|routes| routes.service(&context.service).and_then(|s| s.kv_capacity));
    let prompt = match kv_capacity {
        Some(_) => context.request_head.prompt.as_slice(),
        None => &[],
    };
    let scope = context.scope();
    let cache = PromptCache::new(shared, &scope, prompt);
    let targets: Vec<DirectTarget<'_>> = candidates
        .iter()
        .filter_map(|entry| placement_target(shared, context, entry, &cache.keys, kv_capacity))
        .collect();
    decide(&cache, &targets)
}

/// Returns the plan for an attempt at the chosen upstream.
fn attempt_plan(
    shared: &Shared,
    (candidates, cache): (&[&Entry], &PromptCache<'_>),
    choice: Option<Choice>,
) -> Result<AttemptPlan, NoUpstream> {
    let chosen = choice.and_then(|choice| Some((find(candidates, &choice.upstream)?, choice)));
    let Some((entry, choice)) = chosen else {
        let reason = match candidates.is_empty() {
            true => "no_upstream_open",
            false => "no_upstream_current",
        };
        return Err(NoUpstream { reason });
    };
    let holder = choice.holder.as_ref();
    let holder = holder.and_then(|holder| find(candidates, holder));
    let holder = holder.map(|holder| holder.registration.addr);
    let salt = choice.weights.map(|weights| salt(cache.scope, weights));
    let is_shared = salt.is_some() && !cache.shared_parts.is_empty();
    let fetch_from = holder.or(cache.store).filter(|_| is_shared);
    let save_to = choice
        .weights
        .and_then(|weights| cache.save_to(weights, shared.now()));
    let registered = &entry.registration;
    Ok(AttemptPlan {
        addr: registered.addr,
        data_centre: registered.data_centre.clone(),
        started_ms: registered.started_ms,
        software: known_software(shared, entry).cloned(),
        choice,
        scope: cache.scope.to_owned(),
        salt,
        fetch_from,
        save_to,
    })
}

fn find<'a>(candidates: &[&'a Entry], upstream: &UpstreamId) -> Option<&'a Entry> {
    let mut candidates = candidates.iter().copied();
    candidates.find(|entry| entry.registration.upstream == *upstream)
}

/// Calls `decide` with the request as placement sees it.
fn with_request<T>(
    shared: &Shared,
    context: &RequestContext,
    cache: &PromptCache<'_>,
    decide: impl FnOnce(&DirectRequest<'_>, TimeMs) -> T,
) -> T {
    let now = shared.now();
    let boot = shared.boot();
    let stored = |weights| cache.stored(weights);
    let request = DirectRequest {
        prompt: cache.prompt,
        scope: cache.scope,
        data_centre: &boot.data_centre,
        objective_ms: (context.arrived + context.route.objective_ms).since(now),
        bytes: context.bytes(),
        output_tokens: context.request_head.output_tokens,
        stored: &stored,
        mixed_objective_ms: mixed_objective_ms(shared, context),
    };
    decide(&request, now)
}

/// Returns the objective of a request to a service that also gets requests with other aims.
///
/// A stream that goes on has none: it is due at once, whatever its length.
fn mixed_objective_ms(shared: &Shared, context: &RequestContext) -> Option<DurationMs> {
    let is_mixed = shared.routes()?.is_mixed(&context.service);
    let is_new = context.request_head.resumes.is_none();
    (is_mixed && is_new).then_some(context.route.objective_ms)
}

/// KV cache of a prompt that the KV stores hold.
struct PromptCache<'a> {
    shared: &'a Shared,
    scope: &'a str,
    keys: PartKeys<'a>,
    prompt: &'a [PromptPart],
    /// Parts that other requests share: all but the last one.
    shared_parts: &'a [PromptPart],
    store: Option<SocketAddr>,
}

impl<'a> PromptCache<'a> {
    fn new(shared: &'a Shared, scope: &'a str, prompt: &'a [PromptPart]) -> Self {
        let shared_parts = prompt.split_last().map_or(prompt, |(_, parts)| parts);
        PromptCache {
            shared,
            scope,
            keys: PartKeys::new(scope, prompt),
            prompt,
            shared_parts,
            store: select_store(shared, shared_parts),
        }
    }

    /// Returns how many tokens of the shared parts the store holds for a version of the weights.
    fn stored(&self, weights: WeightsVersion) -> Tokens {
        let kv = self.shared.kv.borrow();
        let contents = self.store.and_then(|store| kv.get(&store));
        contents.map_or(Tokens(0), |contents| {
            let keys = self.keys.get(weights);
            contents.borrow().leading_tokens(&keys, self.shared_parts)
        })
    }

    /// Returns the store if the engine should save the shared parts of the prompt there.
    fn save_to(&self, weights: WeightsVersion, now: TimeMs) -> Option<SocketAddr> {
        let stored = self.stored(weights);
        let store = self.store?;
        let pressure = pressure(self.shared, store, now);
        is_worth_saving(self.prompt, stored, pressure).then_some(store)
    }
}

/// Selects the KV store for these shared parts among the reachable ones by rendezvous hashing, so
/// that all routers select the same one.
fn select_store(shared: &Shared, parts: &[PromptPart]) -> Option<SocketAddr> {
    let routes = shared.routes()?;
    let kv = shared.kv.borrow();
    let is_reachable = |addr: &SocketAddr| {
        kv.get(addr)
            .is_some_and(|contents| contents.borrow().is_reachable())
    };
    let key = parts.last()?.id;
    let stores = routes.kv_stores().iter().map(|store| store.addr);
    stores.filter(is_reachable).max_by_key(|addr| {
        let score = rendezvous_score(u128::from(key), &addr.to_string(), 1.0);
        score.to_bits()
    })
}

fn pressure(shared: &Shared, store: SocketAddr, now: TimeMs) -> f64 {
    let routes = shared.routes();
    let stores = routes.as_ref().map_or(&[][..], |routes| routes.kv_stores());
    let capacity = stores.iter().find(|s| s.addr == store).map(|s| s.capacity);
    let kv = shared.kv.borrow();
    let contents = kv.get(&store);
    contents.map_or(0.0, |contents| {
        let contents = contents.borrow();
        contents.pressure(capacity.unwrap_or_default(), now)
    })
}

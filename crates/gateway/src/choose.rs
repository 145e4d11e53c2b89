//! Choice of the upstream for one try.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_cache::is_worth_saving;
use dw_member::Entry;
use dw_place::Choice;
use dw_place::DirectRequest;
use dw_place::DirectTarget;

use crate::candidates::open;
use crate::candidates::target;
use crate::candidates::Exclusions;
use crate::job::salt;
use crate::job::Job;
use crate::part_keys::PartKeys;
use crate::shared::Shared;

/// Where a try goes, and how.
pub(crate) struct Plan {
    pub(crate) choice: Choice,
    pub(crate) addr: SocketAddr,
    pub(crate) scope: String,
    pub(crate) salt: Option<String>,
    pub(crate) fetch_from: Option<SocketAddr>,
    pub(crate) save_to: Option<SocketAddr>,
}

/// No upstream can take the request.
pub(crate) struct NoChoice {
    pub(crate) reason: &'static str,
}

/// Chooses the upstream for the next try of a request.
pub(crate) fn choose(
    shared: &Shared,
    job: &Job,
    exclusions: &Exclusions,
) -> Result<Plan, NoChoice> {
    let directory = shared.directory.borrow();
    let candidates = open(shared, &directory, job, exclusions);
    let kv_capacity = shared
        .routes()
        .and_then(|routes| routes.service(&job.service).and_then(|s| s.kv_capacity));
    let prompt = match kv_capacity {
        Some(_) => job.ask.prompt.as_slice(),
        None => &[],
    };
    let scope = job.scope();
    let cache = Cache::new(shared, &scope, prompt);
    let targets: Vec<DirectTarget<'_>> = candidates
        .iter()
        .filter_map(|entry| target(shared, job, entry, &cache.keys, kv_capacity))
        .collect();
    let choice = place(shared, job, &cache, &targets);
    let address = |choice: &Choice| address(&candidates, &choice.upstream);
    let chosen = choice.and_then(|choice| Some((address(&choice)?, choice)));
    let Some((addr, choice)) = chosen else {
        let reason = match candidates.is_empty() {
            true => "no_upstream_open",
            false => "no_upstream_current",
        };
        return Err(NoChoice { reason });
    };
    let holder = choice.holder.as_ref();
    let holder = holder.and_then(|holder| self::address(&candidates, holder));
    let salt = choice.weights.map(|weights| salt(&scope, weights));
    let is_shared = salt.is_some() && !cache.parts.is_empty();
    let fetch_from = holder.or(cache.store).filter(|_| is_shared);
    let save_to = choice
        .weights
        .and_then(|weights| cache.save_to(weights, shared.now()));
    Ok(Plan {
        addr,
        choice,
        scope,
        salt,
        fetch_from,
        save_to,
    })
}

fn address(candidates: &[&Entry], upstream: &dw_base::UpstreamId) -> Option<SocketAddr> {
    let mut entries = candidates.iter();
    let entry = entries.find(|entry| entry.registration.upstream == *upstream)?;
    Some(entry.registration.addr)
}

fn place(
    shared: &Shared,
    job: &Job,
    cache: &Cache<'_>,
    targets: &[DirectTarget<'_>],
) -> Option<Choice> {
    let now = shared.now();
    let boot = shared.boot();
    let stored = |weights| cache.stored(weights);
    let request = DirectRequest {
        prompt: cache.prompt,
        scope: cache.scope,
        data_centre: &boot.data_centre,
        objective_ms: (job.arrived + job.route.objective_ms).since(now),
        bytes: job.bytes(),
        output_tokens: job.ask.output_tokens,
        stored: &stored,
    };
    shared.place.borrow().place(&request, targets, now)
}

/// Kept KV cache of a prompt.
struct Cache<'a> {
    shared: &'a Shared,
    scope: &'a str,
    keys: PartKeys<'a>,
    prompt: &'a [PromptPart],
    /// Parts that other requests share.
    parts: &'a [PromptPart],
    store: Option<SocketAddr>,
}

impl<'a> Cache<'a> {
    fn new(shared: &'a Shared, scope: &'a str, prompt: &'a [PromptPart]) -> Self {
        let parts = prompt.split_last().map_or(prompt, |(_, parts)| parts);
        Cache {
            shared,
            scope,
            keys: PartKeys::new(scope, prompt),
            prompt,
            parts,
            store: store(shared, parts),
        }
    }

    /// Returns the tokens of shared parts that the store holds for some weights.
    fn stored(&self, weights: WeightsVersion) -> Tokens {
        let kv = self.shared.kv.borrow();
        let contents = self.store.and_then(|store| kv.get(&store));
        contents.map_or(Tokens(0), |contents| {
            let keys = self.keys.get(weights);
            contents.borrow().leading_tokens(&keys, self.parts)
        })
    }

    /// Returns the store if the request is to save its shared parts there.
    fn save_to(&self, weights: WeightsVersion, now: TimeMs) -> Option<SocketAddr> {
        let stored = self.stored(weights);
        let store = self.store?;
        let pressure = pressure(self.shared, store, now);
        is_worth_saving(self.prompt, stored, pressure).then_some(store)
    }
}

/// Returns the store that all routers use for these shared parts, among those that answer.
fn store(shared: &Shared, parts: &[PromptPart]) -> Option<SocketAddr> {
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

//! Choice of the upstream for one try.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::ModelId;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_member::Entry;
use dw_place::Choice;
use dw_place::DirectRequest;
use dw_place::DirectTarget;

use crate::job::salt;
use crate::job::Job;
use crate::kv::KvContents;
use crate::shared::Shared;
use crate::weights::Age;

/// Length of a request's own part, relative to the shared ones, up to which it saves them: with an
/// empty store, and with one that is filled anew all the time.
const MOST_OWN: f64 = 4.0;
const LEAST_OWN: f64 = 1.5;

/// Pressure at which a store drops parts before their next use whatever else is saved.
const FULL_PRESSURE: f64 = 1.3;

/// Upstreams that have refused or failed a request.
#[derive(Default)]
pub(crate) struct Exclusions(Vec<UpstreamId>);

impl Exclusions {
    /// Adds an upstream.
    pub(crate) fn add(&mut self, upstream: &UpstreamId) {
        self.0.push(upstream.clone());
    }

    fn has(&self, upstream: &UpstreamId) -> bool {
        self.0.contains(upstream)
    }
}

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
    let now = shared.now();
    let directory = shared.directory.borrow();
    let sidecars = shared.sidecars.borrow();
    let serving: Vec<&Entry> = directory.serving(&job.service).collect();
    if serving.is_empty() {
        return Err(NoChoice {
            reason: "no_upstream",
        });
    }
    let open = serving.into_iter().filter(|entry| {
        !exclusions.has(&entry.listed.upstream) && sidecars.is_open(entry.listed.addr, now)
    });
    let open: Vec<&Entry> = open.collect();
    let healthy: Vec<&Entry> = open
        .iter()
        .copied()
        .filter(|entry| entry.health.usable(now))
        .collect();
    // Without a healthy one, a suspect one is better than none: an unreachable one costs little.
    let candidates = if healthy.is_empty() { open } else { healthy };
    let kv_capacity = shared
        .routes()
        .and_then(|routes| routes.service(&job.service).and_then(|s| s.kv_capacity));
    let weights = shared.weights.borrow();
    let model = job.ask.model.as_ref().filter(|_| kv_capacity.is_some());
    let targets: Vec<DirectTarget<'_>> = candidates
        .iter()
        .filter_map(|entry| {
            let held = model.and_then(|model| Some((model, held_weights(shared, entry, model)?)));
            let age = held.map(|(model, held)| weights.age(model, held, now));
            (age != Some(Age::TooOld)).then(|| DirectTarget {
                upstream: &entry.listed.upstream,
                data_centre: &entry.listed.data_centre,
                slots: entry.listed.slots,
                kv_capacity,
                weights: held.map(|(_, held)| held),
                old_weights: age == Some(Age::Old),
                failure_rate: entry.health.failure_rate(now),
            })
        })
        .collect();
    let scope = job.scope();
    let prompt = job.ask.prompt.as_slice();
    let shared_parts = prompt.split_last().map_or(prompt, |(_, parts)| parts);
    let store = kv_store(shared, shared_parts);
    let stored = |weights| stored_tokens(shared, store, &salt(&scope, weights), shared_parts);
    let boot = shared.boot();
    let request = DirectRequest {
        prompt: if kv_capacity.is_some() { prompt } else { &[] },
        scope: &scope,
        data_centre: &boot.data_centre,
        objective_ms: (job.arrived + job.route.objective_ms).since(now),
        bytes: job.bytes(),
        stored: &stored,
    };
    let choice = shared.place.borrow().place(&request, &targets, now);
    let choice = choice.ok_or(NoChoice {
        reason: "no_upstream_open",
    })?;
    let entry = candidates
        .iter()
        .find(|entry| entry.listed.upstream == choice.upstream)
        .ok_or(NoChoice {
            reason: "no_upstream_open",
        })?;
    let salt = choice.weights.map(|weights| salt(&scope, weights));
    let cached = salt.as_ref().filter(|_| !shared_parts.is_empty());
    let holder = choice.holder.as_ref().and_then(|holder| {
        let holder = candidates.iter().find(|e| e.listed.upstream == *holder)?;
        Some(holder.listed.addr)
    });
    let fetch_from = holder.or(store).filter(|_| cached.is_some());
    let save_to = store.filter(|store| {
        let Some(salt) = cached else {
            return false;
        };
        let stored = stored_tokens(shared, Some(*store), salt, shared_parts);
        is_worth_saving(prompt, stored, kv_pressure(shared, *store, now))
    });
    Ok(Plan {
        addr: entry.listed.addr,
        choice,
        scope,
        salt,
        fetch_from,
        save_to,
    })
}

/// Returns the newest weights that an engine is known to have.
///
/// Weights of an engine only grow, so the greatest of what is known is the newest.
fn held_weights(shared: &Shared, entry: &Entry, model: &ModelId) -> Option<WeightsVersion> {
    let listed = entry.listed.weights(model);
    let told = shared.sidecars.borrow().weights(entry.listed.addr, model);
    let seen = shared.weights.borrow().seen(&entry.listed.upstream);
    listed.max(told).max(seen)
}

/// Returns the store that all routers use for these shared parts, among those that answer.
fn kv_store(shared: &Shared, parts: &[PromptPart]) -> Option<SocketAddr> {
    let routes = shared.routes()?;
    let kv = shared.kv.borrow();
    let is_up = |addr: &SocketAddr| kv.get(addr).is_some_and(KvContents::is_up);
    let key = parts.last()?.id;
    let stores = routes.kv_stores().iter().map(|store| store.addr);
    stores.filter(is_up).max_by_key(|addr| {
        let score = rendezvous_score(u128::from(key), &addr.to_string(), 1.0);
        score.to_bits()
    })
}

fn stored_tokens(
    shared: &Shared,
    store: Option<SocketAddr>,
    salt: &str,
    parts: &[PromptPart],
) -> Tokens {
    let kv = shared.kv.borrow();
    let contents = store.and_then(|store| kv.get(&store));
    contents.map_or(Tokens(0), |contents| contents.leading(salt, parts))
}

/// A request saves its shared parts if the store lacks some. The store keeps the request's own part
/// as well and drops shared parts for it, so the own part may be the smaller the more was saved
/// lately.
fn is_worth_saving(prompt: &[PromptPart], stored: Tokens, pressure: f64) -> bool {
    let Some((own, shared)) = prompt.split_last() else {
        return false;
    };
    let shared: u64 = shared.iter().map(|part| part.tokens.0).sum();
    let most_own = (MOST_OWN * (FULL_PRESSURE - pressure)).clamp(LEAST_OWN, MOST_OWN);
    stored.0 < shared && own.tokens.0 as f64 <= shared as f64 * most_own
}

fn kv_pressure(shared: &Shared, store: SocketAddr, now: TimeMs) -> f64 {
    let routes = shared.routes();
    let stores = routes.as_ref().map_or(&[][..], |routes| routes.kv_stores());
    let capacity = stores.iter().find(|s| s.addr == store).map(|s| s.capacity);
    let kv = shared.kv.borrow();
    let contents = kv.get(&store);
    contents.map_or(0.0, |contents| {
        contents.pressure(capacity.unwrap_or_default(), now)
    })
}

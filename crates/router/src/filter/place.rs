//! Chooses an upstream.

use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::UpstreamId;
use dw_config::Config;
use dw_config::Upstream;
use dw_config::UpstreamState;
use dw_place::Decision;
use dw_place::KnownCost;
use dw_place::PlaceRequest;
use dw_place::Target;
use dw_wire::Work;

use crate::explain::Placed;
use crate::members::Agent;
use crate::run::Job;
use crate::shared::Shared;

/// Upstreams that were tried for a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    pub(crate) attempt: u32,
    pub(crate) hops: u32,
    pub(crate) hint: Option<UpstreamId>,
    pub(crate) known: Vec<KnownCost>,
    pub(crate) excluded: Vec<UpstreamId>,
}

/// Returns the chain of the work, if it has one.
pub(crate) fn chain_of(work: &Work) -> Option<&Chain> {
    match work {
        Work::Generate { chain, .. } => Some(chain),
        Work::Call { .. } => None,
    }
}

/// Chooses an upstream among those that serve the request and can be reached.
pub(crate) fn place(
    shared: &Shared,
    job: &Job,
    tried: &Tried,
    budget_ms: DurationMs,
) -> Option<(Decision, Agent)> {
    let _span = job.step("place");
    let config = shared.config.current();
    let now = shared.clock.now();
    let targets = targets(shared, &config, job);
    let request = PlaceRequest {
        chain: chain_of(&job.work).cloned(),
        priority: job.priority,
        budget_ms,
        data_centre: shared.settings.data_centre.clone(),
        hint: tried.hint.clone(),
        known: tried.known.clone(),
        excluded: tried.excluded.clone(),
    };
    let decision = {
        let mut placer = shared.placer();
        let placer = &mut *placer;
        placer
            .policy
            .place(&request, &targets, now, &mut placer.rng)?
    };
    let agent = shared.members.usable(&decision.upstream, now)?;
    shared.members.placed(&decision.upstream, now);
    shared.measures.placed(kind(&decision, tried));
    shared.records.add(Placed {
        request_id: job.request_id.clone(),
        attempt: tried.attempt + 1,
        at: now,
        decision: decision.clone(),
        blocks: chain_of(&job.work).map_or_else(Vec::new, |chain| chain.blocks.clone()),
    });
    Some((decision, agent))
}

/// Returns how an upstream was chosen, for metrics.
fn kind(decision: &Decision, tried: &Tried) -> &'static str {
    if tried.hint.as_ref() == Some(&decision.upstream) {
        return "named by an agent";
    }
    let mut candidates = decision.candidates.iter();
    let chosen = candidates.find(|candidate| candidate.upstream == decision.upstream);
    match chosen {
        Some(candidate) if candidate.home => "home",
        _ => "not a home",
    }
}

fn targets(shared: &Shared, config: &Config, job: &Job) -> Vec<Target> {
    let now = shared.clock.now();
    config
        .upstreams()
        .filter(|upstream| serves(upstream, job))
        .filter(|upstream| shared.members.usable(&upstream.name, now).is_some())
        .map(|upstream| Target {
            upstream: upstream.name.clone(),
            data_centre: upstream.data_centre.clone(),
            prefill_tokens_per_s: upstream.prefill_tokens_per_s,
            decode_tokens_per_s: upstream.decode_tokens_per_s,
            max_batch: upstream.max_batch,
        })
        .collect()
}

fn serves(upstream: &Upstream, job: &Job) -> bool {
    let model_fits = match &job.work {
        Work::Generate { model, .. } => upstream.model.as_ref() == Some(model),
        Work::Call { .. } => true,
    };
    model_fits
        && upstream.state == UpstreamState::Active
        && upstream.services.contains(&job.service.name)
}

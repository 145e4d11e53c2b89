//! Checks of an arriving request that need no queue.

use dw_base::DurationMs;
use dw_base::Salt;
use dw_config::Config;
use dw_config::UpstreamKind;
use dw_place::ImportCost;
use dw_wire::RefusalReason;
use dw_wire::RepeatRule;
use dw_wire::RunRequest;
use dw_wire::Work;
use dw_wire::PROTOCOL_VERSION;

use crate::shared::Shared;

/// Most refusals with [`RefusalReason::BetterHome`] that one request gets.
const MAX_HOPS: u32 = 2;

/// Advantage that the second choice must have; a hop itself costs a few milliseconds.
const HOP_MARGIN_MS: DurationMs = DurationMs(50);

/// When to come back to an upstream that is not ready. Weights load in 0.25 s to 1.3 s.
const NOT_READY_RETRY_MS: DurationMs = DurationMs(250);

/// Why a request is refused and when to come back.
pub(crate) type Refused = (RefusalReason, Option<DurationMs>);

/// Checks a request in the state in which the agent is now.
pub(crate) fn check(shared: &Shared, request: &RunRequest) -> Result<(), Refused> {
    let config = shared.config();
    well_formed(request)?;
    right_upstream(shared, &config, request)?;
    if shared.leaving() || shared.draining(&config) {
        return Err((RefusalReason::Leaving, None));
    }
    if shared.peer.isolated() {
        return Err((RefusalReason::Isolated, None));
    }
    ready(shared, request)?;
    good_placement(shared, request)
}

/// Checks whether the upstream can take the work now; it is checked again after the queue.
pub(crate) fn ready(shared: &Shared, request: &RunRequest) -> Result<(), Refused> {
    let view = shared.upstream();
    let weights_match = match &request.work {
        Work::Generate { weights, .. } => *weights == view.weights,
        Work::Call { .. } => true,
    };
    if view.ready && weights_match {
        return Ok(());
    }
    Err((RefusalReason::NotReady, Some(NOT_READY_RETRY_MS)))
}

fn well_formed(request: &RunRequest) -> Result<(), Refused> {
    let bad = Err((RefusalReason::BadRequest, None));
    if request.protocol != PROTOCOL_VERSION {
        return bad;
    }
    let at_most_once = request.repeat == RepeatRule::AtMostOnce;
    match &request.work {
        // A chain of another salt could lead to the cache entries of another organisation.
        Work::Generate {
            model,
            weights,
            chain,
            ..
        } => {
            let salt = Salt {
                org: request.org.clone(),
                model: model.clone(),
                weights: *weights,
            };
            if at_most_once || chain.root != salt.root() {
                return bad;
            }
        }
        Work::Call { key, .. } if at_most_once && key.is_none() => return bad,
        Work::Call { .. } => {}
    }
    Ok(())
}

fn right_upstream(shared: &Shared, config: &Config, request: &RunRequest) -> Result<(), Refused> {
    let Some(declared) = shared.declared(config) else {
        return Err((RefusalReason::NotReady, Some(NOT_READY_RETRY_MS)));
    };
    let work_fits = match &request.work {
        Work::Generate { model, .. } => {
            declared.kind == UpstreamKind::Engine && declared.model.as_ref() == Some(model)
        }
        Work::Call { .. } => declared.kind == UpstreamKind::Plain,
    };
    let service_fits = declared.services.contains(&request.service);
    if request.upstream == declared.name && work_fits && service_fits {
        return Ok(());
    }
    Err((RefusalReason::WrongUpstream, None))
}

/// Refuses a request that is better placed at the router's second choice.
fn good_placement(shared: &Shared, request: &RunRequest) -> Result<(), Refused> {
    let Work::Generate { chain, .. } = &request.work else {
        return Ok(());
    };
    let Some(other) = request.alternative.filter(|_| request.hops < MAX_HOPS) else {
        return Ok(());
    };
    let (load, wait_ms) = shared.queue.load();
    let wait_ms = wait_ms[request.priority.index()];
    let uncached = chain.uncached_tokens(shared.feed.predict(chain).depth);
    let speed = load.prefill_tokens_per_s.get().max(1.0);
    let prefill_ms = ImportCost::default().prefill_ms(uncached, speed);
    let cost_ms = wait_ms.0 as f64 + other.prefill_weight * prefill_ms;
    if cost_ms > (other.cost_ms + HOP_MARGIN_MS).0 as f64 {
        return Err((RefusalReason::BetterHome, Some(wait_ms)));
    }
    Ok(())
}

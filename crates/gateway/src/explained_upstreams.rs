//! Upstreams in an explanation: those that are compared, and why others are not.

use dw_api::explain::Candidate;
use dw_api::explain::Excluded;
use dw_member::Directory;
use dw_member::Entry;
use dw_place::Choice;

use crate::candidates::closed_reason;
use crate::candidates::held_weights;
use crate::candidates::open_upstreams;
use crate::candidates::Exclusions;
use crate::context::RequestContext;
use crate::selection::rank_upstreams;
use crate::shared::Shared;
use crate::weights::Freshness;

/// Returns the upstreams that are compared for a request, the cheapest first.
pub(crate) fn candidates(
    shared: &Shared,
    context: &RequestContext,
    directory: &Directory,
) -> Vec<Candidate> {
    let open = open_upstreams(shared, directory, context, &Exclusions::default());
    let ranked = rank_upstreams(shared, context, &open);
    let ranked = ranked.into_iter();
    ranked
        .filter_map(|(cost, choice)| candidate(shared, context, directory, (cost, &choice)))
        .collect()
}

fn candidate(
    shared: &Shared,
    context: &RequestContext,
    directory: &Directory,
    (cost, choice): (f64, &Choice),
) -> Option<Candidate> {
    let entry = directory.get(&choice.upstream)?;
    let now = shared.now();
    let age_ms = shared.view.borrow().age_ms(entry.registration.addr, now);
    let freshness = held_weights(shared, context, entry).map(|(_, freshness)| freshness);
    Some(Candidate {
        upstream: choice.upstream.to_string(),
        data_centre: entry.registration.data_centre.to_string(),
        cost,
        first_token_ms: choice.first_token_ms.0,
        wait_ms: choice.backlog_ms.0,
        missing_tokens: choice.missing_tokens.0,
        fetched_tokens: choice.fetched_tokens.0,
        weights: choice.weights.map(|weights| weights.0),
        is_home: choice.home,
        is_outdated: freshness == Some(Freshness::Outdated),
        failure_rate: entry.health.failure_rate(now),
        age_ms: age_ms.map(|age_ms| age_ms.0),
    })
}

/// Returns the registered upstreams of the service that are not candidates.
pub(crate) fn excluded(
    shared: &Shared,
    context: &RequestContext,
    (directory, candidates): (&Directory, &[Candidate]),
) -> Vec<Excluded> {
    let is_candidate = |entry: &&Entry| {
        let upstream = entry.registration.upstream.as_str();
        candidates
            .iter()
            .any(|candidate| candidate.upstream == upstream)
    };
    let registered = directory.all();
    let others = registered
        .filter(|entry| entry.registration.service == context.service)
        .filter(|entry| !is_candidate(entry));
    let excluded = others.map(|entry| Excluded {
        upstream: entry.registration.upstream.to_string(),
        reason: excluded_reason(shared, context, entry).to_owned(),
    });
    excluded.collect()
}

fn excluded_reason(shared: &Shared, context: &RequestContext, entry: &Entry) -> &'static str {
    let now = shared.now();
    if entry.is_leaving() {
        return "leaving";
    }
    if let Some(reason) = closed_reason(shared, context, entry, now) {
        return reason;
    }
    match entry.health.is_usable(now) {
        true => "weights_unknown_or_expired",
        false => "unhealthy",
    }
}

//! Candidate upstreams for a request.

use dw_base::ModelId;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_member::Directory;
use dw_member::Entry;
use dw_place::DirectTarget;

use crate::context::RequestContext;
use crate::part_keys::PartKeys;
use crate::shared::Shared;
use crate::upstream_end::registered_start;
use crate::weights::Freshness;

/// Upstreams that were already tried for a request.
#[derive(Default)]
pub(crate) struct Exclusions(Vec<UpstreamId>);

impl Exclusions {
    /// Adds an upstream.
    pub(crate) fn add(&mut self, upstream: &UpstreamId) {
        self.0.push(upstream.clone());
    }

    fn contains(&self, upstream: &UpstreamId) -> bool {
        self.0.contains(upstream)
    }
}

/// Returns the open upstreams of the request's service that were not tried yet: only the healthy
/// ones if there are any, and all of them otherwise.
pub(crate) fn open_upstreams<'a>(
    shared: &Shared,
    directory: &'a Directory,
    context: &'a RequestContext,
    exclusions: &Exclusions,
) -> Vec<&'a Entry> {
    let now = shared.now();
    let open: Vec<&Entry> = directory
        .serving(&context.service)
        .filter(|entry| !exclusions.contains(&entry.registration.upstream))
        .filter(|entry| closed_reason(shared, context, entry, now).is_none())
        .collect();
    let healthy = open.iter().filter(|entry| entry.health.is_usable(now));
    let healthy: Vec<&Entry> = healthy.copied().collect();
    // If no upstream is healthy, suspect ones are tried too: a failed connection costs little time.
    if healthy.is_empty() {
        open
    } else {
        healthy
    }
}

/// Returns why an upstream takes no such request now, or nothing if it does.
pub(crate) fn closed_reason(
    shared: &Shared,
    context: &RequestContext,
    entry: &Entry,
    now: TimeMs,
) -> Option<&'static str> {
    if !may_run_on(shared, context, entry) {
        return Some("other_software_version");
    }
    if entry.is_paused(now) {
        return Some("paused");
    }
    if shared.limits.denied_until(entry, now).is_some() {
        return Some("no_permit");
    }
    let is_open = shared.view.borrow().is_open(entry.registration.addr, now);
    (!is_open).then_some("closing_or_unreachable")
}

/// Returns the version of an upstream's software, or nothing if its registration is of an earlier start.
///
/// An upstream may start again under its id with another version. Until the registration of that start is read,
/// which takes long while the table is unreachable, only its sidecar's word or its end tells of it.
pub(crate) fn known_software<'a>(shared: &Shared, entry: &'a Entry) -> Option<&'a SoftwareVersion> {
    let registration = &entry.registration;
    let announced = shared.view.borrow().started_ms(registration.addr);
    let registered_ms = Some(registration.started_ms).filter(|started_ms| *started_ms > 0);
    let has_restarted = registered_ms.is_some_and(|registered_ms| announced > Some(registered_ms));
    let has_ended = shared.ended.contains(registered_start(entry));
    (!has_restarted && !has_ended).then_some(&registration.software)
}

/// Returns whether an upstream may run a request, which may require a version of its software.
pub(crate) fn may_run_on(shared: &Shared, context: &RequestContext, entry: &Entry) -> bool {
    let required = context.software.as_ref();
    required.is_none_or(|required| known_software(shared, entry) == Some(required))
}

/// Returns the properties of an upstream that placement compares, or `None` if its weights are
/// unknown or too old to be used.
pub(crate) fn placement_target<'a>(
    shared: &Shared,
    context: &RequestContext,
    entry: &'a Entry,
    keys: &PartKeys<'_>,
    kv_capacity: Option<Tokens>,
) -> Option<DirectTarget<'a>> {
    let now = shared.now();
    let (weights, freshness) = match kv_capacity {
        None => (None, Freshness::Current),
        Some(_) => {
            let (held, freshness) = held_weights(shared, context, entry)?;
            (Some(held), freshness)
        }
    };
    let view = shared.view.borrow();
    let addr = entry.registration.addr;
    let keys = weights.map(|weights| keys.get(weights));
    (freshness != Freshness::Expired).then(|| DirectTarget {
        upstream: &entry.registration.upstream,
        data_centre: &entry.registration.data_centre,
        slots: entry.registration.slots,
        kv_capacity,
        weights,
        cached_parts: keys.and_then(|keys| view.cached_parts(addr, &keys, now)),
        old_weights: freshness == Freshness::Outdated,
        loads_soon: view.loads_soon(addr, now),
        failure_rate: entry.health.failure_rate(now),
        limited: shared.limits.is_avoided(entry, now),
    })
}

/// Returns the weights of the requested model that an engine holds, and whether newer ones were published;
/// nothing if they are unknown, or the upstream is no engine.
pub(crate) fn held_weights(
    shared: &Shared,
    context: &RequestContext,
    entry: &Entry,
) -> Option<(WeightsVersion, Freshness)> {
    let model = model(context, entry)?;
    let held = newest_known_weights(shared, entry, model)?;
    let weights = shared.weights.borrow();
    Some((held, weights.freshness(model, held, shared.now())))
}

/// Returns the requested model, or the engine's first one if the request does not specify one.
fn model<'a>(context: &'a RequestContext, entry: &'a Entry) -> Option<&'a ModelId> {
    let first = entry.registration.models.first().map(|(model, _)| model);
    context.request_head.model.as_ref().or(first)
}

/// Records the weights that an answer names, which are those of the requested model.
pub(crate) fn record_weights(
    shared: &Shared,
    context: &RequestContext,
    upstream: &UpstreamId,
    weights: WeightsVersion,
) {
    let directory = shared.directory.borrow();
    if let Some(model) = directory
        .get(upstream)
        .and_then(|entry| model(context, entry))
    {
        let mut known = shared.weights.borrow_mut();
        known.record_observed(upstream, model, weights);
    }
}

/// Returns the newest weights that an engine is known to have.
///
/// The version of an engine's weights never decreases, so the highest known version is the newest.
fn newest_known_weights(shared: &Shared, entry: &Entry, model: &ModelId) -> Option<WeightsVersion> {
    let registered = entry.registration.weights(model);
    let announced = shared.view.borrow().weights(entry.registration.addr, model);
    let observed = shared
        .weights
        .borrow()
        .observed(&entry.registration.upstream, model);
    registered.max(announced).max(observed)
}

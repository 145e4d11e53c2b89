//! Choice of the upstreams that cache the shared parts of a prompt.

use dw_base::rendezvous_score;
use dw_base::PrefixKey;
use dw_base::PromptPart;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;

use crate::direct_request::DirectRequest;
use crate::direct_request::DirectTarget;

/// Preferred upstreams for the shared parts of a prompt, among those with the same weights: KV cache
/// computed with other weights cannot be used.
#[derive(Clone, Copy)]
pub(crate) struct Homes<'a> {
    pub(crate) weights: Option<WeightsVersion>,
    /// Home among all upstreams, which computes the parts while the KV store lacks them.
    pub(crate) global: Option<&'a UpstreamId>,
    /// Home within the router's data centre if it holds the parts, else the global one; used once
    /// the parts can be fetched. A copy in each data centre regardless of cache state would be
    /// evicted before it is used again.
    pub(crate) local_if_warm: Option<&'a UpstreamId>,
}

impl<'a> Homes<'a> {
    /// Returns the homes of the shared parts of a prompt, on which all routers agree.
    ///
    /// `share` is the relative number of prompts of which an upstream is the home; `is_warm` returns
    /// whether it holds the parts.
    pub(crate) fn find(
        request: &DirectRequest<'_>,
        targets: &[DirectTarget<'a>],
        weights: Option<WeightsVersion>,
        share: impl Fn(&UpstreamId) -> f64,
        is_warm: impl Fn(&DirectTarget<'a>) -> bool,
    ) -> Self {
        let shared = request
            .prompt
            .split_last()
            .map_or(&[][..], |(_, parts)| parts);
        let root = PrefixKey::root(request.scope);
        let key = shared.iter().fold(root, |key, part| key.with_part(part));
        let score = |target: &&DirectTarget<'_>| {
            let share = share(target.upstream);
            let score = rendezvous_score(u128::from(key.0), target.upstream.as_str(), share);
            score.to_bits()
        };
        let is_local = |target: &&DirectTarget<'_>| target.data_centre == request.data_centre;
        let has_weights = |target: &&DirectTarget<'_>| target.weights == weights;
        // An upstream with a request limit takes few of the prompts of which it would be the home.
        let all_limited = targets
            .iter()
            .filter(has_weights)
            .all(|target| target.limited);
        let same_weights = || {
            let same = targets.iter().filter(has_weights);
            same.filter(move |target| all_limited || !target.limited)
        };
        let global = same_weights().max_by_key(score);
        let local = same_weights().filter(is_local).max_by_key(score);
        let local_if_warm = local.filter(|local| is_warm(local)).or(global);
        Homes {
            weights,
            global: global.map(|target| target.upstream),
            local_if_warm: local_if_warm.map(|target| target.upstream),
        }
    }
}

/// Returns the engine from which `target` can fetch the most parts; engines in its data centre are
/// preferred at equal depth.
pub(crate) fn best_source<'t, 'a>(
    targets: &'t [DirectTarget<'a>],
    target: &DirectTarget<'_>,
    home: Option<&UpstreamId>,
) -> Option<&'t DirectTarget<'a>> {
    let has_same_weights = |other: &&DirectTarget<'_>| {
        other.weights == target.weights && other.upstream != target.upstream
    };
    targets.iter().filter(has_same_weights).max_by_key(|other| {
        let is_local = other.data_centre == target.data_centre;
        (other.cached_parts, is_local, home == Some(other.upstream))
    })
}

/// Returns the key of each prefix of a prompt, the shortest first.
pub(crate) fn prefix_keys(
    scope: &str,
    weights: WeightsVersion,
    prompt: &[PromptPart],
) -> Vec<PrefixKey> {
    let salt = PromptPart {
        id: weights.0,
        tokens: Tokens(0),
    };
    let mut key = PrefixKey::root(scope).with_part(&salt);
    prompt
        .iter()
        .map(|part| {
            key = key.with_part(part);
            key
        })
        .collect()
}

//! Which upstreams hold, or are to hold, the shared parts of a prompt.

use dw_base::rendezvous_score;
use dw_base::PrefixKey;
use dw_base::PromptPart;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;

use crate::direct_request::DirectRequest;
use crate::direct_request::DirectTarget;

/// Preferred upstreams for the shared parts of a prompt among those with the same weights, since
/// cached parts of other weights are of no use.
#[derive(Clone, Copy)]
pub(crate) struct Homes<'a> {
    pub(crate) weights: Option<WeightsVersion>,
    /// Of all upstreams: computes the parts while the store lacks them.
    pub(crate) first: Option<&'a UpstreamId>,
    /// Of those in the data centre of the router if it holds the parts, else the first one: used
    /// once the parts can be fetched. Own copies for each data centre push one another out before
    /// they are used again.
    pub(crate) warm: Option<&'a UpstreamId>,
}

impl<'a> Homes<'a> {
    /// Returns the upstreams that all routers prefer for the shared parts; `share` tells for how
    /// many prompts one is the home, `is_warm` whether it holds the parts.
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
        let near = |target: &&DirectTarget<'_>| target.data_centre == request.data_centre;
        let same = || targets.iter().filter(|target| target.weights == weights);
        let first = same().max_by_key(score);
        let nearest = same().filter(near).max_by_key(score);
        let warm = nearest.filter(|nearest| is_warm(nearest)).or(first);
        Homes {
            weights,
            first: first.map(|target| target.upstream),
            warm: warm.map(|target| target.upstream),
        }
    }
}

/// Returns the engine from which `target` can fetch the most parts, near it if possible.
pub(crate) fn holder<'t, 'a>(
    targets: &'t [DirectTarget<'a>],
    target: &DirectTarget<'_>,
    home: Option<&UpstreamId>,
) -> Option<&'t DirectTarget<'a>> {
    let same = |other: &&DirectTarget<'_>| {
        other.weights == target.weights && other.upstream != target.upstream
    };
    targets.iter().filter(same).max_by_key(|other| {
        let is_near = other.data_centre == target.data_centre;
        (other.cached_parts, is_near, home == Some(other.upstream))
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

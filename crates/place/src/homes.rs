//! Choice of upstreams by weighted rendezvous hashing.

use dw_base::rendezvous_score;
use dw_base::BlockHash;

use crate::policy::PlaceRequest;
use crate::target::Target;

/// Sorts `positions` by rendezvous score for `key` and keeps the first `width`.
///
/// `positions` are indices into `targets` and `weights`. Ties are broken by name, so that the result
/// does not depend on the order of the targets.
pub(crate) fn keep_preferred(
    positions: &mut Vec<usize>,
    key: BlockHash,
    width: usize,
    targets: &[&Target],
    weights: &[f64],
) {
    let mut scored: Vec<(f64, usize)> = positions
        .iter()
        .map(|i| {
            let score = rendezvous_score(key.0, targets[*i].upstream.as_str(), weights[*i]);
            (score, *i)
        })
        .collect();
    scored.sort_by(|a, b| {
        let names = || targets[a.1].upstream.cmp(&targets[b.1].upstream);
        b.0.total_cmp(&a.0).then_with(names)
    });
    positions.clear();
    positions.extend(scored.into_iter().take(width.max(1)).map(|(_, i)| i));
}

/// Returns the target with the highest rendezvous score for a key, weighted by declared speed,
/// among those that are not excluded.
pub(crate) fn first_choice<'a>(
    key: u128,
    request: &PlaceRequest,
    targets: &'a [Target],
) -> Option<&'a Target> {
    let score = |target: &Target| {
        let weight = target.prefill_tokens_per_s.get();
        rendezvous_score(key, target.upstream.as_str(), weight)
    };
    targets
        .iter()
        .filter(|target| !request.excluded.contains(&target.upstream))
        .max_by(|a, b| score(a).total_cmp(&score(b)))
}

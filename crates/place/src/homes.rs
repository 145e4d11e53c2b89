//! Home sets by nested weighted rendezvous hashing.

use dw_base::rendezvous_score;
use dw_base::BlockHash;

use crate::target::Target;

/// Orders the members of `set` by preference for one level and keeps the first `width`.
///
/// `set` holds positions in `targets` and `weights`. Ties are decided by name, so that the result
/// does not depend on the order of the targets.
pub(crate) fn narrow(
    set: &mut Vec<usize>,
    key: BlockHash,
    width: usize,
    targets: &[&Target],
    weights: &[f64],
) {
    let mut scored: Vec<(f64, usize)> = set
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
    set.clear();
    set.extend(scored.into_iter().take(width.max(1)).map(|(_, i)| i));
}

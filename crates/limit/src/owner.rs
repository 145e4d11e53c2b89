//! Selection of the router that owns a limit.

use dw_base::rendezvous_score;
use dw_base::NodeId;

/// Returns the router that owns the limit with this key hash, by rendezvous hashing.
pub fn owner<'a>(key: u128, routers: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
    let score = |id: &NodeId| rendezvous_score(key, id.as_str(), 1.0);
    routers.max_by(|a, b| score(a).total_cmp(&score(b)).then_with(|| b.cmp(a)))
}

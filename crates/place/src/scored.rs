//! Cost of one upstream for a request.

use crate::direct_request::Choice;

/// Upstream with its cost in weighted milliseconds.
pub(crate) struct Scored {
    pub(crate) cost: f64,
    /// Part of the cost that does not depend on the wait or on the caches.
    pub(crate) penalty: f64,
    pub(crate) choice: Choice,
}

/// Returns the upstream with the lowest cost.
pub(crate) fn cheapest(scored: impl IntoIterator<Item = Scored>) -> Option<Scored> {
    scored.into_iter().min_by(|a, b| a.cost.total_cmp(&b.cost))
}

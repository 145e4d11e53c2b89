//! Selection of the process that issues the permits of an upstream.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_wire::UpstreamStart;

/// Returns the process among `live` that issues the permits of an upstream, by rendezvous hashing.
pub fn first_issuer(
    upstream: UpstreamStart,
    live: impl Iterator<Item = SocketAddr>,
) -> Option<SocketAddr> {
    live.max_by_key(|addr| {
        let score = rendezvous_score(u128::from(upstream.0), &addr.to_string(), 1.0);
        (score.to_bits(), *addr)
    })
}

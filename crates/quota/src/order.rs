//! Selection of the process that counts for an organisation.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::OrgId;
use dw_base::PrefixKey;

/// Returns the process among `live` that counts for an organisation, by rendezvous hashing.
pub fn first_counter(org: &OrgId, live: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    counters(org, live)[0]
}

/// Returns the process that counts for an organisation, and the one that takes over from it.
pub(crate) fn counters(
    org: &OrgId,
    live: impl Iterator<Item = SocketAddr>,
) -> [Option<SocketAddr>; 2] {
    let key = u128::from(PrefixKey::root(org.as_str()).0);
    let mut best: [Option<(u64, SocketAddr)>; 2] = [None, None];
    for addr in live {
        let score = rendezvous_score(key, &addr.to_string(), 1.0);
        let candidate = Some((score.to_bits(), addr));
        if candidate > best[0] {
            best = [candidate, best[0]];
        } else if candidate > best[1] {
            best[1] = candidate;
        }
    }
    best.map(|best| best.map(|(_, addr)| addr))
}

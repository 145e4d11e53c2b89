//! Selection of the process that counts for an organisation.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::OrgId;
use dw_base::PrefixKey;

/// Returns the process among `live` that counts for an organisation, by rendezvous hashing.
pub fn first_counter(org: &OrgId, live: impl Iterator<Item = SocketAddr>) -> Option<SocketAddr> {
    let key = u128::from(PrefixKey::root(org.as_str()).0);
    live.max_by_key(|addr| {
        let score = rendezvous_score(key, &addr.to_string(), 1.0);
        (score.to_bits(), *addr)
    })
}

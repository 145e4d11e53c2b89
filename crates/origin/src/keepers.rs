//! Which processes keep the origin of a stream.

use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::StreamKey;

/// Processes that are told where a stream began.
pub const KEEPERS: usize = 2;

/// Returns the first `count` of the candidates in the rendezvous order of a stream.
///
/// All routers with the same candidates get the same order, and a candidate that leaves moves the others
/// by one place.
pub fn keepers(
    stream: StreamKey,
    candidates: impl IntoIterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let score = |addr: &SocketAddr| rendezvous_score(u128::from(stream.0), &addr.to_string(), 1.0);
    let candidates = candidates.into_iter();
    let mut scored: Vec<(f64, SocketAddr)> = candidates.map(|addr| (score(&addr), addr)).collect();
    scored.sort_unstable_by(|(a, a_addr), (b, b_addr)| b.total_cmp(a).then(a_addr.cmp(b_addr)));
    scored.truncate(count);
    scored.into_iter().map(|(_, addr)| addr).collect()
}

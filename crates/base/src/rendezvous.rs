//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `member` for `key`; the member with the greatest score is the first choice.
///
/// The score is `-weight / ln(u)` with `u` uniform in (0, 1), so each member wins a share of keys
/// in proportion to its weight, and a change of one weight moves only keys of that member.
pub fn rendezvous_score(key: u128, member: &str, weight: f64) -> f64 {
    let seed = (key as u64) ^ ((key >> 64) as u64).rotate_left(32);
    let hash = xxh3_64_with_seed(member.as_bytes(), seed);
    // 53 bits fill the mantissa; the half step keeps u away from 0 and 1.
    let u = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    weight.max(0.0) / -u.ln()
}

//! Weighted rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of a hash that count: as many as the mantissa of a score holds.
const HASH_BITS: u32 = 53;

/// Returns the hash of `member` for `key`, a number of 53 bits. Members of equal weight have the same order by
/// their hashes as by their scores.
pub fn rendezvous_hash(key: u128, member: &str) -> u64 {
    let seed = (key as u64) ^ ((key >> 64) as u64).rotate_left(32);
    xxh3_64_with_seed(member.as_bytes(), seed) >> (u64::BITS - HASH_BITS)
}

/// Returns the score of `member` for `key`; the member with the greatest score is the first choice.
///
/// The score is `-weight / ln(u)` with `u` uniform in (0, 1), so each member wins a share of keys
/// in proportion to its weight, and a change of one weight moves only keys of that member.
pub fn rendezvous_score(key: u128, member: &str, weight: f64) -> f64 {
    // The half step keeps u away from 0 and 1.
    let u = (rendezvous_hash(key, member) as f64 + 0.5) / (1u64 << HASH_BITS) as f64;
    weight.max(0.0) / -u.ln()
}

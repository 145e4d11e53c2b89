//! Deterministic text of the generated tokens.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Returns the text of token `index` of the answer to `request_id`: three characters and a space.
///
/// The characters encode the lowest 15 bits of the xxh3 hash of the request id, seeded with the
/// index: five bits each, least significant first, in the alphabet `a-z2-7`.
pub fn token_text(request_id: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(request_id.as_bytes(), index);
    let mut text: String = (0..3)
        .map(|group| char::from(ALPHABET[(hash >> (5 * group)) as usize & 31]))
        .collect();
    text.push(' ');
    text
}

/// Returns the complete answer to `request_id` with `tokens` tokens.
pub fn answer_text(request_id: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|index| token_text(request_id, index))
        .collect()
}

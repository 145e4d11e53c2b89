//! The text that the stand-in engine generates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

const ALPHABET: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyz234567";

/// Returns the text of token `index` of the answer to `request_id`: three characters and a space.
///
/// The characters are the lowest three groups of five bits of the xxh3 hash of the request id with
/// the index as seed, written in the alphabet `a-z2-7`.
pub fn token_text(request_id: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(request_id.as_bytes(), index);
    let mut text: String = (0..3)
        .map(|group| char::from(ALPHABET[(hash >> (5 * group)) as usize & 31]))
        .collect();
    text.push(' ');
    text
}

/// Returns the whole answer of `tokens` tokens to `request_id`.
pub fn answer_text(request_id: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|index| token_text(request_id, index))
        .collect()
}

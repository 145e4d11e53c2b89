//! Synthetic prompts with nested shared prefixes.

use dw_base::BLOCK_BYTES;
use dw_base::BYTES_PER_TOKEN;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of each prefix level of a prompt, in pieces of 2,048 tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelSizes {
    /// Pieces shared by all requests of a catalogue.
    pub catalogue: usize,
    /// Pieces shared by all requests of a venue.
    pub venue: usize,
    /// Pieces shared by all requests of a client.
    pub client: usize,
}

/// Identifiers of the levels of a prompt, which determine its text.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Prompt {
    /// Organisation.
    pub org: String,
    /// Service; each service has its own catalogues.
    pub service: &'static str,
    /// Index of the catalogue within the organisation and service.
    pub catalogue: usize,
    /// Index of the venue within the catalogue.
    pub venue: usize,
    /// Index of the client within the venue.
    pub client: usize,
    /// Identifier of the request-specific text.
    pub suffix_id: u64,
}

impl Prompt {
    /// Returns the text: the catalogue, venue and client levels, then `suffix_tokens` tokens of
    /// request-specific text.
    pub fn text(&self, sizes: LevelSizes, suffix_tokens: u64) -> String {
        let catalogue = format!("{}/{}/{}", self.org, self.service, self.catalogue);
        let venue = format!("{catalogue}/{}", self.venue);
        let client = format!("{venue}/{}", self.client);
        let own = format!("{client}/{}", self.suffix_id);
        let mut text = String::new();
        append_text(&mut text, &catalogue, sizes.catalogue * BLOCK_BYTES);
        append_text(&mut text, &venue, sizes.venue * BLOCK_BYTES);
        append_text(&mut text, &client, sizes.client * BLOCK_BYTES);
        append_text(&mut text, &own, (suffix_tokens * BYTES_PER_TOKEN) as usize);
        text
    }
}

/// Appends `size_bytes` of pseudo-random text that is determined by `name`.
fn append_text(text: &mut String, name: &str, size_bytes: usize) {
    let end = text.len() + size_bytes;
    let mut block = 0;
    while text.len() < end {
        let word = format!("{:016x} ", xxh3_64_with_seed(name.as_bytes(), block));
        let room = end - text.len();
        text.push_str(&word[..word.len().min(room)]);
        block += 1;
    }
}

//! Prompts with nested shared prefixes.

use dw_base::BLOCK_BYTES;
use dw_base::BYTES_PER_TOKEN;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Pieces of 2,048 tokens that each level of a prompt has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelSizes {
    /// Shared by all requests of a catalogue.
    pub catalogue: usize,
    /// Shared by all requests of a venue.
    pub venue: usize,
    /// Shared by all requests of a client.
    pub client: usize,
}

/// A prompt by the identities of its levels; the text follows from them.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Prompt {
    /// Organisation.
    pub org: String,
    /// Service, since services have different catalogues.
    pub service: &'static str,
    /// Catalogue of the organisation.
    pub catalogue: usize,
    /// Venue of the catalogue.
    pub venue: usize,
    /// Client of the venue.
    pub client: usize,
    /// Identity of the request's own text.
    pub suffix_id: u64,
}

impl Prompt {
    /// Returns the whole text: catalogue, venue, client and the request's own text.
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

/// Appends `size_bytes` of text that depends on `name` only.
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

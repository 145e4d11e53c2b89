//! Chains of block hashes that identify the prefixes of a prompt.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_128;
use xxhash_rust::xxh3::Xxh3;

use crate::id::ModelId;
use crate::id::OrgId;
use crate::id::WeightsVersion;
use crate::number::ParseNumberError;
use crate::number::Tokens;

/// Tokens in one cached piece.
pub const BLOCK_TOKENS: u64 = 2_048;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of prompt text in one cached piece.
pub const BLOCK_BYTES: usize = (BLOCK_TOKENS * BYTES_PER_TOKEN) as usize;

/// Short form of a block hash, for hints, where a collision costs time and nothing else.
pub type Fingerprint = u64;

/// Hash of a prefix that ends at a piece boundary.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct BlockHash(pub u128);

impl BlockHash {
    /// Returns the low 64 bits.
    pub fn fingerprint(self) -> Fingerprint {
        self.0 as Fingerprint
    }
}

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for BlockHash {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseNumberError::new(text, "32 hexadecimal digits");
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(BlockHash)
            .map_err(|_| error())
    }
}

impl TryFrom<String> for BlockHash {
    type Error = ParseNumberError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<BlockHash> for String {
    fn from(hash: BlockHash) -> String {
        hash.to_string()
    }
}

/// What separates the caches of organisations, models and weights versions.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Salt {
    /// Organisation whose prompt it is.
    pub org: OrgId,
    /// Model that computes the cache entries.
    pub model: ModelId,
    /// Weights that compute the cache entries.
    pub weights: WeightsVersion,
}

impl Salt {
    /// Returns the hash that starts every chain of this salt.
    pub fn root(&self) -> BlockHash {
        // Ids cannot contain a zero byte, so the concatenation is unambiguous.
        let text = format!("{}\0{}\0{}", self.org, self.model, self.weights);
        BlockHash(xxh3_128(text.as_bytes()))
    }
}

/// The block hashes of one prompt, the shallowest first.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chain {
    /// Hash of the salt.
    pub root: BlockHash,
    /// One hash for each whole piece.
    pub blocks: Vec<BlockHash>,
    /// Length of the whole prompt, incomplete last piece included.
    pub prompt_tokens: Tokens,
}

impl Chain {
    /// Computes the chain of `prompt`.
    pub fn new(salt: &Salt, prompt: &[u8]) -> Self {
        Chain::from_root(salt.root(), prompt)
    }

    /// Computes the chain of `prompt` for a salt of which only the hash is known.
    pub fn from_root(root: BlockHash, prompt: &[u8]) -> Self {
        let mut parent = root;
        let blocks = prompt
            .chunks_exact(BLOCK_BYTES)
            .map(|piece| {
                parent = next(parent, piece);
                parent
            })
            .collect();
        Chain {
            root,
            blocks,
            prompt_tokens: Tokens((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN)),
        }
    }

    /// Returns the tokens that `depth` whole pieces hold.
    pub fn tokens_at(depth: usize) -> Tokens {
        Tokens(depth as u64 * BLOCK_TOKENS)
    }

    /// Returns the tokens that must be computed when `depth` pieces are cached.
    pub fn uncached_tokens(&self, depth: usize) -> Tokens {
        Tokens(
            self.prompt_tokens
                .0
                .saturating_sub(Self::tokens_at(depth).0),
        )
    }

    /// Returns the hash at the first level: the first block, or the root of a short prompt.
    pub fn first_hash(&self) -> BlockHash {
        self.blocks.first().copied().unwrap_or(self.root)
    }
}

fn next(parent: BlockHash, piece: &[u8]) -> BlockHash {
    let mut hasher = Xxh3::new();
    hasher.update(&parent.0.to_le_bytes());
    hasher.update(piece);
    BlockHash(hasher.digest128())
}

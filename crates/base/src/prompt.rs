//! Prompts that are described by their parts.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::number::Tokens;

/// One part of a prompt; prompts that begin with the same parts share their cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub id: u64,
    /// Length.
    pub tokens: Tokens,
}

/// Identifies a part of a prompt under one salt in few bytes; rarely, two parts share a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PartKey(pub u32);

impl PartKey {
    /// Returns the key of the part with the hashed id `part`.
    pub fn new(salt: &str, part: u64) -> Self {
        PartKey(PrefixKey::root(salt).with_id(part).0 as u32)
    }
}

/// Identifies a part of a prompt for one model, whatever parts stand before it and whoever sends it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ModelPart(pub u64);

impl ModelPart {
    /// Returns the key of a part for the model with this name.
    pub fn new(model: &str, part: &PromptPart) -> Self {
        ModelPart(PrefixKey::root(model).with_part(part).0)
    }
}

impl fmt::Display for ModelPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ModelPart {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(ModelPart)
    }
}

/// Identifies a prefix of a prompt under one salt.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PrefixKey(pub u64);

impl PrefixKey {
    /// Returns the key of the empty prefix.
    pub fn root(salt: &str) -> Self {
        PrefixKey(xxh3_64_with_seed(salt.as_bytes(), 0))
    }

    /// Returns the key of this prefix and one more part.
    pub fn with_part(self, part: &PromptPart) -> Self {
        self.with_id(part.id)
    }

    fn with_id(self, part: u64) -> Self {
        PrefixKey(xxh3_64_with_seed(&part.to_le_bytes(), self.0))
    }
}

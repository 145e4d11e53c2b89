//! Keys of streams.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::number::ParseNumberError;
use crate::prompt::PrefixKey;

/// Identifies a stream by the attempt of a caller that brought its first event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of a stream that an attempt of an organisation began. Organisations are kept apart,
    /// as callers choose the ids of their attempts.
    pub fn new(organisation: &str, attempt_id: &str) -> Self {
        StreamKey(PrefixKey::root(&format!("{organisation}/{attempt_id}")).0)
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = ParseNumberError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16)
            .map(StreamKey)
            .map_err(|_| ParseNumberError::new(text, "a key of 16 hexadecimal digits"))
    }
}

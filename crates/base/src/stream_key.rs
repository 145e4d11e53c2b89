//! Keys of streams.

use serde::Deserialize;
use serde::Serialize;

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

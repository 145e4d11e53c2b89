//! Digests of whole requests.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Identifies a whole request by its content: the same request of the same organisation, sent again, has
/// the same digest.
///
/// The organisation is kept apart, so that what one organisation sends never stands for a request of
/// another one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RequestDigest {
    /// Hash of the organisation's name.
    pub organisation: u32,
    /// Hash of the content.
    pub content: u64,
}

impl RequestDigest {
    /// Returns the digest of a request of an organisation; the content is a list of fields, such as the
    /// path and the body.
    pub fn new<'a>(organisation: &str, content: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let organisation_hash = Sha256::digest(organisation.as_bytes());
        let mut hash = Sha256::new();
        for field in content {
            // The length keeps the end of one field from being read as the start of the next.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let content_hash = hash.finalize();
        let first = |hash: &[u8], bytes: usize| {
            let bytes = hash.iter().take(bytes);
            bytes.fold(0, |number, byte| (number << 8) | u64::from(*byte))
        };
        RequestDigest {
            organisation: first(&organisation_hash, 4) as u32,
            content: first(&content_hash, 8),
        }
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}-{:016x}", self.organisation, self.content)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        // Without a hyphen the content is empty, which is no number.
        let (organisation, content) = text.split_once('-').unwrap_or((text, ""));
        Ok(RequestDigest {
            organisation: u32::from_str_radix(organisation, 16)?,
            content: u64::from_str_radix(content, 16)?,
        })
    }
}

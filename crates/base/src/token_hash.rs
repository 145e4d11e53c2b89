//! Hash of an operator's token.

use std::fmt;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;
use thiserror::Error;

const HASH_BYTES: usize = 32;

/// SHA-256 of a token that operators present, so that settings do not contain the token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenHash([u8; HASH_BYTES]);

impl TokenHash {
    /// Returns the hash of a token.
    pub fn of(token: &str) -> Self {
        TokenHash(Sha256::digest(token.as_bytes()).into())
    }

    /// Returns whether a token has this hash.
    pub fn matches(&self, token: &str) -> bool {
        *self == TokenHash::of(token)
    }
}

impl fmt::Display for TokenHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", hex::encode(self.0))
    }
}

/// The text is not a SHA-256.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not a SHA-256; write 64 hexadecimal digits")]
pub struct ParseTokenHashError(String);

impl FromStr for TokenHash {
    type Err = ParseTokenHashError;

    fn from_str(text: &str) -> Result<Self, ParseTokenHashError> {
        let mut hash = [0; HASH_BYTES];
        match hex::decode_to_slice(text, &mut hash) {
            Ok(()) => Ok(TokenHash(hash)),
            Err(_) => Err(ParseTokenHashError(text.to_owned())),
        }
    }
}

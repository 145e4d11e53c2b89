//! Versions of an upstream's software.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest version accepted, in bytes.
const MAX_BYTES: usize = 128;

/// A text is no version.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a software version has at most {MAX_BYTES} bytes, this one has {0}")]
pub struct ParseSoftwareVersionError(usize);

/// Version of an upstream's software, as it registers itself; not that of its weights.
///
/// Versions are compared for equality only: what two versions write does not fit together.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct SoftwareVersion(Arc<str>);

impl TryFrom<String> for SoftwareVersion {
    type Error = ParseSoftwareVersionError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0.as_ref().to_owned()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseSoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.len() <= MAX_BYTES {
            true => Ok(SoftwareVersion(text.into())),
            false => Err(ParseSoftwareVersionError(text.len())),
        }
    }
}

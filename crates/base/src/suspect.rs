//! What may end the upstreams that run it.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::prompt::ModelPart;
use crate::request_digest::RequestDigest;

/// What may end the upstreams that run it: a part of prompts, or a whole request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Suspect {
    /// A part of prompts, whatever request it stands in.
    Part(ModelPart),
    /// A whole request that comes again.
    Request(RequestDigest),
}

impl From<ModelPart> for Suspect {
    fn from(part: ModelPart) -> Self {
        Suspect::Part(part)
    }
}

impl From<RequestDigest> for Suspect {
    fn from(request: RequestDigest) -> Self {
        Suspect::Request(request)
    }
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Suspect::Part(part) => part.fmt(f),
            Suspect::Request(request) => request.fmt(f),
        }
    }
}

impl FromStr for Suspect {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.contains('-') {
            true => text.parse().map(Suspect::Request),
            false => text.parse().map(Suspect::Part),
        }
    }
}

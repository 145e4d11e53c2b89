//! Identifiers as newtypes.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::number::ParseNumberError;

/// Longest identifier accepted, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A text is not an identifier.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error(
    "{kind} {text:?} is not valid: use 1 to {MAX_ID_BYTES} letters, digits, '-', '_', '.', ':' or '/'"
)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
}

fn check(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    if (1..=MAX_ID_BYTES).contains(&text.len()) && text.chars().all(allowed) {
        return Ok(());
    }
    let mut shown: String = text.chars().take(MAX_ID_BYTES).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    Err(ParseIdError { kind, text: shown })
}

macro_rules! text_id {
    ($name:ident, $kind:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }
    };
}

macro_rules! number_id {
    ($name:ident, $doc:literal) => {
        #[doc = $doc]
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Deserialize,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| ParseNumberError::new(text, "a whole number"))
            }
        }
    };
}

text_id!(AdapterId, "adapter", "Name of an adapter of a model.");
text_id!(
    ChangeId,
    "change id",
    "Unique id of one configuration change."
);
text_id!(DataCentreId, "data centre", "Name of a data centre.");
text_id!(
    IdempotencyKey,
    "idempotency key",
    "Caller's key of a call that runs at most once."
);
text_id!(ModelId, "model", "Name of a model.");
text_id!(
    NodeId,
    "node",
    "Name of a router or agent process, unique per VM slot."
);
text_id!(OperatorId, "operator", "Name of an operator.");
text_id!(OrgId, "organisation", "Name of an organisation.");
text_id!(
    RequestId,
    "request id",
    "Unique id of one caller's request."
);
text_id!(ServiceId, "service", "Name of a service.");
text_id!(UpstreamId, "upstream", "Name of an upstream.");

number_id!(
    AttemptId,
    "Random id of one attempt to run a call, unique with high probability."
);
number_id!(ConfigVersion, "Version of the whole configuration.");
number_id!(
    FenceNumber,
    "Fencing number of the sender of orders to an engine."
);
number_id!(
    Incarnation,
    "Number of one life of a process; a later life has a greater number."
);
number_id!(WeightsVersion, "Version of the weights of a model.");

impl RequestId {
    /// Returns the id that belongs to a random number.
    pub fn from_random(number: u128) -> Self {
        Self(format!("r-{number:032x}").into())
    }
}

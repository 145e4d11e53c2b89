//! Sizes, rates and worth as newtypes.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A text is not a number of the expected form.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not valid: write {expected}")]
pub struct ParseNumberError {
    text: String,
    expected: &'static str,
}

impl ParseNumberError {
    pub(crate) fn new(text: &str, expected: &'static str) -> Self {
        ParseNumberError {
            text: text.chars().take(64).collect(),
            expected,
        }
    }
}

macro_rules! size {
    ($name:ident, $unit:literal, $doc:literal) => {
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
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                digits.parse().map(Self).map_err(|_| {
                    ParseNumberError::new(
                        text,
                        concat!("a whole number, optionally followed by ", $unit),
                    )
                })
            }
        }
    };
}

macro_rules! rate {
    ($name:ident, $unit:literal, $doc:literal) => {
        #[doc = $doc]
        #[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "f64")]
        pub struct $name(f64);

        impl $name {
            /// Creates the value; it must be finite and not negative.
            pub fn new(value: f64) -> Result<Self, ParseNumberError> {
                if value.is_finite() && value >= 0.0 {
                    return Ok(Self(value));
                }
                Err(ParseNumberError::new(
                    &value.to_string(),
                    "a finite number that is not negative",
                ))
            }

            /// Returns the plain number.
            pub fn get(self) -> f64 {
                self.0
            }
        }

        impl TryFrom<f64> for $name {
            type Error = ParseNumberError;

            fn try_from(value: f64) -> Result<Self, Self::Error> {
                Self::new(value)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseNumberError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let digits = text.strip_suffix($unit).unwrap_or(text);
                let value: f64 = digits.parse().map_err(|_| {
                    ParseNumberError::new(text, concat!("a number, optionally followed by ", $unit))
                })?;
                Self::new(value)
            }
        }
    };
}

size!(Bytes, "B", "A size in bytes.");
size!(Tokens, "tok", "A number of tokens.");
rate!(RequestsPerS, "req/s", "A rate of requests per second.");
rate!(TokensPerS, "tok/s", "A rate of tokens per second.");
rate!(
    Worth,
    "worth",
    "Worth of one answered request, relative to others."
);

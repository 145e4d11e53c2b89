//! Priorities of requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Priority of a request; the first variant is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served before all other work.
    Urgent,
    /// Interactive work.
    #[default]
    Normal,
    /// Work that may wait.
    Batch,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Priority; 3] = [Priority::Urgent, Priority::Normal, Priority::Batch];

    /// Returns the position in [`Priority::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}

/// A text is not a priority.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("priority {0:?} does not exist: use urgent, normal or batch")]
pub struct ParsePriorityError(String);

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Urgent => "urgent",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        })
    }
}

impl FromStr for Priority {
    type Err = ParsePriorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Priority::ALL
            .into_iter()
            .find(|p| p.to_string() == text)
            .ok_or_else(|| ParsePriorityError(text.chars().take(32).collect()))
    }
}

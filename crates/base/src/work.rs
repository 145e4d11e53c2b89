//! Work that was measured.

use std::iter::Sum;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::DurationMs;
use crate::number::Tokens;

/// Prompt tokens that an engine worked off and the time that it took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeasuredWork {
    /// Tokens.
    pub tokens: Tokens,
    /// Time.
    pub took_ms: DurationMs,
}

impl Sum for MeasuredWork {
    fn sum<I: Iterator<Item = MeasuredWork>>(works: I) -> MeasuredWork {
        works.fold(MeasuredWork::default(), |sum, work| MeasuredWork {
            tokens: Tokens(sum.tokens.0 + work.tokens.0),
            took_ms: sum.took_ms + work.took_ms,
        })
    }
}

//! Work that was measured.

use std::ops::Add;

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

impl Add for MeasuredWork {
    type Output = MeasuredWork;

    fn add(self, rhs: MeasuredWork) -> MeasuredWork {
        MeasuredWork {
            tokens: Tokens(self.tokens.0 + rhs.tokens.0),
            took_ms: self.took_ms + rhs.took_ms,
        }
    }
}

/// What was measured of an engine's speed, the newest measurements most.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeasuredSpeeds {
    /// Single prompts.
    pub computing: MeasuredWork,
    /// Queues of prompts.
    pub draining: MeasuredWork,
}

impl Add for MeasuredSpeeds {
    type Output = MeasuredSpeeds;

    fn add(self, rhs: MeasuredSpeeds) -> MeasuredSpeeds {
        MeasuredSpeeds {
            computing: self.computing + rhs.computing,
            draining: self.draining + rhs.draining,
        }
    }
}

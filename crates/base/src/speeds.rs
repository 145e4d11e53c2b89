//! Measured speeds of an engine.

use serde::Deserialize;
use serde::Serialize;

use crate::work::MeasuredWork;

/// What was measured of an engine's speed, the newest measurements most.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeasuredSpeeds {
    /// Single prompts.
    pub single_prompts: MeasuredWork,
    /// Queues of prompts.
    pub queued_prompts: MeasuredWork,
}

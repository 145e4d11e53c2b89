//! What the caller saw of one request.

use std::time::Duration;

use dw_api::callers::Usage;

use crate::mix::ServiceLoad;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer arrived.
    Answered {
        /// Token counts of a generated answer.
        usage: Option<Usage>,
    },
    /// An error answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// Type of the error.
        kind: String,
        /// Whether the answer says that the request was not run.
        not_run: bool,
    },
    /// The answer ended with an explicit error event.
    Failed,
    /// The answer ended early without an error, or was not of its form.
    Incomplete {
        /// What was seen.
        detail: String,
    },
    /// No answer arrived.
    Unreachable {
        /// What was seen.
        detail: String,
    },
}

/// One request as its caller saw it; times count from the planned sending, in engine time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Position of the arrival.
    pub number: u64,
    /// Planned sending after the start.
    pub at: Duration,
    /// Organisation.
    pub org: String,
    /// Service with worth and deadline.
    pub load: ServiceLoad,
    /// Time of the first generated text.
    pub first_token: Option<Duration>,
    /// Time of the end.
    pub total: Duration,
    /// End.
    pub outcome: Outcome,
}

impl Sample {
    /// Returns whether the whole answer arrived before the deadline.
    pub fn meets_deadline(&self) -> bool {
        let answered = matches!(self.outcome, Outcome::Answered { .. });
        answered && self.total <= Duration::from(self.load.deadline)
    }
}

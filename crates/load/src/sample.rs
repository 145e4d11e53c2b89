//! Result of one request as seen by its caller.

use std::time::Duration;

use dw_api::callers::Usage;

use crate::mix::ServiceLoad;

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A complete response was received.
    Answered {
        /// Token counts; absent for calls of plain services.
        usage: Option<Usage>,
    },
    /// An error response was received.
    Refused {
        /// HTTP status code.
        status: u16,
        /// Error type from the response body.
        kind: String,
        /// Whether the response states that the request was not run.
        not_run: bool,
    },
    /// The stream ended with an error event.
    Failed,
    /// The response ended early without an error event, or was malformed.
    Incomplete {
        /// Description of the problem.
        detail: String,
    },
    /// No response was received.
    Unreachable {
        /// Description of the problem.
        detail: String,
    },
}

/// Result of one request.
///
/// `first_token` and `total` are in engine time and start at the scheduled sending time.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Sequence number of the arrival.
    pub number: u64,
    /// Scheduled sending time, in engine time after the start of the run.
    pub at: Duration,
    /// Organisation that sent the request.
    pub org: String,
    /// Load parameters of the service.
    pub load: ServiceLoad,
    /// Time to the first generated text.
    pub first_token: Option<Duration>,
    /// Time to the end of the request.
    pub total: Duration,
    /// How the request ended.
    pub outcome: Outcome,
}

impl Sample {
    /// Returns whether a complete response was received before the deadline.
    pub fn meets_deadline(&self) -> bool {
        let answered = matches!(self.outcome, Outcome::Answered { .. });
        answered && self.total <= Duration::from(self.load.deadline)
    }
}

//! Errors of the platform's services.

use thiserror::Error;

/// A call of a platform service failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The service certainly did not carry out the call.
    #[error("{service} is unavailable: {detail}; try again later")]
    Unavailable {
        /// Service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// A write may or may not have taken effect.
    #[error("outcome of the write to {service} is unknown: {detail}; read before writing again")]
    UnknownOutcome {
        /// Service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The service refused the call as wrong.
    #[error("{service} refused the call: {detail}; this is a defect of the caller")]
    Rejected {
        /// Service.
        service: &'static str,
        /// What was seen.
        detail: String,
    },
    /// The client's own rate limit is exhausted.
    #[error("too many calls of {service} from this node; try again later")]
    RateLimited {
        /// Service.
        service: &'static str,
    },
}

//! Limits on requests and connections of callers.

use dw_base::Bytes;
use dw_base::DurationMs;

/// Size and time limits for requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request header.
    pub header_bytes: Bytes,
    /// Maximum size of a request body.
    pub body_bytes: Bytes,
    /// Time limit for receiving a request header.
    pub header_ms: DurationMs,
    /// Time after which an idle connection is closed.
    pub idle_ms: DurationMs,
}

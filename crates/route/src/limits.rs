//! Limits on what a caller may send.

use dw_base::Bytes;
use dw_base::DurationMs;

/// Limits on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head of a request.
    pub header_bytes: Bytes,
    /// Longest body of a request.
    pub body_bytes: Bytes,
    /// Longest time for the head of a request.
    pub header_ms: DurationMs,
    /// Longest time that a connection may be idle.
    pub idle_ms: DurationMs,
}

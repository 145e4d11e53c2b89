//! Origins that are stored together.

use dw_base::StreamKey;
use dw_wire::StreamOrigin;

/// Origins that one write stores, and that expire together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OriginBatch {
    /// Key of the row, which no other process writes.
    pub key: String,
    /// When the last of them expires, by the clock of the table in milliseconds.
    pub expires_ms: u64,
    /// Streams, and where they began.
    pub origins: Vec<(StreamKey, StreamOrigin)>,
}

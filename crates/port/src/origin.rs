//! Stored records of where streams began.

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_origin::OriginBatch;

use crate::feed::FeedError;
use crate::feed::InvalidRow;

/// All stored origins.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredOrigins {
    /// Origins, as they were written.
    pub batches: Vec<OriginBatch>,
    /// Rows that cannot be read.
    pub invalid: Vec<InvalidRow>,
    /// Time by the clock of the table, in milliseconds.
    pub now_ms: u64,
}

/// The platform's table with the origins of streams.
#[async_trait]
pub trait OriginTable: Send {
    /// Reads all origins.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`.
    async fn read(&mut self, timeout_ms: DurationMs) -> Result<StoredOrigins, FeedError>;

    /// Stores a batch and removes those with these keys. Returns false if a batch with its key is there already, or if
    /// the table came back from a copy, so that earlier batches may be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`; it may be stored all the same.
    async fn write(
        &mut self,
        batch: &OriginBatch,
        expired: &[String],
        timeout_ms: DurationMs,
    ) -> Result<bool, FeedError>;
}

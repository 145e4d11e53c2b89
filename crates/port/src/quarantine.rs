//! Stored records of what is in quarantine.

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_base::Suspect;
use dw_quarantine::QuarantineRecord;

use crate::feed::FeedError;
use crate::feed::InvalidRow;

/// All stored records.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineRecords {
    /// Records.
    pub records: Vec<QuarantineRecord>,
    /// Rows that cannot be read.
    pub invalid: Vec<InvalidRow>,
    /// Time by the clock of the table, in milliseconds.
    pub now_ms: u64,
}

/// The platform's table with a record for each quarantined part or request.
#[async_trait]
pub trait QuarantineTable: Send {
    /// Reads all records.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`.
    async fn read(&mut self, timeout_ms: DurationMs) -> Result<QuarantineRecords, FeedError>;

    /// Stores all records, or none if one of them has another version than the stored one; returns
    /// whether they are stored.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`; they may be stored all the same.
    async fn write(
        &mut self,
        records: &[QuarantineRecord],
        timeout_ms: DurationMs,
    ) -> Result<bool, FeedError>;

    /// Removes the records of these suspects.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`; they may be removed all the same.
    async fn remove(
        &mut self,
        suspects: &[Suspect],
        timeout_ms: DurationMs,
    ) -> Result<(), FeedError>;
}

//! Deletion of records whose retention time has passed.
//!
//! Each transaction that writes records also writes one index row with their keys. The row has the
//! same table version as the records, so a record that was written again later is told apart by
//! its version. The rows of one upstream sort by time, and a successor of the agent finds them.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::MAX_BATCH_ITEMS;

/// Time for which records are kept.
pub const RETENTION_MS: DurationMs = DurationMs(24 * 3_600_000);

/// Most rows of one transaction: a full batch and its index row.
pub const MAX_ROWS: usize = MAX_BATCH_ITEMS + 1;

/// Shortest time between two deletions, so that they take at most 10 of the several hundred writes
/// a second that the platform sustains.
const DELETE_EVERY_MS: DurationMs = DurationMs(100);

/// Longest time between two looks at the index.
const LOOK_EVERY_MS: DurationMs = DurationMs(3_600_000);

/// Value of an index row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchIndex {
    /// When the batch was written.
    pub at: TimeMs,
    /// Keys of its records.
    pub keys: Vec<String>,
}

/// An index row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IndexRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row, and of the records that were not written again.
    pub version: u64,
    /// Value of the row.
    pub index: BatchIndex,
}

/// Returns the common start of the keys of an upstream's index rows.
pub fn index_prefix(upstream: &UpstreamId) -> String {
    // An id may contain a slash, and the rows of another upstream must not match.
    format!("outcome-batch/{}/", upstream.as_str().replace('/', "%2F"))
}

/// Returns the key of the index row of a batch; keys sort by time.
pub fn index_key(upstream: &UpstreamId, at: TimeMs, nonce: u64) -> String {
    format!("{}{:020}-{nonce:016x}", index_prefix(upstream), at.0)
}

/// Decides when the index is looked at and what is deleted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Expiry {
    next_look: TimeMs,
}

impl Expiry {
    /// Returns whether the index is to be looked at; it is asked after each batch.
    pub fn due(&mut self, now: TimeMs) -> bool {
        let due = now >= self.next_look;
        if due {
            self.next_look = now + DELETE_EVERY_MS;
        }
        due
    }

    /// Takes the oldest index rows and returns those whose batches are deleted together.
    pub fn select_expired(&mut self, oldest: Vec<IndexRow>, now: TimeMs) -> Vec<IndexRow> {
        let mut rows = 0;
        let mut expired = Vec::new();
        let mut wait_ms = LOOK_EVERY_MS;
        for row in oldest {
            let age_ms = now.since(row.index.at);
            if age_ms <= RETENTION_MS {
                wait_ms = wait_ms.min(RETENTION_MS.saturating_sub(age_ms));
                break;
            }
            rows += 1 + row.index.keys.len();
            if rows > MAX_ROWS && !expired.is_empty() {
                break;
            }
            expired.push(row);
        }
        if expired.is_empty() {
            self.next_look = now + wait_ms;
        }
        expired
    }
}

/// Returns the keys and versions to delete; `version` gives the versions that the records have now.
pub fn deletions(
    expired: &[IndexRow],
    version: impl Fn(&str) -> Option<u64>,
) -> Vec<(String, u64)> {
    let records = expired.iter().flat_map(|row| {
        let unchanged = |key: &&String| version(key) == Some(row.version);
        let keys = row.index.keys.iter().filter(unchanged);
        keys.map(|key| (key.clone(), row.version))
    });
    let rows = expired.iter().map(|row| (row.key.clone(), row.version));
    records.chain(rows).collect()
}

//! Deletion of records whose retention time has passed.
//!
//! Each transaction that writes records also writes one index row with their keys. The row has the
//! same table version as the records, so a record that has been overwritten since is recognised by
//! its different version. The keys of the rows of one upstream sort by time, and a later
//! incarnation of the agent can find them.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use serde::Deserialize;
use serde::Serialize;

use crate::batch::MAX_BATCH_ITEMS;

/// Retention time of records.
pub const RETENTION_MS: DurationMs = DurationMs(24 * 3_600_000);

/// Maximum number of rows in one transaction: a full batch and its index row.
pub const MAX_ROWS: usize = MAX_BATCH_ITEMS + 1;

/// Minimum time between two deletions. It limits them to 10 writes per second, of the several
/// hundred that the platform sustains.
const MIN_DELETE_INTERVAL_MS: DurationMs = DurationMs(100);

/// Maximum time between two scans of the index.
const MAX_SCAN_INTERVAL_MS: DurationMs = DurationMs(3_600_000);

/// Value of an index row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BatchIndex {
    /// Time at which the batch was written.
    pub at: TimeMs,
    /// Keys of the records in the batch.
    pub keys: Vec<String>,
}

/// An index row that was read from the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IndexRow {
    /// Key of the row.
    pub key: String,
    /// Version of the row, and of those records that have not been overwritten.
    pub version: u64,
    /// Value of the row.
    pub index: BatchIndex,
}

/// Returns the common key prefix of the index rows of an upstream.
pub fn index_prefix(upstream: &UpstreamId) -> String {
    // Ids may contain slashes. They are escaped so that the prefix does not match the rows of
    // another upstream.
    format!("outcome-batch/{}/", upstream.as_str().replace('/', "%2F"))
}

/// Returns the key of the index row of a batch. Keys sort by time.
pub fn index_key(upstream: &UpstreamId, at: TimeMs, nonce: u64) -> String {
    format!("{}{:020}-{nonce:016x}", index_prefix(upstream), at.0)
}

/// Decides when the index is scanned and which batches are deleted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Expiry {
    next_scan: TimeMs,
}

impl Expiry {
    /// Returns whether the index is to be scanned now. Called after each batch.
    pub fn due(&mut self, now: TimeMs) -> bool {
        let due = now >= self.next_scan;
        if due {
            self.next_scan = now + MIN_DELETE_INTERVAL_MS;
        }
        due
    }

    /// Takes the oldest index rows and returns those whose batches are deleted in one transaction.
    pub fn select_expired(&mut self, oldest: Vec<IndexRow>, now: TimeMs) -> Vec<IndexRow> {
        let mut rows = 0;
        let mut expired = Vec::new();
        let mut wait_ms = MAX_SCAN_INTERVAL_MS;
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
            self.next_scan = now + wait_ms;
        }
        expired
    }
}

/// Returns the keys to delete, with their versions. `version` returns the current version of a
/// record. Records that have been overwritten are kept.
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

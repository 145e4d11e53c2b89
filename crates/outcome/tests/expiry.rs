//! Tests of the deletion of expired records.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_outcome::deletions;
use dw_outcome::index_key;
use dw_outcome::index_prefix;
use dw_outcome::BatchIndex;
use dw_outcome::Expiry;
use dw_outcome::IndexRow;
use dw_outcome::MAX_ROWS;
use dw_outcome::RETENTION_MS;

const NOW: TimeMs = TimeMs(1_000_000_000_000);

fn row(age_ms: u64, version: u64, keys: usize) -> IndexRow {
    IndexRow {
        key: format!("index-{version}"),
        version,
        index: BatchIndex {
            at: TimeMs(NOW.0 - age_ms),
            keys: (0..keys).map(|key| format!("k{key}")).collect(),
        },
    }
}

/// Guards against records that are deleted before the end of their retention time or kept after it.
#[test]
fn only_expired_batches_are_deleted() {
    let old = RETENTION_MS.0 + 1;
    let mut expiry = Expiry::default();
    assert!(expiry.due(NOW));
    assert!(!expiry.due(NOW), "deletions are rate-limited");
    let rows = vec![row(old, 1, 2), row(old, 2, 2), row(RETENTION_MS.0, 3, 2)];
    let expired = expiry.select_expired(rows, NOW);
    let versions: Vec<u64> = expired.iter().map(|row| row.version).collect();
    assert_eq!(versions, [1, 2]);
    let later = NOW + DurationMs(100);
    assert!(expiry.due(later), "more may have expired");
    assert!(expiry
        .select_expired(vec![row(RETENTION_MS.0 - 500, 3, 2)], later)
        .is_empty());
    assert!(
        !expiry.due(later + DurationMs(399)),
        "no record expires earlier"
    );
    assert!(expiry.due(later + DurationMs(400)));
}

/// Guards against deletions that are larger than a transaction with a full batch.
#[test]
fn deletions_are_bounded() {
    let old = RETENTION_MS.0 + 1;
    let rows = (0..40).map(|version| row(old, version, 4)).collect();
    let expired = Expiry::default().select_expired(rows, NOW);
    let deleted = deletions(&expired, |_| None).len();
    assert_eq!(deleted, MAX_ROWS / 5);
    let full = Expiry::default().select_expired(vec![row(old, 1, 25), row(old, 2, 1)], NOW);
    assert_eq!(full.len(), 1);
}

/// Guards against the deletion of a record that was overwritten by a later batch.
#[test]
fn overwritten_records_are_kept() {
    let expired = [row(RETENTION_MS.0 + 1, 7, 3)];
    let versions = |key: &str| match key {
        "k0" => Some(7),
        "k1" => Some(9),
        _ => None,
    };
    let deleted = deletions(&expired, versions);
    assert_eq!(deleted, [("k0".to_owned(), 7), ("index-7".to_owned(), 7)]);
}

/// Guards against index keys that do not sort by time or that match the prefix of another upstream.
#[test]
fn index_keys_sort_by_time() {
    let upstream = |name: &str| name.parse::<UpstreamId>().expect("valid id");
    let key = |at| index_key(&upstream("p"), TimeMs(at), u64::MAX);
    assert!(key(9) < key(10) && key(999) < key(100_000));
    assert!(key(1).starts_with(&index_prefix(&upstream("p"))));
    assert!(!index_prefix(&upstream("p/q")).starts_with(&index_prefix(&upstream("p"))));
}

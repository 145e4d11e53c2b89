//! Tests of the hints about cached parts.

use dw_base::DurationMs;
use dw_base::PartKey;
use dw_base::TimeMs;
use dw_wire::encode;
use dw_wire::CachedParts;
use dw_wire::ReportedParts;
use proptest::prelude::*;

const NOW: TimeMs = TimeMs(1_000_000);

fn reported(keys: impl IntoIterator<Item = PartKey>) -> ReportedParts {
    let mut reported = ReportedParts::default();
    reported.update(Some(&CachedParts::new(keys)), NOW);
    reported
}

proptest! {
    /// Guards against reported parts that are not found.
    #[test]
    fn told_parts_are_found(ids in proptest::collection::vec(any::<u64>(), 0..300)) {
        let keys: Vec<PartKey> = ids.iter().map(|id| PartKey::new("m@1", *id)).collect();
        let reported = reported(keys.iter().copied());
        prop_assert_eq!(reported.leading(&keys, NOW), Some(keys.len()));
    }
}

/// Guards against hints that take more bytes than the rest of a datagram; with a longer encoding they
/// made up most of the traffic between data centres.
#[test]
fn hints_take_two_bytes_a_part() {
    let keys = (0..150).map(|id| PartKey::new("m@1", id));
    let bytes = encode(&CachedParts::new(keys)).expect("hints can be encoded");
    assert!(bytes.len() <= 2 * 150 + 16, "{} bytes", bytes.len());
}

/// Guards against a high false-positive rate of the hints.
#[test]
fn few_other_parts_seem_held() {
    let reported = reported((0..150).map(|id| PartKey::new("m@1", id)));
    let others = (1_000..11_000).map(|id| PartKey::new("m@1", id));
    let false_positives = others
        .filter(|key| reported.leading(&[*key], NOW) == Some(1))
        .count();
    assert!(false_positives < 100, "{false_positives} of 10000");
}

/// Guards against treating an engine as empty, or using outdated contents, when it does not report its
/// cache to its sidecar.
#[test]
fn only_what_was_told_lately_counts() {
    let keys = [PartKey::new("m@1", 1)];
    assert_eq!(ReportedParts::default().leading(&keys, NOW), None);
    let mut reported = reported(keys);
    let later = NOW + DurationMs(1_500);
    reported.update(None, later);
    assert_eq!(reported.leading(&keys, later), Some(1));
    assert_eq!(reported.leading(&keys, NOW + DurationMs(2_000)), None);
}

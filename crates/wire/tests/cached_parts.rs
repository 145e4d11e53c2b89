//! Hints about cached parts.

use dw_base::DurationMs;
use dw_base::PartKey;
use dw_base::TimeMs;
use dw_wire::encode;
use dw_wire::CachedParts;
use dw_wire::ReportedParts;
use proptest::prelude::*;

const NOW: TimeMs = TimeMs(1_000_000);

fn told(keys: impl IntoIterator<Item = PartKey>) -> ReportedParts {
    let mut told = ReportedParts::default();
    told.update(Some(&CachedParts::new(keys)), NOW);
    told
}

proptest! {
    /// Guards against parts that are told and not found.
    #[test]
    fn told_parts_are_found(ids in proptest::collection::vec(any::<u64>(), 0..300)) {
        let keys: Vec<PartKey> = ids.iter().map(|id| PartKey::new("m@1", *id)).collect();
        let told = told(keys.iter().copied());
        prop_assert_eq!(told.leading(&keys, NOW), Some(keys.len()));
    }
}

/// Guards against hints that are longer than the rest of a datagram: they were most of the bytes
/// between data centres.
#[test]
fn hints_take_two_bytes_a_part() {
    let keys = (0..150).map(|id| PartKey::new("m@1", id));
    let bytes = encode(&CachedParts::new(keys)).expect("hints can be encoded");
    assert!(bytes.len() <= 2 * 150 + 16, "{} bytes", bytes.len());
}

/// Guards against hints that hold nearly everything: few parts may be taken for others.
#[test]
fn few_other_parts_seem_held() {
    let told = told((0..150).map(|id| PartKey::new("m@1", id)));
    let others = (1_000..11_000).map(|id| PartKey::new("m@1", id));
    let seeming = others
        .filter(|key| told.leading(&[*key], NOW) == Some(1))
        .count();
    assert!(seeming < 100, "{seeming} of 10000");
}

/// Guards against an engine that counts as empty, or as it was long ago, because it does not tell
/// its sidecar what it has cached.
#[test]
fn only_what_was_told_lately_counts() {
    let keys = [PartKey::new("m@1", 1)];
    assert_eq!(ReportedParts::default().leading(&keys, NOW), None);
    let mut told = told(keys);
    let later = NOW + DurationMs(1_500);
    told.update(None, later);
    assert_eq!(told.leading(&keys, later), Some(1));
    assert_eq!(told.leading(&keys, NOW + DurationMs(2_000)), None);
}

//! Hints about cached parts.

use dw_base::PartKey;
use dw_wire::encode;
use dw_wire::CachedParts;
use proptest::prelude::*;

proptest! {
    /// Guards against parts that are told and not found.
    #[test]
    fn told_parts_are_found(ids in proptest::collection::vec(any::<u64>(), 0..300)) {
        let keys: Vec<PartKey> = ids.iter().map(|id| PartKey::new("m@1", *id)).collect();
        let set = CachedParts::new(keys.iter().copied()).set();
        prop_assert_eq!(set.leading(&keys), keys.len());
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
    let set = CachedParts::new((0..150).map(|id| PartKey::new("m@1", id))).set();
    let others = (1_000..11_000).map(|id| PartKey::new("m@1", id));
    let seeming = others.filter(|key| set.leading(&[*key]) == 1).count();
    assert!(seeming < 100, "{seeming} of 10000");
}

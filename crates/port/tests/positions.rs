//! Order of positions in a table whose store may come back from a copy.

use dw_port::TableVersion;

/// Guards against positions of an earlier era that count as later, and against eras and versions that
/// change each other.
#[test]
fn position_of_an_earlier_era_is_later() {
    let position = TableVersion::new;
    assert!(position(2, 1) > position(1, 900_000));
    assert!(position(2, 2) > position(2, 1));
    assert!(position(2, 0) > position(1, u64::MAX));
    for (era, version) in [(1, 0), (1, 41), (2, 41), (8_000, 900_000)] {
        let position = position(era, version);
        assert_eq!((position.era(), position.version()), (era, version));
        assert!(
            position.0 < 1 << 53,
            "fencing numbers are exact as JSON numbers"
        );
    }
    // Processes of versions without eras know the positions of the first one, or of no era.
    assert_eq!(position(1, 41), TableVersion(41));
    assert_eq!(position(0, 41), TableVersion(41));
}

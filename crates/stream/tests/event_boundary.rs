//! Boundaries of events, however the bytes are split.

use dw_stream::EventBoundary;
use proptest::prelude::*;

fn after(bytes: &[u8]) -> (bool, u64) {
    let mut boundary = EventBoundary::default();
    boundary.push(bytes);
    (boundary.is_inside(), boundary.events())
}

/// Guards against a stream that ends inside an event and looks whole, or the other way round.
#[test]
fn event_ends_with_an_empty_line() {
    let cases: &[(&str, (bool, u64))] = &[
        ("", (false, 0)),
        ("\n\n", (false, 0)),
        ("data: 1\n\n", (false, 1)),
        ("data: 1\n", (true, 0)),
        ("data: 1", (true, 0)),
        ("data: 1\r\n\r\n", (false, 1)),
        ("data: 1\r\n\r", (false, 1)),
        ("data: 1\r\n", (true, 0)),
        ("data: 1\r\rdata: 2", (true, 1)),
        ("id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", (false, 2)),
        ("id: 1\ndata: 1\n\nid: 2\nda", (true, 1)),
    ];
    for (text, expected) in cases {
        assert_eq!(after(text.as_bytes()), *expected, "{text:?}");
    }
}

proptest! {
    /// Guards against a boundary that depends on how the network splits the bytes.
    #[test]
    fn splits_do_not_matter(text in "[a\r\n]{0,40}", at in 0_usize..40) {
        let bytes = text.as_bytes();
        let (first, second) = bytes.split_at(at.min(bytes.len()));
        let mut boundary = EventBoundary::default();
        boundary.push(first);
        boundary.push(second);
        prop_assert_eq!((boundary.is_inside(), boundary.events()), after(bytes));
    }
}

//! Tests of sequence checks and resume buffers.

use dw_base::DurationMs;
use dw_base::RequestId;
use dw_base::TimeMs;
use dw_stream::ResumeBuffer;
use dw_stream::Sequence;
use dw_stream::SequenceError;
use dw_stream::Verdict;
use dw_stream::RETENTION_MS;
use proptest::prelude::*;

fn id(text: &str) -> RequestId {
    text.parse().expect("valid id")
}

/// Guards against an answer that reaches the caller of another request.
#[test]
fn crossed_answer_is_detected() {
    let sequence = Sequence::new(id("a"));
    assert!(matches!(
        sequence.end(&id("b"), 0),
        Err(SequenceError::WrongRequest { .. })
    ));
}

/// Guards against a truncated stream that ends as if it were complete.
#[test]
fn missing_tail_is_detected() {
    let mut sequence = Sequence::new(id("a"));
    assert_eq!(sequence.chunk(0), Verdict::Deliver);
    assert!(matches!(
        sequence.end(&id("a"), 2),
        Err(SequenceError::Incomplete {
            announced: 2,
            got: 1
        })
    ));
    assert!(matches!(
        sequence.end(&id("a"), 0),
        Err(SequenceError::TooMany { .. })
    ));
}

/// Guards against chunks that are dropped while the call runs or before the retention time ends.
#[test]
fn buffer_is_kept_until_retention_ends() {
    let mut buffer = ResumeBuffer::new(100);
    buffer.push("x", 1);
    assert!(!buffer.expired(TimeMs(1_000_000)));
    buffer.finish(TimeMs(5));
    assert!(!buffer.expired(TimeMs(5) + RETENTION_MS));
    assert!(buffer.expired(TimeMs(5) + RETENTION_MS + DurationMs(1)));
}

proptest! {
    /// Guards against loss, repetition or reordering when chunks arrive twice or out of order.
    #[test]
    fn delivery_is_in_order(arrivals in prop::collection::vec(0u64..12, 0..200)) {
        let mut sequence = Sequence::new(id("a"));
        let mut delivered = Vec::new();
        for seq in arrivals {
            let before = sequence.next_seq();
            match sequence.chunk(seq) {
                Verdict::Deliver => delivered.push(seq),
                Verdict::Duplicate => prop_assert!(seq < before),
                Verdict::Gap { expected } => prop_assert!(expected == before && seq > before),
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        prop_assert_eq!(delivered, expected);
    }

    /// Guards against a buffer that grows without bound or returns the wrong chunk.
    #[test]
    fn buffer_is_bounded_and_exact(sizes in prop::collection::vec(1usize..40, 1..100)) {
        let mut buffer = ResumeBuffer::new(100);
        for (index, size) in sizes.iter().enumerate() {
            prop_assert_eq!(buffer.push(index, *size), index as u64);
            prop_assert!(buffer.size_bytes() <= 100);
            prop_assert_eq!(buffer.get(index as u64), Ok(Some(index)));
            for seq in 0..=index {
                if let Ok(found) = buffer.get(seq as u64) {
                    prop_assert_eq!(found, Some(seq));
                }
            }
        }
        prop_assert_eq!(buffer.get(sizes.len() as u64), Ok(None));
    }
}

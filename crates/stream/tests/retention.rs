//! Tests of the bound on all resume buffers together.

use dw_stream::ResumeBuffer;
use dw_stream::Retention;
use proptest::prelude::*;

/// Guards against a newer or running answer that is dropped before an older finished one.
#[test]
fn oldest_finished_answers_go_first() {
    let mut retention = Retention::new(100);
    let [a, b, c, d] = [(); 4].map(|()| retention.open());
    for answer in [a, b, c] {
        retention.resize(answer, 30);
    }
    retention.finish(b);
    retention.finish(a);
    assert!(retention.excess().is_empty());
    retention.resize(d, 60);
    assert_eq!(retention.excess(), [b, a]);
    assert_eq!(retention.total_bytes(), 90);
    retention.resize(b, 50);
    assert_eq!(
        retention.total_bytes(),
        90,
        "a dropped answer does not come back"
    );
    retention.resize(c, 70);
    assert!(retention.excess().is_empty());
    assert_eq!(
        retention.overrun_bytes(),
        30,
        "the running answers must shrink"
    );
}

proptest! {
    /// Guards against memory beyond the limit, and against sizes that are counted twice or leak.
    #[test]
    fn memory_is_bounded(steps in prop::collection::vec((0usize..6, 0usize..60, 0u8..8), 1..300)) {
        let mut retention = Retention::new(100);
        let mut open: Vec<(u64, ResumeBuffer<()>)> = Vec::new();
        for (slot, size, step) in steps {
            if open.len() <= slot {
                open.push((retention.open(), ResumeBuffer::new(80)));
                continue;
            }
            let (answer, buffer) = &mut open[slot];
            if step == 0 {
                retention.finish(*answer);
            } else if step == 1 {
                let (answer, _) = open.remove(slot);
                retention.close(answer);
            } else {
                buffer.push((), size);
                retention.resize(*answer, buffer.size_bytes());
                let dropped = retention.excess();
                buffer.trim(retention.overrun_bytes());
                retention.resize(*answer, buffer.size_bytes());
                open.retain(|(answer, _)| !dropped.contains(answer));
            }
            let kept: usize = open.iter().map(|(_, buffer)| buffer.size_bytes()).sum();
            prop_assert_eq!(retention.total_bytes(), kept);
            prop_assert!(kept <= 100);
        }
    }
}

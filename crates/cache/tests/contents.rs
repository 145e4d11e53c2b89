//! Tests of the contents of an engine cache or KV store, reconstructed from events.

use dw_base::PartKey;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_cache::Contents;
use dw_cache::KvChange;
use dw_cache::KvPage;

const NOW: TimeMs = TimeMs(1_000_000);

fn change(part: u64, tokens: u64) -> KvChange {
    KvChange {
        key: key(part),
        tokens: Tokens(tokens),
    }
}

fn page(epoch: u64, changes: Vec<KvChange>) -> KvPage {
    KvPage {
        since: 0,
        epoch,
        next: 7,
        incomplete: false,
        changes,
    }
}

fn key(part: u64) -> PartKey {
    PartKey::new("m@1", part)
}

fn prompt(ids: &[u64]) -> (Vec<PartKey>, Vec<PromptPart>) {
    let parts = ids.iter().map(|id| PromptPart {
        id: *id,
        tokens: Tokens(100),
    });
    (ids.iter().map(|id| key(*id)).collect(), parts.collect())
}

/// Guards against counting parts that follow a missing part or are only partly stored.
#[test]
fn only_leading_whole_parts_count() {
    let mut contents = Contents::default();
    let changes = vec![change(1, 96), change(3, 100), change(4, 20)];
    contents.apply(page(1, changes), NOW);
    let leading = |ids: &[u64]| {
        let (keys, parts) = prompt(ids);
        contents.leading_tokens(&keys, &parts).0
    };
    assert_eq!(leading(&[1, 2, 3]), 100);
    assert_eq!(leading(&[1, 3, 4]), 200);
    assert_eq!(leading(&[2, 1]), 0);
}

/// Guards against keeping parts of an earlier epoch, or parts whose removal may have been missed.
#[test]
fn restart_and_gap_empty_the_contents() {
    let mut contents = Contents::default();
    contents.apply(page(1, vec![change(1, 100)]), NOW);
    contents.apply(page(1, vec![change(1, 0), change(2, 100)]), NOW);
    assert_eq!(contents.newest(10), [key(2)]);
    contents.apply(page(2, vec![change(3, 100)]), NOW);
    assert_eq!(contents.newest(10), [key(3)]);
    let gap = KvPage {
        since: 7,
        incomplete: true,
        ..page(2, vec![change(4, 100)])
    };
    contents.apply(gap, NOW);
    assert_eq!(contents.newest(10), [key(4)]);
    assert_eq!(contents.next_position(), 7);
}

/// Guards against unbounded memory when removal events are lost, and against datagrams that are too
/// long to send.
#[test]
fn contents_are_bounded_and_the_newest_stay() {
    let mut contents = Contents::default();
    for part in 0..40_000 {
        contents.apply(page(1, vec![change(part, 16)]), NOW);
    }
    assert!(contents.newest(usize::MAX).len() <= 8_192);
    let mut newest = contents.newest(1_000);
    newest.sort_unstable();
    let mut expected: Vec<PartKey> = (39_000..40_000).map(key).collect();
    expected.sort_unstable();
    assert_eq!(newest, expected);
}

/// Guards against accepting relayed changes with a gap; the source must then be polled directly. A
/// repeated span has no effect.
#[test]
fn changes_that_another_process_has_read_follow_without_a_gap() {
    let relayed = |since, next, changes| KvPage {
        since,
        epoch: 1,
        next,
        incomplete: false,
        changes,
    };
    let mut contents = Contents::default();
    contents.apply_relayed(relayed(0, 3, vec![change(9, 100)]), NOW);
    assert!(
        !contents.is_fresh(NOW),
        "the source has not been polled yet"
    );
    contents.apply(page(1, vec![change(1, 100)]), NOW);
    contents.apply_relayed(relayed(7, 9, vec![change(2, 100)]), NOW);
    contents.apply_relayed(relayed(7, 9, vec![change(2, 0)]), NOW);
    let (keys, parts) = prompt(&[1, 2]);
    assert_eq!(contents.leading_tokens(&keys, &parts), Tokens(200));
    assert!(contents.is_fresh(NOW));
    assert!(
        !contents.is_fresh(TimeMs(NOW.0 + 3_000)),
        "relayed changes expire"
    );
    contents.apply_relayed(relayed(11, 12, vec![change(3, 100)]), NOW);
    assert!(!contents.is_fresh(NOW), "a span is missing");
    assert_eq!(contents.next_position(), 9);
    contents.apply_relayed(relayed(9, 12, vec![change(3, 100)]), NOW);
    assert!(contents.is_fresh(NOW));
    contents.mark_stale();
    assert!(!contents.is_fresh(NOW));
    let restarted = KvPage {
        epoch: 2,
        ..relayed(12, 14, Vec::new())
    };
    contents.apply_relayed(restarted, NOW);
    assert!(
        !contents.is_fresh(NOW),
        "the epoch of the source has changed"
    );
}

//! Tests of the cache index against a model of an engine's cache.

use std::collections::BTreeSet;

use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_cache::Action;
use dw_cache::Batch;
use dw_cache::Event;
use dw_cache::Index;
use dw_cache::Kind;
use dw_cache::Snapshot;
use dw_cache::LOST_TAIL_MS;
use proptest::prelude::*;

const CAPACITY: usize = 8;

/// Model of an engine that numbers its cache changes.
#[derive(Default)]
struct Engine {
    incarnation: u64,
    weights: u64,
    seq: u64,
    blocks: BTreeSet<u128>,
    log: Vec<Event>,
}

impl Engine {
    fn emit(&mut self, kind: Kind, hashes: Vec<u128>) {
        self.seq += 1;
        self.log.push(Event {
            seq: self.seq,
            kind,
            hashes: hashes.into_iter().map(BlockHash).collect(),
        });
    }

    fn store(&mut self, block: u128) {
        if self.blocks.len() == CAPACITY && !self.blocks.contains(&block) {
            let victim = *self.blocks.iter().next().expect("cache is full");
            self.blocks.remove(&victim);
            self.emit(Kind::Evicted, vec![victim]);
        }
        self.blocks.insert(block);
        self.emit(Kind::Stored, vec![block]);
    }

    fn restart(&mut self) {
        self.incarnation += 1;
        self.seq = 0;
        self.blocks.clear();
        self.log.clear();
    }

    fn load_weights(&mut self) {
        self.weights += 1;
        self.blocks.clear();
        self.emit(Kind::Cleared, Vec::new());
    }

    fn batch(&self, after: u64, lost: impl Fn(u64) -> bool) -> Batch {
        Batch {
            incarnation: Incarnation(self.incarnation),
            weights: WeightsVersion(self.weights),
            last_seq: self.seq,
            events: self
                .log
                .iter()
                .filter(|event| event.seq > after && !lost(event.seq))
                .cloned()
                .collect(),
        }
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            incarnation: Incarnation(self.incarnation),
            weights: WeightsVersion(self.weights),
            seq: self.seq,
            capacity_blocks: CAPACITY,
            hashes: self.blocks.iter().copied().map(BlockHash).collect(),
        }
    }
}

fn chain(blocks: &[u128]) -> Chain {
    Chain {
        root: BlockHash(0),
        blocks: blocks.iter().copied().map(BlockHash).collect(),
        prompt_tokens: Tokens(blocks.len() as u64 * 2_048),
    }
}

fn synchronised(engine: &Engine) -> Index {
    let mut index = Index::new();
    assert_eq!(index.apply_snapshot(&engine.snapshot()), None);
    index
}

/// Guards against skipping a gap in the events, which would leave evicted blocks in the index.
#[test]
fn gap_asks_for_snapshot() {
    let mut engine = Engine::default();
    let mut index = synchronised(&engine);
    engine.store(1);
    engine.store(2);
    engine.store(3);
    let batch = engine.batch(0, |seq| seq == 2);
    assert_eq!(index.apply_batch(&batch, TimeMs(0)), Some(Action::Resync));
    assert!(!index.is_synchronised());
    assert_eq!(index.apply_snapshot(&engine.snapshot()), None);
    assert_eq!(index.warm_depth(&chain(&[1, 2, 3, 4])), 3);
}

/// Guards against missing the loss of the last event, which no later sequence number reveals.
#[test]
fn lost_tail_asks_for_snapshot() {
    let mut engine = Engine::default();
    let mut index = synchronised(&engine);
    engine.store(1);
    let batch = engine.batch(0, |_| true);
    assert_eq!(
        index.apply_batch(&batch, TimeMs(0)),
        None,
        "the event may only be late"
    );
    let later = TimeMs(0) + LOST_TAIL_MS + DurationMs(1);
    assert_eq!(index.apply_batch(&batch, later), Some(Action::Resync));
}

/// Guards against keeping entries of a crashed engine or of older weights.
#[test]
fn new_incarnation_or_weights_clear() {
    let mut engine = Engine::default();
    engine.store(1);
    let mut index = synchronised(&engine);
    let stale = engine.batch(0, |_| false);
    engine.restart();
    let batch = engine.batch(0, |_| false);
    assert_eq!(index.apply_batch(&batch, TimeMs(0)), Some(Action::Resync));
    assert!(index.is_empty());
    assert_eq!(
        index.apply_batch(&stale, TimeMs(0)),
        None,
        "response of the old incarnation"
    );
    assert!(index.is_empty());
    index.apply_snapshot(&engine.snapshot());
    engine.store(1);
    index.apply_batch(&engine.batch(0, |_| false), TimeMs(0));
    assert_eq!(index.warm_depth(&chain(&[1])), 1);
    assert_eq!(
        index.observe(Incarnation(1), WeightsVersion(9)),
        Some(Action::Resync)
    );
    assert!(index.is_empty());
}

/// Guards against wrong entries that remain after the engine's report, and against a report that
/// drops blocks which the same request has stored.
#[test]
fn report_corrects_entries() {
    let mut engine = Engine::default();
    engine.store(1);
    engine.store(2);
    let mut index = synchronised(&engine);
    let long = chain(&[1, 2]);
    let predicted = index.predict(&long);
    index.record_reported(&long, predicted, 1);
    assert_eq!(index.warm_depth(&long), 1);
    let predicted = index.predict(&long);
    engine.store(2);
    index.apply_batch(&engine.batch(index.applied_seq(), |_| false), TimeMs(0));
    index.record_reported(&long, predicted, 1);
    assert_eq!(index.warm_depth(&long), 2);
    let predicted = index.predict(&chain(&[1, 2, 3]));
    index.record_reported(&chain(&[1, 2, 3]), predicted, 3);
    assert_eq!(index.warm_depth(&chain(&[1, 2, 3])), 3);
}

#[derive(Clone, Debug)]
enum Step {
    Store(u128),
    Restart,
    Load,
    Poll { lost: u64, wait_ms: u64 },
    Snapshot,
    Report(u128),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (1u128..20).prop_map(Step::Store),
        1 => Just(Step::Restart),
        1 => Just(Step::Load),
        6 => (1u64..40, 0u64..3_000).prop_map(|(lost, wait_ms)| Step::Poll { lost, wait_ms }),
        3 => Just(Step::Snapshot),
        2 => (1u128..20).prop_map(Step::Report),
    ]
}

proptest! {
    /// Guards against an index that differs from the engine's cache although it received every event,
    /// and against one that does not recover from lost events.
    #[test]
    fn index_is_exact_when_synchronised(steps in prop::collection::vec(step(), 1..120)) {
        let mut engine = Engine::default();
        let mut index = Index::new();
        let mut now = TimeMs(0);
        for step in steps {
            match step {
                Step::Store(block) => engine.store(block),
                Step::Restart => engine.restart(),
                Step::Load => engine.load_weights(),
                Step::Poll { lost, wait_ms } => {
                    now = now + DurationMs(wait_ms);
                    let batch = engine.batch(index.applied_seq(), |seq| seq == lost);
                    index.apply_batch(&batch, now);
                }
                Step::Snapshot => {
                    index.apply_snapshot(&engine.snapshot());
                }
                Step::Report(block) => {
                    let chain = chain(&[block]);
                    let predicted = index.predict(&chain);
                    index.record_reported(&chain, predicted, usize::from(engine.blocks.contains(&block)));
                }
            }
            prop_assert!(index.len() <= CAPACITY + 1_024);
        }
        // Two polls further apart than LOST_TAIL_MS detect any lost event.
        for _ in 0..3 {
            now = now + LOST_TAIL_MS + DurationMs(1);
            let batch = engine.batch(index.applied_seq(), |_| false);
            if index.apply_batch(&batch, now) == Some(Action::Resync) {
                index.apply_snapshot(&engine.snapshot());
            }
        }
        prop_assert!(index.is_synchronised());
        prop_assert_eq!(index.len(), engine.blocks.len());
        for block in &engine.blocks {
            prop_assert!(index.contains(BlockHash(*block)));
        }
    }
}

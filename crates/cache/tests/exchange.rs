//! Tests of exports to and lookups in the KV store.

use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_cache::import_is_cheaper;
use dw_cache::Exchange;
use dw_cache::Run;
use dw_cache::StoredBlock;
use dw_cache::BREAKER_PAUSE_MS;
use dw_cache::EXPORTS_PER_S;
use dw_cache::MAX_KNOWN_BLOCKS;
use dw_cache::MAX_WAITING_RUNS;
use dw_cache::NEGATIVE_LOOKUP_TTL_MS;

const START: TimeMs = TimeMs(1_000_000);

/// Number of agents at which each one has an allowance of 2 writes and 10 reads.
const AGENTS: usize = 100;

fn chain(blocks: impl IntoIterator<Item = u128>) -> Chain {
    Chain {
        root: BlockHash(0),
        blocks: blocks.into_iter().map(BlockHash).collect(),
        prompt_tokens: Tokens(1),
    }
}

fn hashes(run: &Run) -> Vec<u128> {
    run.hashes.iter().map(|hash| hash.0).collect()
}

fn stored(hashes: &[u128]) -> Vec<StoredBlock> {
    let block = |hash: &u128| StoredBlock {
        hash: BlockHash(*hash),
        size_bytes: 10,
    };
    hashes.iter().map(block).collect()
}

fn with_many_agents() -> Exchange {
    let mut exchange = Exchange::new(START);
    exchange.set_agent_count(AGENTS, START);
    exchange
}

/// Guards against one write per block, and against exporting the same blocks twice.
#[test]
fn first_use_exports_one_run() {
    let mut exchange = Exchange::new(START);
    exchange.record_use(&chain(1..=4), START);
    let run = exchange
        .next_export(START)
        .expect("write allowance is available");
    assert_eq!((hashes(&run), run.hot), (vec![1, 2, 3, 4], false));
    exchange.record_use(&chain(1..=4), START);
    assert_eq!(
        exchange.next_export(START),
        None,
        "the run is already being exported"
    );
    exchange.record_export(&run, &stored(&[1, 2]));
    exchange.record_use(&chain([1, 2, 3, 5]), START);
    let hot = exchange
        .next_export(START)
        .expect("block 3 is not in the store");
    assert_eq!((hashes(&hot), hot.depth, hot.hot), (vec![3], 2, true));
    let cold = exchange.next_export(START).expect("block 5 is new");
    assert_eq!((hashes(&cold), cold.depth), (vec![5], 3));
}

/// Guards against cold blocks that use up the write allowance of hot ones, and against exporting a
/// deep run before a shallow one.
#[test]
fn hot_and_shallow_runs_go_first() {
    let mut exchange = with_many_agents();
    exchange.record_use(&chain([1]), START);
    assert!(exchange.next_export(START).is_some());
    for cold in [2, 3] {
        exchange.record_use(&chain([cold]), START);
    }
    assert_eq!(
        exchange.next_export(START),
        None,
        "half of the allowance is reserved for hot runs"
    );
    assert_eq!(
        exchange.waiting_runs(),
        0,
        "cold runs are dropped until their second use"
    );
    exchange.record_use(&chain([9, 3]), START);
    exchange.record_use(&chain([2]), START);
    let order: Vec<_> = std::iter::from_fn(|| exchange.next_export(START)).collect();
    let order: Vec<_> = order.iter().map(hashes).collect();
    assert_eq!(order, [[2]], "one write was left, and 3 is deeper");
    let later = TimeMs(START.0 + 500);
    let next = exchange.next_export(later).expect("a write has accrued");
    assert_eq!(hashes(&next), [3], "a hot run waits for the allowance");
}

/// Guards against agents whose total write rate exceeds what the stores sustain.
#[test]
fn writes_stay_within_the_share() {
    for agents in [1, 10, 100] {
        let mut exchange = Exchange::new(START);
        exchange.set_agent_count(agents, START);
        let share = EXPORTS_PER_S / agents as f64;
        let mut writes = 0;
        for step in 0..10_000u64 {
            let now = TimeMs(START.0 + step);
            exchange.record_use(&chain([u128::from(step) % 5_000]), now);
            while exchange.next_export(now).is_some() {
                writes += 1;
            }
        }
        let limit = share.max(2.0) + 10.0 * share;
        assert!(f64::from(writes) <= limit, "{writes} with {agents} agents");
        assert!(f64::from(writes) >= 9.0 * share, "{writes} with {agents}");
    }
}

/// Guards against missing a prefix that another engine has stored, and against one read per block.
#[test]
fn lookups_follow_the_runs() {
    let mut exchange = Exchange::new(START);
    let prompt = chain([1, 2, 3, 4, 5]);
    let lookup = |exchange: &mut Exchange, now| exchange.next_lookup(&prompt, 1, now).map(|h| h.0);
    assert_eq!(lookup(&mut exchange, START), Some(1));
    exchange.record_lookup(BlockHash(1), &stored(&[1, 2, 7, 8]), START);
    assert_eq!(lookup(&mut exchange, START), Some(3));
    exchange.record_lookup(BlockHash(3), &stored(&[3, 4]), START);
    assert_eq!(lookup(&mut exchange, START), Some(5));
    exchange.record_lookup(BlockHash(5), &[], START);
    assert_eq!(lookup(&mut exchange, START), None, "the absence is cached");
    assert_eq!(exchange.stored_blocks(&prompt, 1), stored(&[2, 3, 4]));
    let later = START + NEGATIVE_LOOKUP_TTL_MS;
    assert_eq!(lookup(&mut exchange, later), Some(5));
}

/// Guards against missing a run because a shallower one is not in the store.
#[test]
fn run_below_the_warm_depth_is_found() {
    let mut exchange = Exchange::new(START);
    let prompt = chain([1, 2, 3]);
    exchange.record_lookup(BlockHash(1), &[], START);
    assert_eq!(exchange.next_lookup(&prompt, 2, START), Some(BlockHash(3)));
    assert_eq!(exchange.next_lookup(&prompt, 0, START), None);
    exchange.record_lookup(BlockHash(3), &stored(&[4]), START);
    assert!(
        exchange.stored_blocks(&prompt, 2).is_empty(),
        "block 4 is not part of the chain"
    );
}

/// Guards against lookups beyond the rate limit, and against a time-out per request in an outage.
#[test]
fn lookups_stop_without_allowance_and_in_an_outage() {
    let mut exchange = with_many_agents();
    let fresh = (0..100).filter(|n| exchange.next_lookup(&chain([*n]), 0, START).is_some());
    assert_eq!(fresh.count(), 10);
    let mut exchange = Exchange::new(START);
    let mut calls = 0;
    for step in 0..BREAKER_PAUSE_MS.0 * 4 {
        let now = TimeMs(START.0 + step);
        exchange.record_use(&chain([1]), now);
        let key = exchange.next_lookup(&chain([u128::from(step)]), 0, now);
        if key.is_some() || exchange.next_export(now).is_some() {
            calls += 1;
            exchange.record_failure(now);
        }
    }
    assert_eq!(calls, 4, "one call per breaker interval");
    let after = START + BREAKER_PAUSE_MS;
    let after = TimeMs(after.0 * 2);
    assert!(exchange.next_lookup(&chain([1]), 0, after).is_some());
    assert!(exchange.next_lookup(&chain([2]), 0, after).is_none());
    exchange.record_lookup(BlockHash(1), &[], after);
    assert!(exchange.next_lookup(&chain([2]), 0, after).is_some());
}

/// Guards against memory use that grows with the number of prompts.
#[test]
fn memory_is_bounded() {
    let mut exchange = with_many_agents();
    for prompt in 0..2 * MAX_KNOWN_BLOCKS as u128 {
        exchange.record_use(&chain([prompt * 2, prompt * 2 + 1]), START);
        assert!(exchange.known_blocks() <= MAX_KNOWN_BLOCKS);
        assert!(exchange.waiting_runs() <= MAX_WAITING_RUNS);
    }
    assert!(exchange.known_blocks() >= MAX_KNOWN_BLOCKS / 2);
}

/// Guards against imports that take longer than computing the block.
#[test]
fn import_is_compared_with_computation() {
    let speed = |value| TokensPerS::new(value).expect("valid speed");
    assert!(import_is_cheaper(1_000_000, 1_000_000_000, speed(10_000.0)));
    assert!(!import_is_cheaper(1_000_000, 1_000_000, speed(10_000.0)));
    assert!(!import_is_cheaper(0, 1_000_000, speed(1_000_000.0)));
}

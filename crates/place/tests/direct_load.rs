//! Placement while engines have queues.

mod direct_fleet;

use dw_base::DurationMs;
use dw_base::Tokens;
use dw_base::UpstreamId;

use direct_fleet::case_of;
use direct_fleet::direct;
use direct_fleet::engines;
use direct_fleet::place;
use direct_fleet::place_at;
use direct_fleet::prompt;
use direct_fleet::telling_engines;
use direct_fleet::Case;
use direct_fleet::NOW;

/// Guards against a burst of one hot prompt that all goes to its home while others are idle.
#[test]
fn burst_of_one_prompt_spreads() {
    let engines = engines(9);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let mut used = std::collections::BTreeMap::<UpstreamId, u32>::new();
    for own in 0..60 {
        let parts = prompt(1, 9_000 + own, 6_610);
        let case = case_of(&parts, &near, 5_382);
        let choice = place_at(&mut direct, &case, &engines, NOW);
        // Nothing is complete before the burst is over.
        let _sent = direct.sent(&choice, "m", case.prompt, NOW);
        *used.entry(choice.upstream).or_default() += 1;
    }
    let most = used.values().max().copied().unwrap_or_default();
    assert!(used.len() >= 8 && most <= 20, "{used:?}");
}

/// Guards against work that other routers have sent and this one does not see.
#[test]
fn reported_work_of_other_routers_counts() {
    let engines = engines(9);
    let parts = prompt(1, 9_000, 2_000);
    let case = Case {
        prompt: &parts,
        data_centre: &engines[0].data_centre,
        stored: 0,
        output_tokens: Tokens(50),
    };
    let mut direct = direct();
    let home = place(&mut direct, &case, &engines, false).upstream;
    direct.load(&home).reported(Tokens(200_000), NOW);
    let other = place(&mut direct, &case, &engines, false).upstream;
    assert_ne!(home, other);
}

/// Guards against prompts that leave the engines which hold their parts for a slightly shorter
/// queue: while all engines have queues, each prompt computed or fetched again makes all of them
/// longer.
#[test]
fn prompts_stay_with_their_parts_while_engines_are_crowded() {
    let mut engines = telling_engines(9);
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = case_of(&parts, &near, 5_382);
    let mut direct = direct();
    let home = place(&mut direct, &case, &engines, false).upstream;
    for engine in &mut engines {
        let is_home = engine.id == home;
        engine.cached_parts = Some(if is_home { 2 } else { 0 });
        let tokens = if is_home { 55_000 } else { 40_000 };
        direct.load(&engine.id).reported(Tokens(tokens), NOW);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_eq!(choice.upstream, home);
}

/// Guards against an engine that works off its queue slowly, because it also generates and fetches,
/// and gets as many requests as the others: waits at the slowest were four times those expected.
#[test]
fn engines_that_work_off_their_queue_slowly_get_less() {
    let engines = engines(9);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let parts = prompt(1, 9_000, 500);
    let case = case_of(&parts, &near, 5_382);
    for engine in &engines {
        direct.load(&engine.id).reported(Tokens(30_000), NOW);
    }
    let slow = place(&mut direct, &case, &engines, false).upstream;
    for _ in 0..10 {
        let choice = place_at(&mut direct, &case, &engines, NOW);
        let sent = direct.sent(&choice, "m", case.prompt, NOW);
        let waited_ms = if choice.upstream == slow { 1_500 } else { 400 };
        direct.first_token(&choice.upstream, &sent, NOW + DurationMs(waited_ms));
        direct.ended(&choice.upstream);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_ne!(choice.upstream, slow);
}

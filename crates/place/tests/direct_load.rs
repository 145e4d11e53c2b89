//! Tests of direct placement while engines have queues.

mod direct_fleet;

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::MeasuredWork;
use dw_base::Tokens;
use dw_base::UpstreamId;

use direct_fleet::announcing_engines;
use direct_fleet::case_of;
use direct_fleet::direct;
use direct_fleet::engines;
use direct_fleet::place;
use direct_fleet::place_at;
use direct_fleet::prompt;
use direct_fleet::Case;
use direct_fleet::NOW;

/// Guards against sending all of a burst of one hot prompt to its home while other engines are idle.
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
        // No request completes before the burst is over.
        let _sent = direct.record_sent(&choice, "m", case.prompt, NOW);
        *used.entry(choice.upstream).or_default() += 1;
    }
    let most = used.values().max().copied().unwrap_or_default();
    assert!(used.len() >= 8 && most <= 20, "{used:?}");
}

/// Guards against ignoring the work that other routers have sent to an upstream.
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
    direct
        .load_mut(&home)
        .set_other_tokens(Tokens(200_000), NOW);
    let other = place(&mut direct, &case, &engines, false).upstream;
    assert_ne!(home, other);
}

/// Guards against placing prompts away from engines that hold their parts because another queue is
/// slightly shorter: while all engines have queues, recomputing or fetching parts lengthens them.
#[test]
fn prompts_stay_with_their_parts_while_engines_are_crowded() {
    let mut engines = announcing_engines(9);
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = case_of(&parts, &near, 5_382);
    let mut direct = direct();
    let home = place(&mut direct, &case, &engines, false).upstream;
    for engine in &mut engines {
        let is_home = engine.id == home;
        engine.cached_parts = Some(if is_home { 2 } else { 0 });
        let tokens = if is_home { 55_000 } else { 40_000 };
        direct
            .load_mut(&engine.id)
            .set_other_tokens(Tokens(tokens), NOW);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_eq!(choice.upstream, home);
}

/// Guards against an engine that gets as many requests as others although it processes its queue
/// slowly, because it also decodes and fetches: waits at the slowest were four times the expected.
#[test]
fn engines_that_work_off_their_queue_slowly_get_less() {
    let engines = engines(9);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let parts = prompt(1, 9_000, 500);
    let case = case_of(&parts, &near, 5_382);
    for engine in &engines {
        direct
            .load_mut(&engine.id)
            .set_other_tokens(Tokens(30_000), NOW);
    }
    let slow = place(&mut direct, &case, &engines, false).upstream;
    for _ in 0..10 {
        let choice = place_at(&mut direct, &case, &engines, NOW);
        let sent = direct.record_sent(&choice, "m", case.prompt, NOW);
        let waited_ms = if choice.upstream == slow { 1_500 } else { 400 };
        direct.record_first_token(&choice.upstream, &sent, NOW + DurationMs(waited_ms));
        direct.record_ended(&choice.upstream);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_ne!(choice.upstream, slow);
}

fn measured(tokens: u64, took_ms: u64) -> MeasuredSpeeds {
    let single_prompts = MeasuredWork {
        tokens: Tokens(tokens),
        took_ms: DurationMs(took_ms),
    };
    MeasuredSpeeds {
        single_prompts,
        queued_prompts: MeasuredWork::default(),
    }
}

/// Guards against an engine of half speed that is the home of as many prompts as others: its queue
/// grows, and half of its prompts are placed at engines that lack their parts. One of 26 routers
/// measures each of 47 engines too seldom, so the measurements of all routers are used.
#[test]
fn slow_engines_are_home_of_fewer_prompts() {
    let engines = announcing_engines(8);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    for engine in &engines {
        let is_slow = engine.id == engines[0].id;
        let took_ms = if is_slow { 2_000 } else { 1_000 };
        direct
            .load_mut(&engine.id)
            .set_measured_speeds(measured(100_000, took_ms));
    }
    let mut at_slow = 0;
    for kind in 0..800 {
        let parts = prompt(kind, 9_000, 500);
        let choice = place(&mut direct, &case_of(&parts, &near, 0), &engines, false);
        at_slow += u32::from(choice.home && choice.upstream == engines[0].id);
    }
    // An equal share is 100 of 800, half of one is 53.
    assert!((30..75).contains(&at_slow), "{at_slow} of 800");
}

/// Guards against shared measurements that replace a larger number of this router's own.
#[test]
fn own_measurements_count_once_they_are_more() {
    let engines = engines(1);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let id = engines[0].id.clone();
    direct
        .load_mut(&id)
        .set_measured_speeds(measured(3_000, 300));
    for own in 0..20 {
        let parts = prompt(1, 9_000 + own, 30_000);
        let case = case_of(&parts, &near, 0);
        let choice = place_at(&mut direct, &case, &engines, NOW);
        let sent = direct.record_sent(&choice, "m", case.prompt, NOW);
        // Time for 30,000 tokens at the prior speed.
        direct.record_first_token(&choice.upstream, &sent, NOW + DurationMs(520));
        direct.record_ended(&choice.upstream);
    }
    let speed = direct.load_mut(&id).tokens_per_ms();
    assert!(speed > 60.0, "{speed} tokens/ms");
    let measured = direct.load_mut(&id).measured_speeds().single_prompts;
    assert!(measured.tokens > Tokens(3_000), "{measured:?}");
}

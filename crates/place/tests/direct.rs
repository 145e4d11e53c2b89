//! Tests of direct placement: weights, failures and upcoming loads of weights.

mod direct_fleet;

use dw_base::Tokens;
use dw_place::Choice;

use direct_fleet::case_of;
use direct_fleet::direct;
use direct_fleet::engines;
use direct_fleet::place;
use direct_fleet::prompt;
use direct_fleet::Case;

/// Guards against answers on old weights while engines with new ones have capacity.
#[test]
fn newer_weights_are_preferred() {
    let mut engines = engines(9);
    for engine in engines.iter_mut().skip(3) {
        engine.old = true;
    }
    let near = engines[0].data_centre.clone();
    for kind in 0..20 {
        let parts = prompt(kind, 9_000, 1_000);
        let case = case_of(&parts, &near, 5_382);
        let choice = place(&mut direct(), &case, &engines, false);
        let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
        assert!(!chosen.expect("test data is valid").old);
    }
}

/// Guards against an upstream that fails part of its requests while its health check passes.
#[test]
fn failing_upstream_is_avoided() {
    let mut engines = engines(3);
    engines[0].failure_rate = 0.4;
    let near = engines[0].data_centre.clone();
    for _ in 0..10 {
        let case = Case {
            prompt: &[],
            data_centre: &near,
            stored: 0,
            output_tokens: Tokens(50),
        };
        let choice = place(&mut direct(), &case, &engines, false);
        assert_ne!(choice.upstream, engines[0].id);
    }
}

/// Guards against prompts that keep being placed at an upstream that takes few requests, and are read again
/// elsewhere by chance; such an upstream is still used while the others have long queues.
#[test]
fn upstream_with_a_request_limit_is_the_home_of_prompts() {
    let mut engines = engines(9);
    engines[0].limited = true;
    let near = engines[0].data_centre.clone();
    for kind in 0..40 {
        let parts = prompt(kind, 9_000, 1_000);
        let case = case_of(&parts, &near, 0);
        let choice = place(&mut direct(), &case, &engines, false);
        assert_ne!(choice.upstream, engines[0].id);
    }
    for engine in &mut engines[1..] {
        engine.failure_rate = 0.9;
    }
    let parts = prompt(1, 9_000, 1_000);
    let case = case_of(&parts, &near, 0);
    let choice = place(&mut direct(), &case, &engines, false);
    assert_eq!(choice.upstream, engines[0].id);
}

/// Guards against long answers that start shortly before an engine loads weights and delay the load
/// by seconds, and against avoiding the engine for short answers, which leaves it idle.
#[test]
fn long_answers_keep_away_from_engines_that_load_soon() {
    let mut engines = engines(9);
    for engine in engines.iter_mut().take(6) {
        engine.loads_soon = true;
    }
    let near = engines[0].data_centre.clone();
    let mut short_at_loading_soon = 0;
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let mut case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 5_382,
            output_tokens: Tokens(600),
        };
        let loads_soon = |choice: Choice| {
            let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
            chosen.expect("test data is valid").loads_soon
        };
        assert!(!loads_soon(place(&mut direct(), &case, &engines, false)));
        case.output_tokens = Tokens(3);
        short_at_loading_soon +=
            u32::from(loads_soon(place(&mut direct(), &case, &engines, false)));
    }
    assert!(short_at_loading_soon > 15, "{short_at_loading_soon} of 40");
}

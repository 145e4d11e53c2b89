//! Tests of direct placement by the cache contents of engines and the KV store.

mod direct_fleet;

use dw_base::DurationMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_place::Direct;

use direct_fleet::announcing_engines;
use direct_fleet::case_of;
use direct_fleet::direct;
use direct_fleet::engines;
use direct_fleet::place;
use direct_fleet::place_at;
use direct_fleet::prompt;
use direct_fleet::Engine;
use direct_fleet::NOW;

/// Guards against several engines computing a shared part that the KV store lacks: routers without
/// common state must choose the same engine, whatever their data centre.
#[test]
fn routers_agree_on_the_home_of_a_new_part() {
    let engines = engines(9);
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let homes: Vec<UpstreamId> = engines
            .iter()
            .take(3)
            .map(|engine| {
                let case = case_of(&parts, &engine.data_centre, 0);
                place(&mut direct(), &case, &engines, false).upstream
            })
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

/// Guards against traffic between data centres for parts that the KV store holds.
#[test]
fn stored_parts_are_used_near_the_router() {
    let engines = engines(9);
    let near = engines[1].data_centre.clone();
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let case = case_of(&parts, &near, 5_382);
        let choice = place(&mut direct(), &case, &engines, false);
        let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
        assert_eq!(chosen.expect("test data is valid").data_centre, near);
    }
}

/// Guards against expecting cache hits across weights versions or after a cache is cleared.
#[test]
fn warm_parts_belong_to_weights_and_starts() {
    let mut engines = engines(1);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let missing = |direct: &mut Direct, engines: &[Engine], own, send| {
        let parts = prompt(1, own, 1_000);
        let case = case_of(&parts, &near, 0);
        place(direct, &case, engines, send).missing_shared_tokens
    };
    assert_eq!(missing(&mut direct, &engines, 1, true), Tokens(5_382));
    assert_eq!(missing(&mut direct, &engines, 2, true), Tokens(0));
    engines[0].weights = 2;
    assert_eq!(missing(&mut direct, &engines, 3, true), Tokens(5_382));
    assert_eq!(missing(&mut direct, &engines, 4, true), Tokens(0));
    direct.clear_cache(&engines[0].id);
    assert_eq!(missing(&mut direct, &engines, 5, false), Tokens(5_382));
}

/// Guards against recomputing shared parts at their home although the sidecar of another engine
/// announces that it holds them.
#[test]
fn parts_that_an_engine_tells_of_are_not_computed() {
    let mut engines = announcing_engines(9);
    let near = engines[0].data_centre.clone();
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 500);
        let case = case_of(&parts, &near, 0);
        let home = place(&mut direct(), &case, &engines, false).upstream;
        let other = engines.iter().position(|engine| engine.id != home);
        let other = other.expect("test data is valid");
        engines[other].cached_parts = Some(2);
        let choice = place(&mut direct(), &case, &engines, false);
        engines[other].cached_parts = Some(0);
        assert_eq!(choice.missing_shared_tokens, choice.fetched_tokens);
        let source = choice.holder.as_ref().unwrap_or(&choice.upstream);
        assert_eq!(*source, engines[other].id);
    }
}

/// Guards against fetching from the KV store, whose link all fetches share, while an engine holds
/// the parts: with 12 of 47 engines unreachable, fetches from the stores took 1.5 s.
#[test]
fn parts_are_fetched_from_an_engine_near_the_chosen_one() {
    let mut engines = announcing_engines(9);
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = case_of(&parts, &near, 5_382);
    engines[1].cached_parts = Some(2);
    engines[3].cached_parts = Some(2);
    let mut direct = direct();
    for holder in [1, 3] {
        let holder = engines[holder].id.clone();
        direct
            .load_mut(&holder)
            .set_other_tokens(Tokens(200_000), NOW);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_eq!(choice.fetched_tokens, Tokens(5_382));
    assert_eq!(choice.holder.as_ref(), Some(&engines[3].id));
}

/// Guards against computing a prompt twice because an engine has not yet announced one that was just
/// sent there, and against still expecting it when the engine does not announce it in time.
#[test]
fn prompt_sent_just_now_counts_as_held() {
    let engines = announcing_engines(9);
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = case_of(&parts, &near, 0);
    let mut direct = direct();
    let first = place(&mut direct, &case, &engines, true);
    assert_eq!(first.missing_shared_tokens, Tokens(5_382));
    let second = place(&mut direct, &case, &engines, false);
    assert_eq!(second.missing_shared_tokens, Tokens(0));
    let later = place_at(&mut direct, &case, &engines, NOW + DurationMs(2_000));
    assert_eq!(later.missing_shared_tokens, Tokens(5_382));
}

/// Guards against copies of shared parts in each data centre that are evicted before they are used
/// again: on letargo-ops, each part was used every 4 s with a single home but every 11 s with one
/// home for each data centre, and engine caches turn over within 9 s.
#[test]
fn one_home_holds_parts_that_no_near_engine_holds() {
    let mut engines = announcing_engines(9);
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let centre = engines[0].data_centre.clone();
        let case = case_of(&parts, &centre, 0);
        let first = place(&mut direct(), &case, &engines, false).upstream;
        for near in 0..3 {
            let centre = engines[near].data_centre.clone();
            let case = case_of(&parts, &centre, 5_382);
            let choice = place(&mut direct(), &case, &engines, false);
            assert_eq!(choice.upstream, first);
        }
        let near = engines
            .iter()
            .position(|e| e.data_centre == centre && e.id != first);
        let near = near.expect("test data is valid");
        let case = case_of(&parts, &centre, 5_382);
        engines[near].cached_parts = Some(2);
        let choice = place(&mut direct(), &case, &engines, false);
        engines[near].cached_parts = Some(0);
        let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
        assert_eq!(chosen.expect("test data is valid").data_centre, centre);
    }
}

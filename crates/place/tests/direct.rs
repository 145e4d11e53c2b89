//! Placement by routers that send straight to upstreams.

use dw_base::Bytes;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_place::Choice;
use dw_place::Direct;
use dw_place::DirectRequest;
use dw_place::DirectSettings;
use dw_place::DirectTarget;

const NOW: TimeMs = TimeMs(1_000_000);

struct Engine {
    id: UpstreamId,
    data_centre: DataCentreId,
    weights: u64,
    old: bool,
    cached_parts: Option<usize>,
    loads_soon: bool,
    failure_rate: f64,
}

fn engines(count: usize) -> Vec<Engine> {
    let engine = |at: usize| Engine {
        id: format!("e{at}").parse().expect("test data is valid"),
        data_centre: format!("dc{}", at % 3).parse().expect("test data is valid"),
        weights: 1,
        old: false,
        cached_parts: None,
        loads_soon: false,
        failure_rate: 0.0,
    };
    (0..count).map(engine).collect()
}

fn targets(engines: &[Engine]) -> Vec<DirectTarget<'_>> {
    let targets = engines.iter().map(|engine| DirectTarget {
        upstream: &engine.id,
        data_centre: &engine.data_centre,
        slots: 32,
        kv_capacity: Some(Tokens(224_000)),
        weights: Some(WeightsVersion(engine.weights)),
        old_weights: engine.old,
        cached_parts: engine.cached_parts,
        loads_soon: engine.loads_soon,
        failure_rate: engine.failure_rate,
    });
    targets.collect()
}

fn prompt(kind: u64, own: u64, own_tokens: u64) -> Vec<PromptPart> {
    let part = |id, tokens| PromptPart {
        id,
        tokens: Tokens(tokens),
    };
    vec![part(1, 512), part(100 + kind, 4_870), part(own, own_tokens)]
}

struct Case<'a> {
    prompt: &'a [PromptPart],
    data_centre: &'a DataCentreId,
    stored: u64,
    output_tokens: Tokens,
}

fn place(direct: &mut Direct, case: &Case<'_>, engines: &[Engine], send: bool) -> Choice {
    let choice = place_at(direct, case, engines, NOW);
    if send {
        let stored = |_| Tokens(case.stored);
        let request = request(case, &stored);
        let sent = direct.sent(&choice, &request, NOW);
        direct.first_token(&choice.upstream, &sent, NOW + DurationMs(120));
        direct.ended(&choice.upstream);
    }
    choice
}

fn place_at(direct: &mut Direct, case: &Case<'_>, engines: &[Engine], now: TimeMs) -> Choice {
    let stored = |_| Tokens(case.stored);
    direct
        .place(&request(case, &stored), &targets(engines), now)
        .expect("test data is valid")
}

fn request<'a>(case: &Case<'a>, stored: &'a dyn Fn(WeightsVersion) -> Tokens) -> DirectRequest<'a> {
    DirectRequest {
        prompt: case.prompt,
        scope: "m",
        data_centre: case.data_centre,
        objective_ms: DurationMs(600),
        bytes: Bytes(13_000),
        output_tokens: case.output_tokens,
        stored,
    }
}

fn direct() -> Direct {
    Direct::new(DirectSettings::builder().build())
}

/// Guards against shared parts that several engines compute while the store lacks them: routers
/// that know nothing of one another choose the same engine, whatever their data centre.
#[test]
fn routers_agree_on_the_home_of_a_new_part() {
    let engines = engines(9);
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let homes: Vec<UpstreamId> = engines
            .iter()
            .take(3)
            .map(|engine| {
                let case = Case {
                    prompt: &parts,
                    data_centre: &engine.data_centre,
                    stored: 0,
                    output_tokens: Tokens(50),
                };
                place(&mut direct(), &case, &engines, false).upstream
            })
            .collect();
        assert!(homes.iter().all(|home| *home == homes[0]), "{homes:?}");
    }
}

/// Guards against traffic between data centres for parts that the store holds.
#[test]
fn stored_parts_are_used_near_the_router() {
    let engines = engines(9);
    let near = engines[1].data_centre.clone();
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 5_382,
            output_tokens: Tokens(50),
        };
        let choice = place(&mut direct(), &case, &engines, false);
        let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
        assert_eq!(chosen.expect("test data is valid").data_centre, near);
    }
}

/// Guards against a burst of one hot prompt that all goes to its home while others are idle.
#[test]
fn burst_of_one_prompt_spreads() {
    let engines = engines(9);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let mut used = std::collections::BTreeMap::<UpstreamId, u32>::new();
    for own in 0..60 {
        let parts = prompt(1, 9_000 + own, 6_610);
        let case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 5_382,
            output_tokens: Tokens(50),
        };
        let stored = |_| Tokens(case.stored);
        let request = request(&case, &stored);
        let choice = place_at(&mut direct, &case, &engines, NOW);
        // Nothing is complete before the burst is over.
        let _sent = direct.sent(&choice, &request, NOW);
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

/// Guards against answers on old weights while engines with new ones have room.
#[test]
fn newer_weights_are_preferred() {
    let mut engines = engines(9);
    for engine in engines.iter_mut().skip(3) {
        engine.old = true;
    }
    let near = engines[0].data_centre.clone();
    for kind in 0..20 {
        let parts = prompt(kind, 9_000, 1_000);
        let case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 5_382,
            output_tokens: Tokens(50),
        };
        let choice = place(&mut direct(), &case, &engines, false);
        let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
        assert!(!chosen.expect("test data is valid").old);
    }
}

/// Guards against an upstream that fails part of its requests while its health check is good.
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

/// Guards against cache hits that are expected across weights or after a restart.
#[test]
fn warm_parts_belong_to_weights_and_starts() {
    let mut engines = engines(1);
    let near = engines[0].data_centre.clone();
    let mut direct = direct();
    let missing = |direct: &mut Direct, engines: &[Engine], own, send| {
        let parts = prompt(1, own, 1_000);
        let case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 0,
            output_tokens: Tokens(50),
        };
        place(direct, &case, engines, send).missing_shared_tokens
    };
    assert_eq!(missing(&mut direct, &engines, 1, true), Tokens(5_382));
    assert_eq!(missing(&mut direct, &engines, 2, true), Tokens(0));
    engines[0].weights = 2;
    assert_eq!(missing(&mut direct, &engines, 3, true), Tokens(5_382));
    assert_eq!(missing(&mut direct, &engines, 4, true), Tokens(0));
    direct.cache_lost(&engines[0].id);
    assert_eq!(missing(&mut direct, &engines, 5, false), Tokens(5_382));
}

/// Guards against long answers that start at an engine shortly before its turn to load weights and
/// keep it from the load for seconds, and against short ones that leave it idle until then.
#[test]
fn long_answers_keep_away_from_engines_that_load_soon() {
    let mut engines = engines(9);
    for engine in engines.iter_mut().take(6) {
        engine.loads_soon = true;
    }
    let near = engines[0].data_centre.clone();
    let mut short_at_loading = 0;
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 2_000);
        let mut case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 5_382,
            output_tokens: Tokens(600),
        };
        let is_loading = |choice: Choice| {
            let chosen = engines.iter().find(|engine| engine.id == choice.upstream);
            chosen.expect("test data is valid").loads_soon
        };
        assert!(!is_loading(place(&mut direct(), &case, &engines, false)));
        case.output_tokens = Tokens(3);
        short_at_loading += u32::from(is_loading(place(&mut direct(), &case, &engines, false)));
    }
    assert!(short_at_loading > 15, "{short_at_loading} of 40");
}

/// Guards against shared parts that are computed again at their home although the sidecar of
/// another engine tells that it holds them.
#[test]
fn parts_that_an_engine_tells_of_are_not_computed() {
    let mut engines = engines(9);
    for engine in &mut engines {
        engine.cached_parts = Some(0);
    }
    let near = engines[0].data_centre.clone();
    for kind in 0..40 {
        let parts = prompt(kind, 9_000 + kind, 500);
        let case = Case {
            prompt: &parts,
            data_centre: &near,
            stored: 0,
            output_tokens: Tokens(50),
        };
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

/// Guards against a link of the store that all fetches share while an engine holds the parts: with
/// 12 of 47 engines dark the fetches from the stores took 1.5 s.
#[test]
fn parts_are_fetched_from_an_engine_near_the_chosen_one() {
    let mut engines = engines(9);
    for engine in &mut engines {
        engine.cached_parts = Some(0);
    }
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = Case {
        prompt: &parts,
        data_centre: &near,
        stored: 5_382,
        output_tokens: Tokens(50),
    };
    engines[1].cached_parts = Some(2);
    engines[3].cached_parts = Some(2);
    let mut direct = direct();
    for holder in [1, 3] {
        let holder = engines[holder].id.clone();
        direct.load(&holder).reported(Tokens(200_000), NOW);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_eq!(choice.fetched_tokens, Tokens(5_382));
    assert_eq!(choice.holder.as_ref(), Some(&engines[3].id));
}

/// Guards against a prompt that is computed twice because an engine has not told yet of the one
/// that was just sent there, and against trust in it after the engine has dropped it.
#[test]
fn prompt_sent_just_now_counts_as_held() {
    let mut engines = engines(9);
    for engine in &mut engines {
        engine.cached_parts = Some(0);
    }
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = Case {
        prompt: &parts,
        data_centre: &near,
        stored: 0,
        output_tokens: Tokens(50),
    };
    let mut direct = direct();
    let first = place(&mut direct, &case, &engines, true);
    assert_eq!(first.missing_shared_tokens, Tokens(5_382));
    let second = place(&mut direct, &case, &engines, false);
    assert_eq!(second.missing_shared_tokens, Tokens(0));
    let later = place_at(&mut direct, &case, &engines, NOW + DurationMs(2_000));
    assert_eq!(later.missing_shared_tokens, Tokens(5_382));
}

/// Guards against prompts that leave the engines which hold their parts for a slightly shorter
/// queue: while all engines have queues, each prompt computed or fetched again makes all of them
/// longer.
#[test]
fn prompts_stay_with_their_parts_while_engines_are_crowded() {
    let mut engines = engines(9);
    for engine in &mut engines {
        engine.cached_parts = Some(0);
    }
    let near = engines[0].data_centre.clone();
    let parts = prompt(1, 9_000, 500);
    let case = Case {
        prompt: &parts,
        data_centre: &near,
        stored: 5_382,
        output_tokens: Tokens(50),
    };
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
    let case = Case {
        prompt: &parts,
        data_centre: &near,
        stored: 5_382,
        output_tokens: Tokens(50),
    };
    for engine in &engines {
        direct.load(&engine.id).reported(Tokens(30_000), NOW);
    }
    let slow = place(&mut direct, &case, &engines, false).upstream;
    for _ in 0..10 {
        let stored = |_| Tokens(case.stored);
        let request = request(&case, &stored);
        let choice = place_at(&mut direct, &case, &engines, NOW);
        let sent = direct.sent(&choice, &request, NOW);
        let waited_ms = if choice.upstream == slow { 1_500 } else { 400 };
        direct.first_token(&choice.upstream, &sent, NOW + DurationMs(waited_ms));
        direct.ended(&choice.upstream);
    }
    let choice = place(&mut direct, &case, &engines, false);
    assert_ne!(choice.upstream, slow);
}

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
    failure_rate: f64,
}

fn engines(count: usize) -> Vec<Engine> {
    let engine = |at: usize| Engine {
        id: format!("e{at}").parse().expect("test data is valid"),
        data_centre: format!("dc{}", at % 3).parse().expect("test data is valid"),
        weights: 1,
        old: false,
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
}

fn place(direct: &mut Direct, case: &Case<'_>, engines: &[Engine], send: bool) -> Choice {
    let stored = |_| Tokens(case.stored);
    let request = DirectRequest {
        prompt: case.prompt,
        scope: "m",
        data_centre: case.data_centre,
        objective_ms: DurationMs(600),
        bytes: Bytes(13_000),
        stored: &stored,
    };
    let choice = direct
        .place(&request, &targets(engines), NOW)
        .expect("test data is valid");
    if send {
        let sent = direct.sent(&choice, &request, NOW);
        direct.first_token(&choice.upstream, &sent, NOW + DurationMs(120));
        direct.ended(&choice.upstream);
    }
    choice
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
        };
        let stored = |_| Tokens(case.stored);
        let request = DirectRequest {
            prompt: case.prompt,
            scope: "m",
            data_centre: case.data_centre,
            objective_ms: DurationMs(600),
            bytes: Bytes(13_000),
            stored: &stored,
        };
        let choice = direct
            .place(&request, &targets(&engines), NOW)
            .expect("test data is valid");
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

//! Announced engine states and loads, and how receivers apply them.

#[allow(dead_code)]
mod common;

use common::data_centre;
use common::engine;
use common::router;
use common::state;
use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::MeasuredWork;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_fleet::router_hash;
use dw_fleet::Aggregate;
use dw_fleet::ForwardingPolicy;
use dw_fleet::Receivers;
use dw_fleet::SentLoads;
use dw_fleet::View;
use dw_wire::DataCentreState;
use dw_wire::EngineState;
use dw_wire::Phase;
use dw_wire::RouterLoads;

/// Guards against a changed phase that is announced late, twice or never, and against an older
/// state that arrives by a second path.
#[test]
fn changed_engines_are_news_once() {
    let mut aggregate = Aggregate::default();
    let addr = engine(0, 1);
    assert!(aggregate.update_engine(state(addr, 10, Phase::Open, 1), TimeMs(10)));
    assert_eq!(aggregate.take_changed_engines().len(), 1);
    assert!(!aggregate.update_engine(state(addr, 20, Phase::Open, 1), TimeMs(20)));
    assert!(aggregate.update_engine(state(addr, 40, Phase::Closing, 1), TimeMs(40)));
    assert!(!aggregate.update_engine(state(addr, 30, Phase::Open, 1), TimeMs(45)));
    let changed = aggregate.take_changed_engines();
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].phase, Phase::Closing);
    assert!(aggregate.take_changed_engines().is_empty());
    aggregate.remove_stale(TimeMs(3_000));
    assert!(
        aggregate.engines().is_empty(),
        "the engine of a silent sidecar is not announced"
    );
}

/// Guards against loads that are counted twice or after their router is gone, and against a router
/// that counts its own requests as those of others.
#[test]
fn loads_are_sums_without_the_own_part() {
    let mut aggregate = Aggregate::default();
    let (near, far) = (engine(0, 1), engine(1, 1));
    let (from, first) = router(1, 100, &[(near, 500), (far, 70)]);
    let own = first.router.clone();
    aggregate.update_router(from, first, TimeMs(100));
    let (from, second) = router(2, 90, &[(near, 1_000)]);
    aggregate.update_router(from, second, TimeMs(100));
    let loads = aggregate.loads(&mut None);
    assert_eq!(loads.routers, 2);
    assert_eq!(
        loads.outstanding,
        [(near, Tokens(1_500)), (far, Tokens(70))]
    );
    let mut sent_loads = SentLoads::default();
    sent_loads.record(TimeMs(100), vec![(near, Tokens(500)), (far, Tokens(70))]);
    sent_loads.record(TimeMs(160), vec![(near, Tokens(9_000))]);
    let hash = router_hash(&own);
    let included = loads.heard.iter().find(|(known, _)| *known == hash);
    let stamp = included.map(|(_, stamp)| *stamp);
    assert_eq!(sent_loads.own_tokens(stamp, near), Tokens(500));
    assert_eq!(sent_loads.own_tokens(None, near), Tokens(0));
    aggregate.remove_stale(TimeMs(4_000));
    assert!(aggregate.loads(&mut None).outstanding.is_empty());
}

/// Guards against loads of other data centres that are dropped or never expire, and against a retry
/// budget that grows while the routers of a data centre are unreachable.
#[test]
fn view_adds_data_centres_up_and_forgets() {
    let mut view = View::default();
    let addr = engine(0, 1);
    let loads = |routers, tokens| RouterLoads {
        routers,
        outstanding: vec![(addr, Tokens(tokens))],
        ..RouterLoads::default()
    };
    view.update_loads(&data_centre(0), &loads(20, 300), TimeMs(1_000));
    view.update_loads(&data_centre(1), &loads(30, 50), TimeMs(1_500));
    assert_eq!(view.outstanding(addr, TimeMs(1_600)), Tokens(350));
    assert_eq!(view.outstanding(addr, TimeMs(2_400)), Tokens(50));
    assert_eq!(view.routers(TimeMs(9_000)), 50);
    assert_eq!(view.routers(TimeMs(60_000)), 0);
}

/// Guards against an engine that stays closed after its sidecar fails, against an older state, and
/// against states that are ignored because the clock was set back before a restart.
#[test]
fn view_uses_the_latest_word_while_it_is_fresh() {
    let mut view = View::default();
    let addr = engine(0, 1);
    view.update_engine(state(addr, 50, Phase::Closing, 1), TimeMs(1_000));
    assert!(view
        .update_engine(state(addr, 40, Phase::Open, 1), TimeMs(1_010))
        .is_none());
    assert!(!view.is_open(addr, TimeMs(1_500)));
    assert!(view.is_open(addr, TimeMs(4_000)));
    let change = view.update_engine(state(addr, 10, Phase::Loading, 1), TimeMs(4_000));
    assert_eq!(
        change.map(|change| change.before),
        Some(Some(Phase::Closing))
    );
    assert!(!view.is_open(addr, TimeMs(4_100)));
}

/// Announces an engine every half a second by both clocks; returns how steady it is at the end.
fn announce_until(
    view: &mut View,
    end_ms: u64,
    since: TimeMs,
    state: impl Fn(u64) -> Option<EngineState>,
) -> DurationMs {
    let addr = engine(0, 1);
    for at_ms in (0..=end_ms).step_by(500) {
        if let Some(state) = state(at_ms) {
            view.update_engine(state, TimeMs(at_ms));
        }
    }
    view.steady_ms(addr, 1, since, TimeMs(end_ms))
}

/// Guards against an engine that is taken to have gone on although it started again, was not reached by its sidecar, or
/// was announced from an old report by a sidecar that had stood still.
#[test]
fn only_steady_announcements_show_that_an_engine_goes_on() {
    let addr = engine(0, 1);
    let open = |at_ms| state(addr, at_ms, Phase::Open, 1);
    let steady_ms = |since_ms, announced: &dyn Fn(u64) -> Option<EngineState>| {
        announce_until(&mut View::default(), 10_000, TimeMs(since_ms), announced)
    };
    // The last announcement may rest on a report from before the one before it.
    assert_eq!(steady_ms(0, &|at_ms| Some(open(at_ms))), DurationMs(9_500));
    assert_eq!(
        steady_ms(7_000, &|at_ms| Some(open(at_ms))),
        DurationMs(2_500)
    );
    let loads = |at_ms| Some(state(addr, at_ms, Phase::Loading, 1));
    assert_eq!(steady_ms(7_000, &loads), DurationMs(2_500));
    let was_cut_off = |at_ms| match at_ms {
        8_000 => Some(state(addr, at_ms, Phase::Unreachable, 1)),
        _ => Some(open(at_ms)),
    };
    assert_eq!(steady_ms(0, &was_cut_off), DurationMs(1_000));
    let is_cut_off = |at_ms| {
        Some(state(
            addr,
            at_ms,
            if at_ms < 9_000 {
                Phase::Open
            } else {
                Phase::Unreachable
            },
            1,
        ))
    };
    assert_eq!(steady_ms(0, &is_cut_off), DurationMs::ZERO);
    let has_restarted = |at_ms| {
        let started_ms = 1 + u64::from(at_ms > 8_000);
        Some(EngineState {
            started_ms,
            ..open(at_ms)
        })
    };
    assert_eq!(steady_ms(0, &has_restarted), DurationMs::ZERO);
    let was_silent = |at_ms| (!(5_000..8_000).contains(&at_ms)).then(|| open(at_ms));
    assert_eq!(steady_ms(0, &was_silent), DurationMs(1_500));
    let has_just_thawed = |at_ms| (!(8_500..10_000).contains(&at_ms)).then(|| open(at_ms));
    assert_eq!(steady_ms(7_000, &has_just_thawed), DurationMs(1_000));
}

/// Guards against measured speeds of a large fleet that do not fit into one datagram: they are
/// spread over several, and all are announced after a few.
#[test]
fn speeds_of_all_engines_are_told_in_turn() {
    let mut aggregate = Aggregate::default();
    for number in 1..=2 {
        let (from, mut router) = router(number, 1, &[]);
        router.speeds = (0..50)
            .map(|at| (engine(0, at), measured_speeds()))
            .collect();
        aggregate.update_router(from, router, TimeMs(1));
    }
    let mut view = View::default();
    let mut after = None;
    for _ in 0..6 {
        let loads = aggregate.loads(&mut after);
        assert!(loads.speeds.len() <= 12);
        view.update_loads(&data_centre(0), &loads, TimeMs(2));
    }
    for at in 0..50 {
        let all = view.speeds(engine(0, at), TimeMs(3)).single_prompts;
        assert_eq!(all.tokens, Tokens(200));
    }
}

/// Guards against states of another data centre that are forwarded twice, and against a data centre
/// whose states are not forwarded after one of its relays fails.
#[test]
fn one_relay_of_a_data_centre_is_passed_on() {
    let mut policy = ForwardingPolicy::default();
    let announcement = |loads: Option<RouterLoads>| DataCentreState {
        data_centre: data_centre(1),
        stamp: TimeMs(1),
        engines: vec![state(engine(1, 1), 1, Phase::Open, 1)],
        loads,
        weights: Vec::new(),
        tables: None,
    };
    let (first, second) = (engine(1, 1), engine(1, 2));
    let all = Receivers {
        routers: true,
        sidecars: true,
    };
    let full = announcement(Some(RouterLoads::default()));
    assert_eq!(policy.decide(first, &full, TimeMs(0)), all);
    assert_eq!(
        policy.decide(second, &full, TimeMs(10)),
        Receivers::default()
    );
    assert_eq!(policy.decide(second, &announcement(None), TimeMs(20)), all);
    let next = policy.decide(first, &full, TimeMs(100));
    assert!(next.routers && !next.sidecars, "sidecars need loads rarely");
    assert_eq!(policy.decide(second, &full, TimeMs(900)), all);
    assert!(policy.is_preferred(second, &data_centre(1)));
}

/// Guards against receivers that never get some speeds, which happens if an announcement to one kind
/// of receivers also advances the position of the other kind.
#[test]
fn each_kind_of_receivers_is_told_of_all_speeds() {
    let mut aggregate = Aggregate::default();
    let (from, mut router) = router(1, 1, &[]);
    router.speeds = (0..40)
        .map(|at| (engine(0, at), measured_speeds()))
        .collect();
    aggregate.update_router(from, router, TimeMs(1));
    let mut receivers = [(View::default(), None), (View::default(), None)];
    for _ in 0..8 {
        for (view, after) in &mut receivers {
            view.update_loads(&data_centre(0), &aggregate.loads(after), TimeMs(2));
        }
    }
    for (view, _) in receivers {
        let known = |at: &u8| view.speeds(engine(0, *at), TimeMs(3)) == measured_speeds();
        assert_eq!((0..40).filter(known).count(), 40);
    }
}

fn measured_speeds() -> MeasuredSpeeds {
    MeasuredSpeeds {
        single_prompts: MeasuredWork {
            tokens: Tokens(100),
            took_ms: DurationMs(2),
        },
        ..MeasuredSpeeds::default()
    }
}

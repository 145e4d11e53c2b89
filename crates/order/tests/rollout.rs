//! Tests of the decision on when an engine loads newly published weights.

use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_order::History;
use dw_order::NewestWeights;
use dw_order::Peer;
use dw_order::Rollout;
use dw_order::WeightsDeclarations;
use proptest::prelude::*;

const LIMIT: DurationMs = DurationMs(12_000);

fn engine(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 8_080))
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    weights: u64,
    requests: u32,
    loading: bool,
    reports: bool,
}

fn peers(fleet: &[Engine], own: usize) -> Vec<Peer> {
    let others = fleet.iter().enumerate().filter(|(index, _)| *index != own);
    others
        .map(|(index, other)| Peer {
            engine: engine(index),
            weights: other.reports.then_some(WeightsVersion(other.weights)),
            requests: other.requests,
            loading: other.loading,
            closing: false,
        })
        .collect()
}

fn rollout<'a>(fleet: &[Engine], own: usize, peers: &'a [Peer]) -> Rollout<'a> {
    Rollout {
        engine: engine(own),
        weights: WeightsVersion(fleet[own].weights),
        requests: fleet[own].requests,
        declared: WeightsVersion(2),
        behind_ms: DurationMs(100),
        limit_ms: LIMIT,
        peers,
    }
}

fn is_due(fleet: &[Engine], own: usize, published: u64, behind_ms: u64) -> bool {
    let peers = peers(fleet, own);
    Rollout {
        declared: WeightsVersion(published),
        behind_ms: DurationMs(behind_ms),
        ..rollout(fleet, own, &peers)
    }
    .is_due()
}

fn is_soon(fleet: &[Engine], own: usize) -> bool {
    let peers = peers(fleet, own);
    rollout(fleet, own, &peers).is_soon()
}

fn fleet(size: usize) -> Vec<Engine> {
    let engine = Engine {
        weights: 1,
        requests: 0,
        loading: false,
        reports: true,
    };
    vec![engine; size]
}

/// Guards against a rollout that takes too many engines out of service at once, and against one
/// that stalls.
#[test]
fn rollout_loads_few_engines_at_once_and_reaches_all() {
    for size in [2, 9, 18, 47] {
        let mut fleet = fleet(size);
        let max_active = (size / 5).max(2) + 1;
        let mut rounds = 0;
        while fleet.iter().any(|engine| engine.weights < 2) {
            let due: Vec<usize> = (0..size)
                .filter(|index| is_due(&fleet, *index, 2, 100))
                .collect();
            assert!(!due.is_empty(), "no engine of {size} may load");
            assert!(
                due.len() <= max_active,
                "{} of {size} load at once",
                due.len()
            );
            for index in due {
                fleet[index].weights = 2;
            }
            rounds += 1;
            assert!(rounds <= size, "the rollout does not end");
        }
    }
}

/// Guards against engines that start to load although the maximum number is loading already.
#[test]
fn engines_already_loading_count() {
    let mut fleet = fleet(18);
    for engine in fleet.iter_mut().take(4) {
        engine.loading = true;
    }
    assert!((4..18).all(|index| !is_due(&fleet, index, 2, 100)));
}

/// Guards against starvation when weights are published every two seconds: engines with the oldest
/// weights must load first.
#[test]
fn engines_with_oldest_weights_load_first() {
    let mut fleet = fleet(9);
    for engine in fleet.iter_mut().skip(2) {
        engine.weights = 2;
    }
    assert!(is_due(&fleet, 0, 3, 100));
    assert!(is_due(&fleet, 1, 3, 100));
    let others = (2..9)
        .filter(|index| is_due(&fleet, *index, 3, 100))
        .count();
    assert!(others <= 1, "{others} engines with newer weights load too");
}

/// Guards against an engine that waits for other loads although its time limit has passed and
/// routers no longer use it, for example after a restart with old weights.
#[test]
fn late_engine_loads_at_once() {
    let mut fleet = fleet(18);
    for engine in fleet.iter_mut().skip(1) {
        engine.loading = true;
    }
    assert!(!is_due(&fleet, 0, 2, LIMIT.0 - 1));
    assert!(is_due(&fleet, 0, 2, LIMIT.0));
}

/// Guards against a sidecar that receives no reports and never loads, and against all such sidecars
/// loading at the same time.
#[test]
fn schedule_by_rank_applies_without_reports() {
    let mut fleet = fleet(18);
    for engine in &mut fleet {
        engine.reports = false;
    }
    let due = |behind_ms| {
        (0..18)
            .filter(|index| is_due(&fleet, *index, 2, behind_ms))
            .count()
    };
    assert_eq!(due(0), 0);
    assert!(due(LIMIT.0 / 3) < 12);
    assert_eq!(due(LIMIT.0 * 7 / 10 + 1), 18);
}

/// Guards against a time limit that restarts with each publication. An engine that restarts with
/// old weights is late by the first publication that it missed.
#[test]
fn limit_counts_from_the_first_missed_publication() {
    let mut history = History::default();
    history.record(WeightsVersion(3), TimeMs(20_000));
    history.record(WeightsVersion(2), TimeMs(5_000));
    let now = TimeMs(21_000);
    assert_eq!(
        history.behind_ms(WeightsVersion(1), now),
        Some(DurationMs(16_000))
    );
    assert_eq!(
        history.behind_ms(WeightsVersion(2), now),
        Some(DurationMs(1_000))
    );
    assert_eq!(history.behind_ms(WeightsVersion(3), now), None);
}

/// Guards against a process that restarts after a power failure and assumes that the weights were
/// published just then.
#[test]
fn earlier_publication_time_counts() {
    let model: ModelId = "m".parse().expect("test data is valid");
    let mut namings = WeightsDeclarations::default();
    let newest = NewestWeights {
        weights: WeightsVersion(4),
        fence: FenceNumber(9),
    };
    assert!(namings.declare(&model, newest, TimeMs(40_000)));
    namings.restore(&model, WeightsVersion(4), TimeMs(30_000));
    namings.restore(&model, WeightsVersion(3), TimeMs(21_000));
    assert!(!namings.declare(&model, newest, TimeMs(41_000)));
    let behind = |held| namings.behind_ms(&model, WeightsVersion(held), TimeMs(41_000));
    assert_eq!(behind(2), Some(DurationMs(20_000)));
    assert_eq!(behind(3), Some(DurationMs(11_000)));
    let mut other = WeightsDeclarations::default();
    assert!(other.update(&namings.updates(TimeMs(41_000))[0], TimeMs(1_041_000)));
    let relayed = other.behind_ms(&model, WeightsVersion(2), TimeMs(1_041_000));
    assert_eq!(relayed, Some(DurationMs(20_000)));
    assert_eq!(other.newest(&model), Some(newest));
}

/// Guards against engines that are told of their load only when it is due, and then accept no
/// requests until long responses are finished. Also guards against a fleet in which no engine
/// accepts long responses.
#[test]
fn engines_next_to_load_are_told() {
    for size in [9, 18, 47] {
        let mut fleet = fleet(size);
        let soon: Vec<usize> = (0..size).filter(|index| is_soon(&fleet, *index)).collect();
        let due: Vec<usize> = (0..size)
            .filter(|index| is_due(&fleet, *index, 2, 100))
            .collect();
        assert!(due.iter().all(|index| soon.contains(index)));
        assert!(soon.len() > due.len(), "{} of {size}", soon.len());
        assert!(soon.len() < size, "all of {size}");
        for index in &due {
            fleet[*index].weights = 2;
        }
        let next = (0..size).filter(|index| is_due(&fleet, *index, 2, 100));
        assert!(next.into_iter().all(|index| soon.contains(&index)));
        assert!(due.iter().all(|index| !is_soon(&fleet, *index)));
    }
}

/// Guards against a rollout that takes the usual number of engines out of service although others
/// are unavailable. With 12 of 47 engines unavailable, there was no capacity left for requests.
#[test]
fn fewer_engines_load_while_others_are_unavailable() {
    let mut fleet = fleet(47);
    for engine in fleet.iter_mut().take(12) {
        engine.reports = false;
    }
    let due = (12..47)
        .filter(|index| is_due(&fleet, *index, 2, 100))
        .count();
    assert!((4..=8).contains(&due), "{due} of 35 load at once");
}

/// Guards against engines that finish long responses before their load while other engines are
/// almost idle. With 12 of 47 engines unavailable, engines accepted no requests for 1.4 s before
/// loads of 1.3 s.
#[test]
fn engines_with_few_requests_load_first() {
    let mut fleet = fleet(18);
    for (index, engine) in fleet.iter_mut().enumerate() {
        engine.requests = if index % 3 == 0 { 1 } else { 14 };
    }
    let due: Vec<usize> = (0..18)
        .filter(|index| is_due(&fleet, *index, 2, 100))
        .collect();
    assert_eq!(due.len(), 4);
    assert!(due.iter().all(|index| index % 3 == 0), "{due:?}");
}

fn any_engine() -> impl Strategy<Value = Engine> {
    let reports = prop::bool::weighted(0.9);
    let any = (1..=2u64, 0..64u32, any::<bool>(), reports);
    any.prop_map(|(weights, requests, loading, reports)| {
        Engine {
            weights,
            requests,
            // An engine with the newest weights does not load, and one that does not report does
            // not report a load either.
            loading: loading && reports && weights < 2,
            reports,
        }
    })
}

proptest! {
    /// Guards against a rollout that stalls, takes too many engines out of service, or selects
    /// engines that have the weights already, in any state of the fleet.
    #[test]
    fn rollout_progresses_and_stays_bounded(
        fleet in prop::collection::vec(any_engine(), 2..60),
        behind_ms in 0..LIMIT.0,
    ) {
        let reporting = fleet.iter().filter(|engine| engine.reports).count();
        // All engines receive the same reports, from more than half of the fleet.
        prop_assume!(reporting * 2 > fleet.len() + 1);
        let loading_count = fleet.iter().filter(|engine| engine.loading).count();
        let idle = (0..fleet.len()).filter(|index| fleet[*index].reports && !fleet[*index].loading);
        let outdated: Vec<usize> = idle.filter(|index| fleet[*index].weights < 2).collect();
        let due = outdated.iter().filter(|index| is_due(&fleet, **index, 2, behind_ms)).count();
        let max_active = (reporting / 5).max(2) + 1;
        prop_assert!(due == 0 || loading_count + due <= max_active, "{} and {} of {}", loading_count, due, reporting);
        prop_assert!(due > 0 || loading_count > 0 || outdated.is_empty());
        for index in (0..fleet.len()).filter(|index| fleet[*index].weights == 2) {
            prop_assert!(!is_due(&fleet, index, 2, behind_ms) && !is_soon(&fleet, index));
        }
    }
}

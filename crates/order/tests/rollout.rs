//! When an engine loads newly named weights.

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
    heard: bool,
}

fn peers(fleet: &[Engine], own: usize) -> Vec<Peer> {
    let others = fleet.iter().enumerate().filter(|(at, _)| *at != own);
    others
        .map(|(at, other)| Peer {
            engine: engine(at),
            weights: other.heard.then_some(WeightsVersion(other.weights)),
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

fn is_due(fleet: &[Engine], own: usize, named: u64, behind_ms: u64) -> bool {
    let peers = peers(fleet, own);
    Rollout {
        declared: WeightsVersion(named),
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
        heard: true,
    };
    vec![engine; size]
}

/// Guards against a rollout that takes so many engines at once that requests find no room, and
/// against one that stops.
#[test]
fn rollout_loads_few_engines_at_once_and_reaches_all() {
    for size in [2, 9, 18, 47] {
        let mut fleet = fleet(size);
        let most = (size / 5).max(2) + 1;
        let mut rounds = 0;
        while fleet.iter().any(|engine| engine.weights < 2) {
            let due: Vec<usize> = (0..size).filter(|at| is_due(&fleet, *at, 2, 100)).collect();
            assert!(!due.is_empty(), "no engine of {size} may load");
            assert!(due.len() <= most, "{} of {size} load at once", due.len());
            for at in due {
                fleet[at].weights = 2;
            }
            rounds += 1;
            assert!(rounds <= size, "the rollout does not end");
        }
    }
}

/// Guards against engines that load on top of those that load already.
#[test]
fn engines_that_load_count() {
    let mut fleet = fleet(18);
    for engine in fleet.iter_mut().take(4) {
        engine.loading = true;
    }
    assert!((4..18).all(|at| !is_due(&fleet, at, 2, 100)));
}

/// Guards against starvation when weights are named every two seconds: the engines with the oldest
/// weights go first.
#[test]
fn oldest_weights_go_first() {
    let mut fleet = fleet(9);
    for engine in fleet.iter_mut().skip(2) {
        engine.weights = 2;
    }
    assert!(is_due(&fleet, 0, 3, 100));
    assert!(is_due(&fleet, 1, 3, 100));
    let others = (2..9).filter(|at| is_due(&fleet, *at, 3, 100)).count();
    assert!(others <= 1, "{others} engines with newer weights go along");
}

/// Guards against an engine that no router may use any more and that waits its turn all the same,
/// as after a restart with old weights.
#[test]
fn late_engine_loads_at_once() {
    let mut fleet = fleet(18);
    for engine in fleet.iter_mut().skip(1) {
        engine.loading = true;
    }
    assert!(!is_due(&fleet, 0, 2, LIMIT.0 - 1));
    assert!(is_due(&fleet, 0, 2, LIMIT.0));
}

/// Guards against a sidecar that hears nobody and never loads, and against all of those loading at
/// the same moment.
#[test]
fn plan_holds_without_talk() {
    let mut fleet = fleet(18);
    for engine in &mut fleet {
        engine.heard = false;
    }
    let due = |behind_ms| {
        (0..18)
            .filter(|at| is_due(&fleet, *at, 2, behind_ms))
            .count()
    };
    assert_eq!(due(0), 0);
    assert!(due(LIMIT.0 / 3) < 12);
    assert_eq!(due(LIMIT.0 * 7 / 10 + 1), 18);
}

/// Guards against a limit that starts anew with each naming: an engine that restarts with old
/// weights is late by the first naming that it missed.
#[test]
fn limit_counts_from_the_first_missed_naming() {
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

/// Guards against a process that starts after a power loss and takes the weights for just named.
#[test]
fn earlier_time_of_a_naming_counts() {
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
    let told = other.behind_ms(&model, WeightsVersion(2), TimeMs(1_041_000));
    assert_eq!(told, Some(DurationMs(20_000)));
    assert_eq!(other.newest(&model), Some(newest));
}

/// Guards against engines that learn of their turn only when it comes, and then take no requests
/// until long answers are finished, and against a fleet that takes no long answers at all.
#[test]
fn engines_next_in_line_are_told() {
    for size in [9, 18, 47] {
        let mut fleet = fleet(size);
        let soon: Vec<usize> = (0..size).filter(|at| is_soon(&fleet, *at)).collect();
        let due: Vec<usize> = (0..size).filter(|at| is_due(&fleet, *at, 2, 100)).collect();
        assert!(due.iter().all(|at| soon.contains(at)));
        assert!(soon.len() > due.len(), "{} of {size}", soon.len());
        assert!(soon.len() < size, "all of {size}");
        for at in &due {
            fleet[*at].weights = 2;
        }
        let next = (0..size).filter(|at| is_due(&fleet, *at, 2, 100));
        assert!(next.into_iter().all(|at| soon.contains(&at)));
        assert!(due.iter().all(|at| !is_soon(&fleet, *at)));
    }
}

/// Guards against a rollout that takes as many engines out as usual although some are away: with 12
/// of 47 dark, requests found no room.
#[test]
fn fewer_engines_load_while_others_are_away() {
    let mut fleet = fleet(47);
    for engine in fleet.iter_mut().take(12) {
        engine.heard = false;
    }
    let due = (12..47).filter(|at| is_due(&fleet, *at, 2, 100)).count();
    assert!((4..=8).contains(&due), "{due} of 35 load at once");
}

/// Guards against engines that finish long answers for as long as they load, while others run next
/// to nothing: with 12 of 47 dark, engines took no requests for 1.4 s before loads of 1.3 s.
#[test]
fn engines_with_few_requests_go_first() {
    let mut fleet = fleet(18);
    for (at, engine) in fleet.iter_mut().enumerate() {
        engine.requests = if at % 3 == 0 { 1 } else { 14 };
    }
    let due: Vec<usize> = (0..18).filter(|at| is_due(&fleet, *at, 2, 100)).collect();
    assert_eq!(due.len(), 4);
    assert!(due.iter().all(|at| at % 3 == 0), "{due:?}");
}

fn any_engine() -> impl Strategy<Value = Engine> {
    let heard = prop::bool::weighted(0.9);
    let any = (1..=2u64, 0..64u32, any::<bool>(), heard);
    any.prop_map(|(weights, requests, loading, heard)| {
        Engine {
            weights,
            requests,
            // An engine that has the weights has nothing to load, and a silent one does not tell.
            loading: loading && heard && weights < 2,
            heard,
        }
    })
}

proptest! {
    /// Guards against a rollout that stops, one that takes more engines out than it may, and one
    /// that concerns engines which have the weights already, whatever state the fleet is in.
    #[test]
    fn rollout_goes_on_and_stays_bounded(
        fleet in prop::collection::vec(any_engine(), 2..60),
        behind_ms in 0..LIMIT.0,
    ) {
        let heard = fleet.iter().filter(|engine| engine.heard).count();
        // Each engine hears the same others, more than half of them.
        prop_assume!(heard * 2 > fleet.len() + 1);
        let at_work = fleet.iter().filter(|engine| engine.loading).count();
        let idle = (0..fleet.len()).filter(|at| fleet[*at].heard && !fleet[*at].loading);
        let behind: Vec<usize> = idle.filter(|at| fleet[*at].weights < 2).collect();
        let due = behind.iter().filter(|at| is_due(&fleet, **at, 2, behind_ms)).count();
        let most = (heard / 5).max(2) + 1;
        prop_assert!(due == 0 || at_work + due <= most, "{} and {} of {}", at_work, due, heard);
        prop_assert!(due > 0 || at_work > 0 || behind.is_empty());
        for at in (0..fleet.len()).filter(|at| fleet[*at].weights == 2) {
            prop_assert!(!is_due(&fleet, at, 2, behind_ms) && !is_soon(&fleet, at));
        }
    }
}

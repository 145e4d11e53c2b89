//! Failures during several times the quota.

use dw_base::QuotaLimit;
use dw_quota::granted_part;

use crate::data::limit;
use crate::fleet::allowed;
use crate::fleet::Fleet;
use crate::fleet::RequestKind;
use crate::links::Router;
use crate::links::Split;

/// Short urgent requests, long less urgent ones, and the longest of the deployments.
const MIXED: [RequestKind; 3] = [(2_400, 0, 0.5), (12_000, 1, 0.3), (71_000, 1, 0.2)];

const SHAPES: [(usize, u64); 4] = [(25, 709_743), (25, 36_000), (45, 36_000), (340, 36_000)];

/// Runs a fleet under three times the quota, with a failure in the midst of it, from a calm and from a busy
/// start; checks every window and that requests are served again afterwards.
fn check(name: &str, fail: impl Fn(&mut Fleet)) {
    for (routers, rate) in SHAPES {
        for (seed, busy_ms) in [(1, 10_000), (2, 3_000), (3, 900)] {
            let limit = limit(1, rate, rate);
            let mut fleet = Fleet::new(seed, (routers, 8), &[limit]);
            let load = [(3.0 * rate as f64, MIXED.as_slice())];
            fleet.run(busy_ms, &load);
            fail(&mut fleet);
            fleet.run(9_000, &load);
            fleet.loss = 0.0;
            fleet.run(7_000, &load);
            check_window(
                &fleet,
                limit,
                &format!("{name}, {routers} routers, seed {seed}"),
            );
            // The debt of one request from before may be paid in this time.
            let served = fleet.served(0, fleet.now - 6_000) + 71_000;
            let part = served as f64 / (rate * 6) as f64;
            let case = format!("{routers} routers, {rate}/s, seed {seed}");
            assert!(part >= 0.95, "{name}, {case}: {part:.2} served");
        }
    }
}

fn check_window(fleet: &Fleet, limit: QuotaLimit, what: &str) {
    let most = fleet.most_in_window(0, 0);
    let allowed = allowed(limit);
    assert!(
        most <= allowed,
        "{what}: {most} in a window, allowed {allowed} of {}",
        limit.rate
    );
}

/// Guards against a second burst when the process that counts ends and starts again.
#[test]
fn killed_counter() {
    check("killed", |fleet| fleet.kill(fleet.counter_of(0), 1_000));
    check("killed for good", |fleet| {
        fleet.kill(fleet.counter_of(0), 1_000_000)
    });
}

/// Guards against a process that goes on counting when it wakes, or that answers questions of before.
#[test]
fn frozen_counter() {
    for frozen_ms in [800, 1_700, 5_000] {
        check(&format!("frozen for {frozen_ms}"), |fleet| {
            let at = fleet.counter_of(0);
            fleet.sidecars[at].frozen_until = fleet.now + frozen_ms;
        });
    }
}

/// Guards against a process that saves up a burst while it is cut off and another one counts.
#[test]
fn counter_cut_off() {
    for cut_ms in [1_000, 2_500, 6_000] {
        check(&format!("cut off for {cut_ms}"), |fleet| {
            let at = fleet.counter_of(0);
            fleet.sidecars[at].cut_until = fleet.now + cut_ms;
        });
    }
}

/// Guards against amounts that are granted to requests which no longer wait for them.
#[test]
fn slow_counter() {
    for answer_ms in [60, 500] {
        check(&format!("answers in {answer_ms} ms"), |fleet| {
            let at = fleet.counter_of(0);
            fleet.sidecars[at].slow = (fleet.now + 6_000, answer_ms);
        });
    }
}

/// Guards against a second burst when a process comes at another address and counts at once.
#[test]
fn counter_replaced() {
    check("replaced", |fleet| {
        let at = fleet.counter_of(0);
        fleet.kill(at, 1_000_000);
        let next = fleet.counter_of(0);
        fleet.kill(next, 2_000);
    });
}

/// Guards against two processes that both grant the quota until they hear each other.
#[test]
fn two_counters() {
    check("two", |fleet| {
        let at = fleet.counter_of(0);
        fleet.kill(at, 2_000);
        // Routers hear the process at once, the others a second later.
        fleet.sidecars[at].deaf_until = fleet.now + 2_900;
    });
}

/// Guards against routers that use more than a share while they hear no sidecar.
#[test]
fn routers_cut_off() {
    check("one router", |fleet| {
        fleet.routers[0].cut_until = fleet.now + 9_000
    });
    check("a quarter of the routers", |fleet| {
        for at in 0..fleet.routers.len() / 4 {
            fleet.routers[at].cut_until = fleet.now + 9_000;
        }
    });
}

/// Guards against a second burst when all processes lose power in the middle of a window.
#[test]
fn all_processes_end() {
    for away_ms in [200, 3_000] {
        check("all", |fleet| {
            for at in 0..fleet.sidecars.len() {
                fleet.kill(at, away_ms);
            }
            let limits = fleet.routers[0].limits.clone();
            for at in 0..fleet.routers.len() {
                fleet.routers[at] = Router::new(fleet.sidecars.len(), limits.clone());
            }
        });
    }
}

/// Guards against a quota that is exceeded, or hardly used, while every fifth datagram is lost.
#[test]
fn lossy_links() {
    check("lossy", |fleet| fleet.loss = 0.2);
}

/// Guards against a router that has just started and uses the quota without asking.
#[test]
fn router_added() {
    check("router added", |fleet| {
        let limits = fleet.routers[0].limits.clone();
        let router = Router::new(fleet.sidecars.len(), limits);
        fleet.routers.push(router);
    });
}

/// Splits a fleet so that `sidecars` and a quarter of the routers for each two of them are on one side.
fn split(fleet: &mut Fleet, sidecars: usize) {
    let routers = fleet.routers.len() * sidecars / fleet.sidecars.len();
    fleet.split = Some(Split {
        first: (sidecars, routers),
        until: fleet.now + 9_000,
    });
}

/// Guards against two sides of a split network that each grant the whole quota.
#[test]
fn split_network() {
    for sidecars in 1..8 {
        check(&format!("{sidecars} of 8 sidecars split off"), |fleet| {
            split(fleet, sidecars);
        });
    }
}

/// Guards against a side of a split network that is refused nearly all of its quota.
#[test]
fn both_sides_of_a_split_network_are_served() {
    for sidecars in [3, 4, 5] {
        let limit = limit(1, 36_000, 36_000);
        let mut fleet = Fleet::new(6, (45, 8), &[limit; 8]);
        let load = [(36_000.0, [(2_400, 0, 1.0)].as_slice()); 8];
        fleet.run(4_000, &load);
        split(&mut fleet, sidecars);
        let from = fleet.now;
        fleet.run(9_000, &load);
        let served: u64 = (0..8).map(|org| fleet.served(org, from)).sum();
        let part = served as f64 / (36_000 * 9 * 8) as f64;
        assert!(part >= 0.8, "{sidecars} of 8 sidecars: {part:.2} served");
    }
}

/// Guards against parts of a quota that exceed it together, whatever the sides are.
#[test]
fn parts_of_all_sides_are_one_quota() {
    for registered in 1..=60 {
        for first in 0..=registered {
            for second in 0..=registered - first {
                let sides = [first, second, registered - first - second];
                let parts = sides.map(|live| granted_part(live, registered));
                let sum: f64 = parts.iter().sum();
                assert!(sum <= 1.02, "{sides:?}: {sum}");
            }
        }
    }
}

/// Guards against quotas that are hardly granted any more because most of few processes have ended, and
/// against a larger fleet that counts a quarter of dark engines as a split.
#[test]
fn few_processes_that_are_left_grant_their_part() {
    assert!(granted_part(1, 3) >= 0.33, "{}", granted_part(1, 3));
    assert!(granted_part(1, 2) >= 0.5, "{}", granted_part(1, 2));
    for registered in [46_usize, 50, 58, 780] {
        let live = registered - registered.div_ceil(4);
        assert_eq!(
            granted_part(live, registered),
            1.0,
            "{live} of {registered}"
        );
    }
}

//! Selection of the routers that read the platform's tables, and expiry of hints for the others.

#[allow(dead_code)]
mod common;

use std::net::IpAddr;
use std::net::Ipv4Addr;

use common::data_centre;
use common::router;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_fleet::is_reader;
use dw_fleet::Aggregate;
use dw_fleet::HintTiming;
use dw_fleet::HintedCalls;
use dw_fleet::TableHints;
use dw_fleet::HINT_CHECK_INTERVAL_MS;
use dw_wire::TableProgress;

const MAX_AGE_MS: DurationMs = DurationMs(7_000);

fn progress(config: u64, registrations: u64, age_ms: u64) -> TableProgress {
    TableProgress {
        config_version: ConfigVersion(config),
        registrations,
        age_ms: DurationMs(age_ms),
    }
}

/// Guards against table calls that grow with the number of routers, and against a data centre in
/// which no router reads the tables: of any number of routers one or two do, and so does a router
/// that the relay does not list.
#[test]
fn few_routers_of_a_data_centre_read_the_tables() {
    for count in 1..40 {
        let mut aggregate = Aggregate::default();
        for number in 0..count {
            let (from, state) = router(number, 1, &[]);
            aggregate.update_router(from, state, TimeMs(1));
        }
        let loads = aggregate.loads(&mut None);
        let routers = (0..count).map(|number| router(number, 1, &[]).1.router);
        let readers = routers.filter(|router| is_reader(router, &loads)).count();
        assert_eq!(readers, usize::from(count.min(2)));
        let other = router(200, 1, &[]).1.router;
        assert!(is_reader(&other, &loads), "a router that is not listed");
    }
}

const RELAY: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));

/// Adds what a relay of the first data centre announces.
fn update(hints: &mut TableHints, announced: TableProgress, now: u64) -> bool {
    hints.update((RELAY, &data_centre(0)), announced, TimeMs(now))
}

/// Guards against a version that goes back on a later announcement from a router that has read less.
#[test]
fn positions_only_grow() {
    let mut hints = TableHints::default();
    assert!(update(&mut hints, progress(5, 9, 100), 0));
    assert!(!update(&mut hints, progress(4, 7, 50), 100));
    assert!(update(&mut hints, progress(6, 7, 2_000), 200));
    let fresh = hints.fresh(MAX_AGE_MS, TimeMs(300));
    let fresh = fresh.expect("the tables were read recently");
    assert_eq!(
        (fresh.config_version, fresh.registrations),
        (ConfigVersion(6), 9)
    );
}

/// Guards against a final refusal of a key or route that other routers know: a router that has not
/// read the latest configuration is behind until it has read it or the announcement expires.
#[test]
fn router_knows_that_its_configuration_is_behind() {
    let mut hints = TableHints::default();
    assert!(
        !hints.is_behind(ConfigVersion(3), TimeMs(0)),
        "nothing was announced"
    );
    update(&mut hints, progress(5, 9, 100), 0);
    assert!(hints.is_behind(ConfigVersion(3), TimeMs(100)));
    assert!(!hints.is_behind(ConfigVersion(5), TimeMs(100)));
    assert!(
        !hints.is_behind(ConfigVersion(3), TimeMs(5_000)),
        "the announcement has expired"
    );
}

/// Guards against a router that relies on others while no announcement arrives, or while the tables
/// respond to none of them.
#[test]
fn hints_end_with_silence_and_with_old_answers() {
    let mut hints = TableHints::default();
    assert_eq!(hints.fresh(MAX_AGE_MS, TimeMs(0)), None);
    update(&mut hints, progress(5, 9, 0), 0);
    assert!(hints.fresh(MAX_AGE_MS, TimeMs(1_000)).is_some());
    assert_eq!(
        hints.fresh(MAX_AGE_MS, TimeMs(2_000)),
        None,
        "the announcement has expired"
    );
    // Announcements still arrive, but the tables have responded to no router since the first one.
    for now in (0..10_000).step_by(200) {
        update(&mut hints, progress(5, 9, now), now);
        let fresh = hints.fresh(MAX_AGE_MS, TimeMs(now)).is_some();
        assert_eq!(fresh, now < MAX_AGE_MS.0, "after {now} ms");
    }
}

/// Guards against readers that find out late that the table no longer reaches them, and whose earlier
/// announcements are believed; and against a relay that no longer hears the readers and hides one that does.
#[test]
fn last_announcement_of_each_relay_counts() {
    let mut hints = TableHints::default();
    update(&mut hints, progress(5, 9, 0), 10_000);
    update(&mut hints, progress(5, 9, 8_000), 10_100);
    assert_eq!(hints.fresh(MAX_AGE_MS, TimeMs(10_100)), None);
    let other = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));
    let source = (other, &data_centre(0));
    hints.update(source, progress(5, 9, 0), TimeMs(10_200));
    update(&mut hints, progress(5, 9, 8_200), 10_300);
    assert!(hints.fresh(MAX_AGE_MS, TimeMs(10_300)).is_some());
}

/// Times within which a configuration and a leaving upstream must take effect, of deployments and of the
/// target.
const BOUNDS_MS: [u64; 5] = [1_000, 2_000, 3_000, 4_000, 13_000];

/// Guards against routers that notice too late that the readers have ended: a change that comes right after
/// their last evidence must be read within the bound, by any router, whatever they announced before.
#[test]
fn loss_of_the_readers_is_noticed_within_the_bounds() {
    for bound_ms in BOUNDS_MS {
        for number in 0..20 {
            let router = router(number, 1, &[]).1.router;
            let timing = HintTiming {
                bound_ms: DurationMs(bound_ms),
                pause_ms: DurationMs(bound_ms / 20),
                silence_ms: DurationMs(2_000),
            };
            let Some(max_age_ms) = timing.max_age_ms(&router) else {
                assert!(bound_ms < 3_000, "it need not read at {bound_ms} ms");
                continue;
            };
            let mut hints = TableHints::default();
            update(&mut hints, progress(5, 9, 0), 0);
            let mut now = 0;
            while hints.fresh(max_age_ms, TimeMs(now)).is_some() {
                now += HINT_CHECK_INTERVAL_MS.0;
            }
            let read_at = now + timing.pause_ms.0 + 100;
            assert!(read_at <= bound_ms, "{read_at} of {bound_ms} ms");
            // A reader in calm waits 500 ms and its relay as long.
            assert!(
                max_age_ms >= DurationMs(1_140),
                "{max_age_ms} of {bound_ms} ms"
            );
        }
    }
}

/// Guards against a store that refuses calls since all routers begin to read at once, two tables each.
#[test]
fn routers_that_lose_their_readers_do_not_call_at_once() {
    const MOST_CALLS_PER_S: usize = 2_000;
    const TABLES: usize = 2;
    for bound_ms in [4_000, 13_000] {
        let timing = HintTiming {
            bound_ms: DurationMs(bound_ms),
            pause_ms: DurationMs(bound_ms / 20),
            silence_ms: DurationMs(2_000),
        };
        let ages = (0..340).map(|number| {
            let router = format!("router-{number}").parse().expect("name is valid");
            timing.max_age_ms(&router).expect("the bound is long").0
        });
        let ages: Vec<u64> = ages.collect();
        let calls = |from: u64| {
            let is_within = |age: &&u64| (from..from + 100).contains(*age);
            TABLES * ages.iter().filter(is_within).count()
        };
        let most = (0..bound_ms).step_by(20).map(calls).max();
        let most = most.unwrap_or_default();
        assert!(most <= MOST_CALLS_PER_S / 10, "{most} calls in 100 ms");
    }
}

/// Guards against calls without a pause for a position that others announce and no call satisfies, against
/// pauses that outlast the bound of a change (2 s and more), and against a pause before the first call for a
/// later position. 340 routers with two tables stay below 2,000 calls a second.
#[test]
fn unsatisfied_announcement_is_called_for_without_a_pause() {
    const ROUTERS: usize = 340;
    const TABLES: usize = 2;
    const STORE_CALLS_PER_S: usize = 2_000;
    let mut calls = HintedCalls::default();
    let made = (0..60_000).filter(|ms| calls.may_call(15, TimeMs(*ms)));
    let made: Vec<u64> = made.collect();
    let pauses: Vec<u64> = made.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses[0], 500);
    assert!(
        pauses[1..].iter().all(|pause_ms| *pause_ms == 1_000),
        "{pauses:?}"
    );
    assert!(ROUTERS * TABLES * made.len() <= STORE_CALLS_PER_S * 60);
    assert!(calls.may_call(16, TimeMs(60_000)));
    assert!(!calls.may_call(16, TimeMs(60_100)));
}

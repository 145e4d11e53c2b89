//! Selection of the routers that read the platform's tables, and expiry of hints for the others.

#[allow(dead_code)]
mod common;

use common::router;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_fleet::is_reader;
use dw_fleet::Aggregate;
use dw_fleet::HintedCalls;
use dw_fleet::TableHints;
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

/// Guards against a version that goes back on a later announcement from a router that has read less.
#[test]
fn positions_only_grow() {
    let mut hints = TableHints::default();
    assert!(hints.update(progress(5, 9, 100), TimeMs(0)));
    assert!(!hints.update(progress(4, 7, 50), TimeMs(100)));
    assert!(hints.update(progress(6, 7, 2_000), TimeMs(200)));
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
    hints.update(progress(5, 9, 100), TimeMs(0));
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
    hints.update(progress(5, 9, 0), TimeMs(0));
    assert!(hints.fresh(MAX_AGE_MS, TimeMs(1_000)).is_some());
    assert_eq!(
        hints.fresh(MAX_AGE_MS, TimeMs(2_000)),
        None,
        "the announcement has expired"
    );
    // Announcements still arrive, but the tables have responded to no router since the first one.
    for now in (0..10_000).step_by(200) {
        hints.update(progress(5, 9, now), TimeMs(now));
        let fresh = hints.fresh(MAX_AGE_MS, TimeMs(now)).is_some();
        assert_eq!(fresh, now < MAX_AGE_MS.0, "after {now} ms");
    }
}

/// Guards against calls without a pause for a position that others announce and no call satisfies, and
/// against a pause before the first call for a later one.
#[test]
fn unsatisfied_announcement_is_called_for_without_a_pause() {
    let mut calls = HintedCalls::default();
    let made = (0..60_000).filter(|ms| calls.may_call(15, TimeMs(*ms)));
    assert!((8..=12).contains(&made.count()));
    assert!(calls.may_call(16, TimeMs(60_000)));
    assert!(!calls.may_call(16, TimeMs(60_100)));
}

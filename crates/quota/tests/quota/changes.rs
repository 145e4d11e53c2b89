//! Changes of the configuration under several times the quota.

use dw_base::QuotaLimit;

use crate::data::limit;
use crate::fleet::allowed;
use crate::fleet::Fleet;
use crate::fleet::RequestKind;
use crate::fleet::WINDOW_MS;

const SHORT: [RequestKind; 2] = [(2_400, 0, 0.5), (12_000, 1, 0.5)];

/// Time within which all routers know a configuration.
const CONFIG_MS: u64 = 3_000;

/// Lets the routers take up a quota one after the other; the last one does so at the end of the bound.
fn change(fleet: &mut Fleet, to: QuotaLimit, load: &[(f64, &[RequestKind])]) {
    let routers = fleet.routers.len();
    for part in 0..6 {
        for at in (0..routers).filter(|at| at * 6 / routers == part) {
            fleet.routers[at].limits[0] = to;
        }
        fleet.run(CONFIG_MS / 6, load);
    }
}

/// Guards against a quota that is not in force a window after the configuration, as a debt, a burst or a
/// router without it, and against one that refuses what it allows.
#[test]
fn lowered_quota_is_in_force_after_a_window() {
    for routers in [25, 45, 340] {
        let (high, low) = (limit(1, 709_743, 709_743), limit(2, 36_000, 36_000));
        let mut fleet = Fleet::new(5, (routers, 8), &[high]);
        let load = [(1_000_000.0, SHORT.as_slice())];
        fleet.run(10_000, &load);
        change(&mut fleet, low, &load);
        let in_force = fleet.now;
        fleet.run(20_000, &load);
        let most = fleet.most_in_window(0, in_force);
        assert!(most <= allowed(low), "{routers} routers: {most}");
        let served = fleet.served(0, in_force + WINDOW_MS);
        assert!(
            served >= 36_000 * 12 * 9 / 10,
            "{routers} routers: {served} served"
        );
    }
}

/// Guards against denials that outlast a raise.
#[test]
fn raised_quota_is_served_at_once() {
    for routers in [25, 340] {
        let (low, high) = (limit(1, 36_000, 36_000), limit(2, 709_743, 709_743));
        let mut fleet = Fleet::new(6, (routers, 8), &[low]);
        let load = [(709_743.0, SHORT.as_slice())];
        fleet.run(10_000, &load);
        change(&mut fleet, high, &load);
        let from = fleet.now;
        fleet.run(3_000, &load);
        let served = fleet.served(0, from) as f64 / (709_743.0 * 3.0);
        assert!(served >= 0.85, "{routers} routers: {served:.2} served");
    }
}

/// Guards against a quota that stays at a value which no configuration holds after the store has come back
/// from a copy.
#[test]
fn restored_quota_is_in_force() {
    let (lost, restored) = (limit(9, 709_743, 709_743), limit(3, 36_000, 36_000));
    let mut fleet = Fleet::new(7, (25, 8), &[lost]);
    let load = [(1_000_000.0, SHORT.as_slice())];
    fleet.run(5_000, &load);
    change(&mut fleet, restored, &load);
    fleet.run(6_000, &load);
    let from = fleet.now;
    fleet.run(16_000, &load);
    assert!(fleet.most_in_window(0, from) <= allowed(restored));
}

/// Guards against an organisation that is added, renamed, or gets its quota back, and is refused, or has a
/// second burst under the same name.
#[test]
fn organisation_is_added_and_its_quota_is_removed() {
    let quota = limit(1, 36_000, 36_000);
    let mut fleet = Fleet::new(8, (45, 8), &[quota; 2]);
    let only = |org: usize| {
        let mut load = [(0.0, SHORT.as_slice()); 2];
        load[org].0 = 108_000.0;
        load
    };
    fleet.run(5_000, &only(0));
    // The other name: a request is granted at once.
    let from = fleet.now;
    fleet.run(4_000, &only(1));
    assert!(fleet.served(1, from) >= 36_000 * 4);
    // No router asks while there is no quota.
    fleet.run(2_000, &[]);
    fleet.run(10_000, &only(0));
    for org in 0..2 {
        assert!(fleet.most_in_window(org, 0) <= allowed(quota));
    }
}

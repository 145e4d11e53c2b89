//! Selection of relays while some of them do not respond.

#[allow(dead_code)]
mod common;

use common::data_centre;
use common::engine;
use common::roster;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_fleet::Members;
use dw_fleet::Relays;
use dw_fleet::SendPacing;
use dw_wire::Roster;
use dw_wire::RosterEntry;
use proptest::prelude::*;

/// Guards against processes of one data centre that select different relays, and against relays in
/// other data centres while there are local ones.
#[test]
fn relays_are_near_and_the_same_for_all() {
    let mut members = Members::default();
    assert!(members.update(roster(5, 3, 4)));
    let order = members.relay_order(&data_centre(1));
    assert_eq!(order.len(), 4);
    assert!((0..4).all(|number| order.contains(&engine(1, number))));
    let used = Relays::default().select(&order, TimeMs(0));
    assert_eq!(used, order[..2]);
    // A data centre without engines uses those of the others.
    assert_eq!(members.relay_order(&data_centre(9)).len(), 12);
}

/// Guards against a failed relay that stays in use for seconds, against a responsive relay that is
/// dropped, and against a relay that is never tried again.
#[test]
fn silent_relay_is_replaced_and_tried_again() {
    let mut members = Members::default();
    members.update(roster(5, 1, 5));
    let order = members.relay_order(&data_centre(0));
    let mut relays = Relays::default();
    let mut replaced = None;
    for now in (0..12_000).step_by(100) {
        let now = TimeMs(now);
        let used = relays.select(&order, now);
        for relay in &used {
            relays.record_sent(*relay, now);
            // The first relay has failed; the others respond.
            if *relay != order[0] {
                relays.record_received(relay.ip());
            }
        }
        assert!(used.contains(&order[1]));
        if !used.contains(&order[0]) {
            replaced.get_or_insert(now);
            assert_eq!(used, order[1..3]);
        }
    }
    let replaced = replaced.expect("the failed relay is replaced");
    assert!(replaced <= TimeMs(1_500), "{replaced}");
    // The relay recovers and is used again.
    let mut now = TimeMs(20_000);
    for _ in 0..80 {
        now = now + DurationMs(100);
        for relay in relays.select(&order, now) {
            relays.record_sent(relay, now);
            relays.record_received(relay.ip());
        }
    }
    assert_eq!(relays.select(&order, now), order[..2]);
}

/// Guards against an earlier roster that replaces a later one.
#[test]
fn roster_never_goes_back() {
    let mut members = Members::default();
    assert!(members.update(roster(5, 2, 3)));
    assert!(!members.update(roster(4, 1, 1)));
    assert!(
        !members.update(roster(6, 2, 3)),
        "a roster with the same engines is no change"
    );
    assert!(members.update(roster(7, 2, 2)));
    assert_eq!(members.service_peers(engine(0, 0)).len(), 3);
}

/// Guards against control traffic that grows with the fleet: the pause grows with the length of a
/// datagram and the number of receivers, up to a bound, because older loads are of no use.
#[test]
fn bytes_of_a_relay_are_bounded() {
    let pacing = SendPacing {
        min_pause_ms: DurationMs(60),
        max_pause_ms: DurationMs(500),
        bytes_per_s: 40_000,
    };
    for (bytes, receivers) in [(200, 2), (1_200, 8), (1_500, 12)] {
        let pause_ms = pacing.pause_ms(bytes, receivers);
        assert!((60..=500).contains(&pause_ms.0));
        let bytes_per_s = (bytes * receivers) as u64 * 1_000 / pause_ms.0;
        assert!(bytes_per_s <= 40_500, "{bytes_per_s}");
    }
    assert_eq!(pacing.pause_ms(100_000, 100), DurationMs(500));
}

proptest! {
    /// Guards against a panic on a damaged roster or one from another release.
    #[test]
    fn odd_rosters_are_harmless(
        entries in prop::collection::vec((0u8..9, 0u8..9, 0u8..9), 0..20),
        names in 0u8..4,
    ) {
        let engines = entries.iter().map(|(dc, number, service)| RosterEntry {
            engine: engine(*dc, *number),
            data_centre: *dc,
            service: *service,
        });
        let invalid_roster = Roster {
            version: 1,
            data_centres: (0..names).map(data_centre).collect(),
            services: Vec::new(),
            engines: engines.collect(),
        };
        let mut members = Members::default();
        members.update(invalid_roster);
        for (dc, number, _) in entries {
            members.service_peers(engine(dc, number));
            members.relay_order(&data_centre(dc));
            members.data_centre_of(engine(dc, number).ip());
        }
    }
}

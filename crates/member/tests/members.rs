//! Membership under any order of events.

use std::collections::BTreeSet;

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_member::Event;
use dw_member::Members;
use dw_member::State;
use proptest::prelude::*;

fn node() -> NodeId {
    "vm-1".parse().expect("id is valid")
}

fn event(kind: u8, number: u64) -> Event {
    let incarnation = Incarnation(number);
    match kind {
        0 => Event::Listed(BTreeSet::from([node()])),
        1 => Event::Answered {
            node: node(),
            incarnation,
        },
        _ => Event::Failed { node: node() },
    }
}

proptest! {
    /// Guards against new work for a node that announced that it is leaving, after any list, late
    /// answer or failure, and against a restarted node that gets no work.
    #[test]
    fn leaving_is_final_for_the_incarnation(
        events in prop::collection::vec((0u8..3, 1u64..=5), 0..40),
    ) {
        let mut members = Members::default();
        let mut now = TimeMs(1_000);
        let incarnation = Incarnation(5);
        members.apply(&Event::Leaving { node: node(), incarnation }, now);
        for (kind, number) in events {
            now = now + DurationMs(100);
            members.apply(&event(kind, number), now);
            prop_assert_eq!(members.live().count(), 0);
            prop_assert!(!members.probe(&node(), now));
        }
        members.apply(&event(1, 6), now);
        prop_assert_eq!(members.state(&node()), Some(State::Live));
    }

    /// Guards against live nodes that are removed while the list is unavailable or lags.
    #[test]
    fn live_node_outlives_a_lagging_list(steps in 1u64..100) {
        let mut members = Members::default();
        members.apply(&event(1, 1), TimeMs(0));
        prop_assert_eq!(members.live().count(), 1);
        for step in 1..=steps {
            let now = TimeMs(step * 1_000);
            members.apply(&event(1, 1), now);
            members.apply(&Event::Listed(BTreeSet::new()), now + DurationMs(500));
            prop_assert_eq!(members.live().count(), 1);
        }
    }
}

/// Guards against too many probes of a failed node.
#[test]
fn probes_back_off() {
    let mut members = Members::default();
    members.apply(&event(0, 0), TimeMs(0));
    members.apply(&event(2, 0), TimeMs(0));
    assert_eq!(members.live().count(), 0);
    let due: Vec<u64> = (0..8_000)
        .filter(|t| members.probe(&node(), TimeMs(*t)))
        .collect();
    assert_eq!(due, [100, 300, 700, 1_500, 3_100, 5_100, 7_100]);
}

//! Tests of orders and of leases for weight loads.

use dw_base::AdapterId;
use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_order::claim;
use dw_order::decide;
use dw_order::Claim;
use dw_order::Desired;
use dw_order::Fence;
use dw_order::HeldLease;
use dw_order::Lease;
use dw_order::LeaseTable;
use dw_order::Observed;
use dw_order::Order;
use dw_order::Step;
use dw_order::View;
use dw_order::LEASE_MS;
use proptest::prelude::*;

fn node(index: usize) -> NodeId {
    format!("agent-{index}").parse().expect("valid id")
}

fn view(desired: u64, observed: u64) -> View {
    View {
        desired: Some(Desired {
            model: "m".parse().expect("valid id"),
            weights: WeightsVersion(desired),
            adapters: Vec::new(),
            serving: true,
        }),
        observed: Some(Observed {
            model: "m".to_owned(),
            weights: WeightsVersion(observed),
            loading: false,
            serving: true,
            adapters: Vec::new(),
        }),
        fence: Some(FenceNumber(3)),
        lease: None,
        running: 0,
    }
}

fn held(written: u64) -> Option<HeldLease> {
    Some(HeldLease {
        slot: 0,
        version: 1,
        written: TimeMs(written),
    })
}

/// Guards against an order without a fencing number or a lease, and against one that interrupts
/// running requests.
#[test]
fn order_needs_fence_lease_and_drained_engine() {
    let now = TimeMs(100);
    let mut view = view(2, 1);
    view.fence = None;
    assert_eq!(decide(&view, now), Step::RaiseFence);
    view.fence = Some(FenceNumber(3));
    assert_eq!(decide(&view, now), Step::TakeLease);
    view.lease = held(100);
    view.running = 1;
    assert_eq!(decide(&view, now), Step::Drain);
    view.running = 0;
    let order = Order::Load(view.desired.clone().expect("set"));
    let fence = FenceNumber(3);
    assert_eq!(decide(&view, now), Step::Send { fence, order });
}

/// Guards against an order from a process that was paused until its lease had expired.
#[test]
fn paused_holder_writes_lease_again() {
    let mut view = view(2, 1);
    view.lease = held(100);
    assert_eq!(decide(&view, TimeMs(100_000)), Step::TakeLease);
}

/// Guards against serving while the state of the engine is unknown or the engine is loading.
#[test]
fn nothing_is_served_unread_or_loading() {
    let mut view = view(2, 1);
    view.observed = None;
    assert_eq!(decide(&view, TimeMs(0)), Step::Wait);
    view.observed = Some(Observed {
        model: "m".to_owned(),
        weights: WeightsVersion(1),
        loading: true,
        serving: true,
        adapters: Vec::new(),
    });
    assert_eq!(decide(&view, TimeMs(0)), Step::Wait);
    view.lease = held(0);
    assert_eq!(decide(&view, TimeMs(5_000)), Step::TakeLease);
}

/// Guards against a lease that is still held after the load, which would block other engines.
#[test]
fn lease_is_given_back() {
    let mut view = view(2, 2);
    view.lease = held(0);
    let lease = view.lease.expect("set");
    assert_eq!(decide(&view, TimeMs(0)), Step::GiveBackLease(lease));
    view.lease = None;
    assert_eq!(decide(&view, TimeMs(0)), Step::Serve);
}

/// Guards against an engine that keeps the standby role although it has the desired weights.
#[test]
fn standby_engine_is_told_to_serve() {
    let mut view = view(2, 2);
    if let Some(observed) = &mut view.observed {
        observed.serving = false;
    }
    assert!(matches!(
        decide(&view, TimeMs(0)),
        Step::Send {
            order: Order::Serve,
            ..
        }
    ));
}

/// Guards against a drained engine that keeps the serving role, and against a change of the role
/// that interrupts running requests.
#[test]
fn drained_engine_is_put_on_standby() {
    let mut view = view(2, 2);
    if let Some(desired) = &mut view.desired {
        desired.serving = false;
    }
    view.running = 1;
    assert_eq!(decide(&view, TimeMs(0)), Step::Serve);
    view.running = 0;
    let fence = FenceNumber(3);
    let order = Order::Standby;
    assert_eq!(decide(&view, TimeMs(0)), Step::Send { fence, order });
}

/// Guards against an adapter that is not loaded, is loaded only after the running requests are
/// finished, or is loaded before the weights it belongs to.
#[test]
fn missing_adapter_is_loaded() {
    let mut view = view(2, 1);
    let adapter: AdapterId = "rain".parse().expect("valid id");
    if let Some(desired) = &mut view.desired {
        desired.adapters = vec![adapter.clone()];
    }
    view.running = 1;
    assert_eq!(decide(&view, TimeMs(0)), Step::TakeLease, "weights first");
    if let Some(observed) = &mut view.observed {
        observed.weights = WeightsVersion(2);
    }
    view.lease = held(0);
    let lease = view.lease.expect("set");
    assert_eq!(decide(&view, TimeMs(0)), Step::GiveBackLease(lease));
    view.lease = None;
    let fence = FenceNumber(3);
    let order = Order::LoadAdapter(adapter.clone());
    assert_eq!(decide(&view, TimeMs(0)), Step::Send { fence, order });
    if let Some(observed) = &mut view.observed {
        observed.adapters = vec![adapter.to_string()];
    }
    assert_eq!(decide(&view, TimeMs(0)), Step::Serve);
}

/// Guards against a fencing number that the engine rejects, and against an earlier incarnation of
/// the agent that raises the number above that of its successor.
#[test]
fn fence_is_claimed_from_the_table() {
    let fence = |number, agent, incarnation| Fence {
        fence: FenceNumber(number),
        agent: node(agent),
        incarnation: Incarnation(incarnation),
    };
    let claim = |stored: Option<Fence>, seen| {
        claim(stored.as_ref(), &node(1), Incarnation(5), FenceNumber(seen))
    };
    assert_eq!(claim(None, 0), Claim::Raise(fence(1, 1, 5)));
    assert_eq!(claim(Some(fence(7, 2, 9)), 0), Claim::Raise(fence(8, 1, 5)));
    assert_eq!(
        claim(Some(fence(7, 1, 4)), 9),
        Claim::Raise(fence(10, 1, 5))
    );
    assert_eq!(claim(Some(fence(7, 1, 5)), 7), Claim::Own(FenceNumber(7)));
    assert_eq!(claim(Some(fence(7, 1, 5)), 8), Claim::Raise(fence(9, 1, 5)));
    assert_eq!(claim(Some(fence(7, 1, 6)), 0), Claim::Superseded);
}

proptest! {
    /// Guards against more unexpired leases than slots, and against two holders of one slot.
    #[test]
    fn leases_bound_loads(
        steps in prop::collection::vec((0usize..6, 0u64..4_000, any::<bool>()), 1..80),
    ) {
        let mut slots = LeaseTable { leases: vec![None; 2] };
        let mut now = TimeMs(0);
        let mut version = 0;
        let mut held: [Option<(u64, TimeMs)>; 6] = [None; 6];
        for (agent, wait_ms, release) in steps {
            now = now + DurationMs(wait_ms);
            if release {
                if let Some((slot, _)) = held[agent].take() {
                    let is_own = slots.leases[slot as usize]
                        .as_ref()
                        .is_some_and(|(lease, _)| lease.holder == node(agent));
                    if is_own {
                        slots.leases[slot as usize] = None;
                    }
                }
            } else if let Some(choice) = slots.choose(&node(agent), now) {
                version += 1;
                let until = now + LEASE_MS;
                let lease = Lease { holder: node(agent), incarnation: Incarnation(1), until };
                slots.leases[choice.slot as usize] = Some((lease, version));
                held[agent] = Some((choice.slot, until));
            }
            let unexpired: Vec<u64> = held.iter().flatten().filter(|(_, until)| *until >= now)
                .map(|(slot, _)| *slot).collect();
            prop_assert!(unexpired.len() <= 2, "{} loads at once", unexpired.len());
            prop_assert!(unexpired.len() < 2 || unexpired[0] != unexpired[1]);
        }
    }
}

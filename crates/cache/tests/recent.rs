//! Tests of the list of newest chains.

use dw_base::Chain;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::Salt;
use dw_base::WeightsVersion;
use dw_base::BLOCK_BYTES;
use dw_cache::RecentChains;

const INCARNATION: Incarnation = Incarnation(1);

fn chain(text: u8, blocks: usize) -> Chain {
    let salt = Salt {
        org: "org".parse().expect("valid id"),
        model: "model".parse().expect("valid id"),
        weights: WeightsVersion(1),
    };
    Chain::new(&salt, &vec![text; BLOCK_BYTES * blocks])
}

fn node(name: &str) -> NodeId {
    name.parse().expect("valid id")
}

/// Guards against reporting a chain twice to a router, or missing one of another router.
#[test]
fn each_router_is_told_once() {
    let mut recent = RecentChains::new();
    recent.add(INCARNATION, &node("requester"), &chain(1, 3));
    assert_eq!(recent.take_unreported(&node("a")).len(), 3);
    assert_eq!(recent.take_unreported(&node("a")).len(), 0);
    recent.add(INCARNATION, &node("requester"), &chain(2, 2));
    assert_eq!(recent.take_unreported(&node("a")).len(), 2);
    assert_eq!(recent.take_unreported(&node("b")).len(), 5);
    assert_eq!(recent.take_unreported(&node("requester")).len(), 0);
}

/// Guards against reports that grow with the number of requests or the length of prompts.
#[test]
fn what_is_told_is_bounded() {
    let mut recent = RecentChains::new();
    for text in 0..200 {
        recent.add(INCARNATION, &node("requester"), &chain(text, 30));
    }
    assert_eq!(recent.take_unreported(&node("a")).len(), 4 * 24);
    for router in 0..2_000 {
        recent.take_unreported(&node(&format!("router-{router}")));
    }
    recent.add(Incarnation(2), &node("requester"), &chain(1, 1));
    assert_eq!(recent.take_unreported(&node("new")).len(), 1);
}

/// Guards against reporting a block twice because two chains share it.
#[test]
fn shared_blocks_are_told_once() {
    let mut recent = RecentChains::new();
    recent.add(INCARNATION, &node("requester"), &chain(1, 3));
    recent.add(INCARNATION, &node("requester"), &chain(1, 5));
    assert_eq!(recent.take_unreported(&node("a")).len(), 5);
}

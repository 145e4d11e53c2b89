//! Selection of the sidecar that counts, among the live ones of the registered engines.

use std::net::SocketAddr;

use dw_base::OrgId;
use dw_quota::first_counter;
use dw_quota::Engines;
use proptest::prelude::*;

use crate::data::addr;

proptest! {
    /// Guards against routers that ask another sidecar than the one that takes itself for the counter.
    #[test]
    fn router_asks_the_sidecar_that_counts(
        live in prop::collection::vec(any::<bool>(), 0..60),
        org in "[a-z]{1,12}",
    ) {
        let org: OrgId = org.parse().expect("name is valid");
        let mut engines = Engines::default();
        engines.set((0..live.len()).map(addr));
        let is_live = |asked: SocketAddr| (0..live.len()).any(|at| addr(at) == asked && live[at]);
        let counting = (0..live.len()).filter(|at| live[*at]).map(addr);
        prop_assert_eq!(engines.first_live(&org, is_live), first_counter(&org, counting));
    }
}

/// Guards against a sidecar that is asked though its engine is no longer registered.
#[test]
fn engine_that_has_left_is_not_asked() {
    let org: OrgId = "acme".parse().expect("name is valid");
    let mut engines = Engines::default();
    engines.set((0..3).map(addr));
    let first = engines
        .first_live(&org, |_| true)
        .expect("there are engines");
    let others: Vec<SocketAddr> = (0..3).map(addr).filter(|addr| *addr != first).collect();
    engines.set(others.iter().copied());
    let next = engines.first_live(&org, |_| true);
    assert!(next.is_some_and(|next| next != first));
    engines.set(std::iter::empty());
    assert_eq!(engines.first_live(&org, |_| true), None);
}

//! Tests of the account of memory held for slow callers and upstreams.

use dw_admit::Held;
use dw_admit::HeldBounds;
use dw_admit::HeldClaim;
use dw_admit::NoRoom;
use dw_base::Bytes;
use dw_base::OrgId;
use proptest::prelude::*;

/// Memory of a small gateway; its requests may hold a quarter.
const MEMORY: Bytes = Bytes(112_000_000);

const LARGE: u64 = 4_000_000;

fn org(name: &str) -> OrgId {
    name.parse().expect("name is valid")
}

fn claim(org: &OrgId, bytes: u64, priority: u8) -> HeldClaim<'_> {
    HeldClaim {
        org: Some(org),
        bytes: Bytes(bytes),
        priority,
    }
}

/// Takes claims of one size until one is refused; returns the bound that refused it.
fn fill(held: &mut Held, claim: &HeldClaim<'_>) -> NoRoom {
    loop {
        if let Err(no_room) = held.take(claim) {
            return no_room;
        }
    }
}

/// Guards against refusals in calm: many small requests and single large ones of all priorities.
#[test]
fn calm_refuses_nothing() {
    let mut held = Held::new(HeldBounds::new(MEMORY));
    for request in 0..200 {
        let org = org(&format!("org-{}", request % 16));
        let usual = claim(&org, 20_000, (request % 10) as u8);
        assert_eq!(held.take(&usual), Ok(()), "request {request}");
    }
    assert_eq!(held.take(&claim(&org("org-1"), LARGE, 9)), Ok(()));
}

/// Guards against one organisation whose large bodies leave no memory to the others.
#[test]
fn large_bodies_of_one_organisation_leave_room_for_others() {
    let mut held = Held::new(HeldBounds::new(MEMORY));
    let (hot, small) = (org("hot"), org("small"));
    let refused = fill(&mut held, &claim(&hot, LARGE, 0));
    assert_eq!(refused, NoRoom::Organisation);
    assert_eq!(held.take(&claim(&small, LARGE, 0)), Ok(()));
    held.release(Some(&hot), Bytes(LARGE));
    assert_eq!(held.take(&claim(&hot, LARGE, 0)), Ok(()), "after release");
}

/// Guards against refusing small and urgent requests before large and less urgent ones as slow readers fill
/// the memory.
#[test]
fn largest_and_least_urgent_are_refused_first() {
    let mut held = Held::new(HeldBounds::new(MEMORY));
    let orgs: Vec<OrgId> = (0..8).map(|number| org(&format!("o-{number}"))).collect();
    let mut first_refused: [Option<u64>; 3] = [None; 3];
    let kinds = [(LARGE, 0), (65_536, 9), (65_536, 0)];
    for step in 0.. {
        for (at, (bytes, priority)) in kinds.iter().enumerate() {
            let mut trial = held.clone();
            let org = &orgs[step as usize % orgs.len()];
            if trial.take(&claim(org, *bytes, *priority)).is_err() {
                first_refused[at].get_or_insert(step);
            }
        }
        let org = &orgs[step as usize % orgs.len()];
        if held.grow(&claim(org, 65_536, 0)).is_err() {
            break;
        }
    }
    let [large, less_urgent, urgent] = first_refused.map(|step| step.expect("memory is full"));
    assert!(large < less_urgent, "{first_refused:?}");
    assert!(less_urgent < urgent, "{first_refused:?}");
}

proptest! {
    /// Guards against memory beyond the bounds, and against memory that is never returned.
    #[test]
    fn bounds_hold_and_all_is_returned(
        requests in prop::collection::vec((0..4_u8, 0..LARGE, 0..12_u8, any::<bool>()), 0..200),
    ) {
        let bounds = HeldBounds::new(MEMORY);
        let mut held = Held::new(bounds);
        let mut taken: Vec<(OrgId, u64)> = Vec::new();
        for (number, bytes, priority, grows) in requests {
            let org = org(&format!("org-{number}"));
            let wanted = claim(&org, bytes, priority);
            let result = match grows {
                true => held.grow(&wanted),
                false => held.take(&wanted),
            };
            if result.is_ok() {
                taken.push((org.clone(), bytes));
            }
            let of_org = taken.iter().filter(|(owner, _)| *owner == org);
            prop_assert!(of_org.map(|(_, bytes)| bytes).sum::<u64>() <= bounds.organisation.0);
            prop_assert!(held.total() <= bounds.process);
        }
        for (org, bytes) in taken {
            held.release(Some(&org), Bytes(bytes));
        }
        prop_assert_eq!(held.total(), Bytes(0));
    }
}

//! Which sidecars pass the calls of a router to the platform's tables on.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::NodeId;
use dw_fleet::Members;
use dw_wire::Roster;
use dw_wire::RosterEntry;

const ENGINES: u16 = 780;

const ROUTERS: usize = 340;

const DATA_CENTRES: u8 = 5;

fn data_centre(number: u8) -> DataCentreId {
    format!("dc-{number}").parse().expect("name is valid")
}

fn members() -> Members {
    let engines = (0..ENGINES).map(|number| {
        let ip = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8);
        RosterEntry {
            engine: SocketAddr::from((ip, 80)),
            data_centre: (number % u16::from(DATA_CENTRES)) as u8,
            service: 0,
        }
    });
    let mut members = Members::default();
    members.replace(Roster {
        version: 1,
        data_centres: (0..DATA_CENTRES).map(data_centre).collect(),
        services: vec!["llm".parse().expect("name is valid")],
        engines: engines.collect(),
    });
    members
}

/// Guards against routers that all ask the same sidecar, which would pay for a large part of the fleet, and against calls
/// that leave the data centre while a sidecar of it is there.
#[test]
fn routers_spread_over_the_sidecars_of_their_data_centre() {
    let members = members();
    let mut asked: HashMap<SocketAddr, usize> = HashMap::new();
    for router in 0..ROUTERS {
        let node: NodeId = format!("router-{router}").parse().expect("name is valid");
        let own = data_centre((router % usize::from(DATA_CENTRES)) as u8);
        let order = members.proxy_order(&node, &own);
        assert_eq!(order.len(), usize::from(ENGINES));
        let local: Vec<SocketAddr> = members.engines_in(&own).collect();
        assert!(order[..local.len()]
            .iter()
            .all(|engine| local.contains(engine)));
        *asked.entry(order[0]).or_default() += 1;
    }
    // 68 routers over 156 sidecars of each data centre: five at one sidecar have a chance below 1 in 1,000.
    let most = asked.values().max().copied().unwrap_or_default();
    assert!(most <= 5, "{most} routers prefer one sidecar");
}

//! Test data for a fleet.

use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_wire::EngineState;
use dw_wire::Phase;
use dw_wire::Roster;
use dw_wire::RosterEntry;
use dw_wire::RouterState;

pub(crate) fn engine(data_centre: u8, number: u8) -> SocketAddr {
    SocketAddr::from(([10, data_centre, 0, number], 8080))
}

pub(crate) fn data_centre(number: u8) -> DataCentreId {
    format!("dc-{number}").parse().expect("name is valid")
}

/// Returns a roster with `engines` engines in each data centre.
pub(crate) fn roster(version: u64, data_centres: u8, engines: u8) -> Roster {
    let all = (0..data_centres).flat_map(|dc| {
        (0..engines).map(move |number| RosterEntry {
            engine: engine(dc, number),
            data_centre: dc,
            service: 0,
        })
    });
    Roster {
        version,
        data_centres: (0..data_centres).map(data_centre).collect(),
        services: vec!["s".parse().expect("name is valid")],
        engines: all.collect(),
    }
}

pub(crate) fn state(engine: SocketAddr, stamp: u64, phase: Phase, weights: u64) -> EngineState {
    EngineState {
        engine,
        stamp: TimeMs(stamp),
        phase,
        started_ms: 1,
        models: vec![("m".parse().expect("name is valid"), WeightsVersion(weights))],
        waiting: 0,
        running: 0,
    }
}

pub(crate) fn router(
    number: u8,
    stamp: u64,
    outstanding: &[(SocketAddr, u64)],
) -> (SocketAddr, RouterState) {
    let from = SocketAddr::from(([10, 0, 1, number], 7340));
    let outstanding = outstanding.iter().map(|(addr, n)| (*addr, Tokens(*n)));
    let state = RouterState {
        router: format!("router-{number}").parse().expect("name is valid"),
        stamp: TimeMs(stamp),
        subscribed: number.is_multiple_of(2),
        outstanding: outstanding.collect(),
        speeds: Vec::new(),
        weights: Vec::new(),
        tables: None,
    };
    (from, state)
}

//! Datagrams from routers, relays and other sidecars.

use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_wire::forward_datagram;
use dw_wire::receive_datagrams;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::Roster;
use dw_wire::TableProgress;
use dw_wire::WeightsUpdate;

use crate::own_state::OwnState;
use crate::relay::Relay;
use crate::relay_teller::RelayTeller;
use crate::sidecar::Shared;

/// Shortest time between two rounds, in which changes are collected.
const SHORTEST_MS: DurationMs = DurationMs(20);

/// Tells the relays of the engine, and as a relay tells others, until the task is aborted.
pub(crate) async fn tell_others(shared: Rc<Shared>) {
    let mut own = OwnState::default();
    let mut relay = RelayTeller::default();
    loop {
        let now = shared.clock.now();
        let own_due = own.tell(&shared, now).await;
        let relay_due = relay.tell(&shared, now).await;
        tokio::time::sleep(SHORTEST_MS.into()).await;
        let pause_ms = own_due.min(relay_due).since(shared.clock.now());
        // Nothing has to be told before the next round is due.
        let _ = tokio::time::timeout(pause_ms.into(), shared.changed.notified()).await;
    }
}

/// Hears others until the task is aborted.
pub(crate) async fn hear_others(shared: Rc<Shared>) {
    receive_datagrams(&shared.socket, |from, datagram, bytes| {
        let now = shared.clock.now();
        shared.relays.borrow_mut().record_received(from.ip());
        match datagram {
            Datagram::Router(state) => {
                take_news(&shared, &state.weights, now, "router");
                if let Some(tables) = state.tables {
                    shared.hints.borrow_mut().update(tables, now);
                }
                let mut relay = shared.relay.borrow_mut();
                relay.used(now);
                let before = positions(&relay, now);
                let is_first = relay.aggregate.update_router(from, state, now);
                if is_first || positions(&relay, now) != before {
                    shared.changed.notify_one();
                }
            }
            Datagram::Engine(state) => hear_engine(&shared, state, now),
            Datagram::Cached(states) => {
                let is_own = is_own_data_centre(&shared, from);
                let mut relay = shared.relay.borrow_mut();
                if is_own {
                    for state in states {
                        relay.aggregate.update_cached(state);
                    }
                } else if is_preferred(&shared, &relay.pass_on, from) {
                    forward_datagram(&shared.socket, &relay.aggregate.subscribers(), bytes);
                }
            }
            Datagram::DataCentre(state) => {
                hear_data_centre(&shared, from, state, bytes);
            }
            Datagram::Roster(roster) => hear_roster(&shared, roster),
            Datagram::Kv(_) => {}
        }
    })
    .await;
}

/// Returns the positions up to which the platform's tables have changed.
fn positions(relay: &Relay, now: TimeMs) -> Option<(ConfigVersion, u64)> {
    relay
        .aggregate
        .tables(now)
        .as_ref()
        .map(TableProgress::positions)
}

fn hear_engine(shared: &Shared, state: EngineState, now: TimeMs) {
    let mut relay = shared.relay.borrow_mut();
    relay.used(now);
    if relay.aggregate.update_engine(state.clone(), now) {
        shared.changed.notify_one();
    }
    shared.state.borrow_mut().view.update_engine(state, now);
}

fn hear_roster(shared: &Shared, roster: Roster) {
    let mut state = shared.state.borrow_mut();
    let version = roster.version;
    let engines = roster.engines.len();
    if state.members.update(roster) {
        log::info!(version, engines; "engines of the fleet are told");
        let known = state.members.engines();
        state.view.retain(|engine| known.contains(engine));
        shared.changed.notify_one();
    }
}

/// Takes in the state of a data centre, and passes it on if it comes from a relay of another one.
fn hear_data_centre(shared: &Shared, from: SocketAddr, told: DataCentreState, bytes: &[u8]) {
    let now = shared.clock.now();
    take_news(shared, &told.weights, now, "relay");
    if let Some(tables) = told.tables {
        shared.hints.borrow_mut().update(tables, now);
    }
    let is_relayed = is_own_data_centre(shared, from);
    if !is_relayed && told.data_centre != shared.data_centre {
        let mut relay = shared.relay.borrow_mut();
        relay.called(from, now);
        let receivers = relay.pass_on.decide(from, &told, now);
        if receivers.routers {
            forward_datagram(&shared.socket, &relay.aggregate.subscribers(), bytes);
        }
        if receivers.sidecars {
            forward_datagram(&shared.socket, &shared.near_sidecars(), bytes);
        }
    }
    let mut state = shared.state.borrow_mut();
    for engine in told.engines {
        state.view.update_engine(engine, now);
    }
}

fn is_own_data_centre(shared: &Shared, from: SocketAddr) -> bool {
    let state = shared.state.borrow();
    state.members.data_centre_of(from.ip()) == Some(&shared.data_centre)
}

fn is_preferred(shared: &Shared, pass_on: &dw_fleet::ForwardingPolicy, from: SocketAddr) -> bool {
    let state = shared.state.borrow();
    let data_centre = state.members.data_centre_of(from.ip());
    data_centre.is_some_and(|data_centre| pass_on.is_preferred(from, data_centre))
}

fn take_news(shared: &Shared, news: &[WeightsUpdate], now: TimeMs, source: &str) {
    for news in news {
        let is_news = shared.state.borrow_mut().namings.update(news, now);
        if is_news {
            log::info!(
                model:% = news.model, weights:% = news.weights, fence:% = news.fence,
                age_ms = news.age_ms.0, source;
                "weights are named"
            );
            shared.changed.notify_one();
        }
    }
}

//! Exchange of state with routers, relays and other sidecars by datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::ConfigVersion;
use dw_base::TimeMs;
use dw_fleet::RELAY_ROUND_PAUSE_MS;
use dw_wire::forward_datagram;
use dw_wire::receive_datagrams;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::Roster;
use dw_wire::TableProgress;
use dw_wire::WeightsUpdate;

use crate::admission;
use crate::engine_announcer::EngineAnnouncer;
use crate::origins;
use crate::permits;
use crate::quotas;
use crate::relay::Relay;
use crate::relay_announcer::RelayAnnouncer;
use crate::sidecar::Shared;

/// Announces the engine's state to the relays, and as a relay the state of the data centre, until
/// the task is aborted.
pub(crate) async fn announce_state(shared: Rc<Shared>) {
    let mut own = EngineAnnouncer::default();
    let mut relay = RelayAnnouncer::default();
    loop {
        let now = shared.clock.now();
        shared.issuer.borrow_mut().tick(now);
        quotas::tick(&shared, now);
        shared.origins.borrow_mut().expire(now);
        let own_due = own.announce_due(&shared, now).await;
        let relay_due = relay.announce_due(&shared, now).await;
        tokio::time::sleep(RELAY_ROUND_PAUSE_MS.into()).await;
        let pause_ms = own_due.min(relay_due).since(shared.clock.now());
        // On a timeout the next round is due without a change.
        let _ = tokio::time::timeout(pause_ms.into(), shared.changed.notified()).await;
    }
}

/// Receives announcements until the task is aborted.
pub(crate) async fn receive_announcements(shared: Rc<Shared>) {
    receive_datagrams(&shared.socket, |from, datagram, bytes| {
        let now = shared.clock.now();
        shared.relays.borrow_mut().record_received(from.ip());
        match datagram {
            Datagram::Router(state) => {
                update_declarations(&shared, &state.weights, now, "router");
                let mut relay = shared.relay.borrow_mut();
                relay.record_use(now);
                let before = table_positions(&relay, now);
                let is_first = relay.aggregate.update_router(from, state, now);
                if let Some(tables) = relay.aggregate.tables(now) {
                    let mut hints = shared.hints.borrow_mut();
                    hints.update((from.ip(), &shared.data_centre), tables, now);
                }
                if is_first {
                    relay.limits.announce_all();
                }
                if is_first || table_positions(&relay, now) != before {
                    shared.changed.notify_one();
                }
            }
            Datagram::Engine(state) => handle_engine(&shared, state, now),
            Datagram::Cached(states) => {
                let is_own = is_own_data_centre(&shared, from);
                let mut relay = shared.relay.borrow_mut();
                if is_own {
                    for state in states {
                        relay.aggregate.update_cached(state);
                    }
                } else if is_preferred(&shared, &relay.forwarding, from) {
                    forward_datagram(&shared.socket, &relay.aggregate.subscribers(), bytes);
                }
            }
            Datagram::DataCentre(state) => {
                handle_data_centre(&shared, from, state, bytes);
            }
            Datagram::Roster(roster) => handle_roster(&shared, roster),
            Datagram::Suspects(reports) => {
                let mut relay = shared.relay.borrow_mut();
                if relay.suspects.merge(reports, now).has_news {
                    shared.changed.notify_one();
                }
            }
            Datagram::SuspectRequests(reports) => {
                let mut relay = shared.relay.borrow_mut();
                if relay.suspect_requests.merge(reports, now).has_news {
                    shared.changed.notify_one();
                }
            }
            Datagram::Limits(reports) => {
                let mut relay = shared.relay.borrow_mut();
                if !relay.limits.merge(&reports, now).is_empty() {
                    shared.changed.notify_one();
                }
            }
            Datagram::PermitRequest(request) => permits::answer(&shared, from, &request, now),
            Datagram::QuotaQuestion(question) => quotas::answer(&shared, from, &question, now),
            Datagram::QuotaReturn(returned) => quotas::give_back(&shared, from, &returned, now),
            Datagram::AdmissionQuestion(question) => {
                admission::answer(&shared, from, &question, now);
            }
            Datagram::AdmissionReturn(returned) => admission::give_back(&shared, &returned, now),
            Datagram::OriginRecord(record) => origins::record(&shared, record, now),
            Datagram::OriginQuery(query) => origins::answer(&shared, from, query, now),
            Datagram::QuotaHandover(accounts) => quotas::take_over(&shared, &accounts, now),
            Datagram::Kv(_)
            | Datagram::PermitAnswer(_)
            | Datagram::OriginAnswer(_)
            | Datagram::QuotaAnswer(_)
            | Datagram::AdmissionAnswer(_) => {}
        }
    })
    .await;
}

/// Returns the positions up to which the platform's tables have changed.
fn table_positions(relay: &Relay, now: TimeMs) -> Option<(ConfigVersion, u64)> {
    relay
        .aggregate
        .tables(now)
        .as_ref()
        .map(TableProgress::positions)
}

fn handle_engine(shared: &Shared, state: EngineState, now: TimeMs) {
    let mut relay = shared.relay.borrow_mut();
    relay.record_use(now);
    if relay.aggregate.update_engine(state.clone(), now) {
        shared.changed.notify_one();
    }
    shared.state.borrow_mut().view.update_engine(state, now);
}

fn handle_roster(shared: &Shared, roster: Roster) {
    let mut state = shared.state.borrow_mut();
    let version = roster.version;
    let engines = roster.engines.len();
    if state.members.update(roster) {
        log::info!(version, engines; "roster of the fleet changed");
        let known = state.members.engines();
        state.view.retain(|engine| known.contains(engine));
        shared.changed.notify_one();
    }
}

/// Applies the state of a data centre, and forwards it if it comes from a relay of another data
/// centre.
fn handle_data_centre(shared: &Shared, from: SocketAddr, announced: DataCentreState, bytes: &[u8]) {
    let now = shared.clock.now();
    update_declarations(shared, &announced.weights, now, "relay");
    if let Some(tables) = announced.tables {
        let mut hints = shared.hints.borrow_mut();
        hints.update((from.ip(), &announced.data_centre), tables, now);
    }
    let is_relayed = is_own_data_centre(shared, from);
    if !is_relayed && announced.data_centre != shared.data_centre {
        let mut relay = shared.relay.borrow_mut();
        relay.record_remote_sender(from, now);
        let receivers = relay.forwarding.decide(from, &announced, now);
        if receivers.routers {
            forward_datagram(&shared.socket, &relay.aggregate.subscribers(), bytes);
        }
        if receivers.sidecars {
            forward_datagram(&shared.socket, &shared.local_sidecars(), bytes);
        }
    }
    let mut state = shared.state.borrow_mut();
    for engine in announced.engines {
        state.view.update_engine(engine, now);
    }
}

fn is_own_data_centre(shared: &Shared, from: SocketAddr) -> bool {
    let state = shared.state.borrow();
    state.members.data_centre_of(from.ip()) == Some(&shared.data_centre)
}

fn is_preferred(
    shared: &Shared,
    forwarding: &dw_fleet::ForwardingPolicy,
    from: SocketAddr,
) -> bool {
    let state = shared.state.borrow();
    let data_centre = state.members.data_centre_of(from.ip());
    data_centre.is_some_and(|data_centre| forwarding.is_preferred(from, data_centre))
}

fn update_declarations(shared: &Shared, updates: &[WeightsUpdate], now: TimeMs, source: &str) {
    for update in updates {
        let is_new = shared.state.borrow_mut().declarations.update(update, now);
        if is_new {
            log::info!(
                model:% = update.model, weights:% = update.weights, fence:% = update.fence,
                age_ms = update.age_ms.0, source;
                "weights published"
            );
            shared.changed.notify_one();
        }
    }
}

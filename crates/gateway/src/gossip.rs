//! Datagrams to and from the sidecars of engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_wire::hear;
use dw_wire::tell;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::Phase;
use dw_wire::RouterState;
use tokio::net::UdpSocket;

use crate::shared::Shared;

/// Shortest time between two datagrams to one sidecar.
const SHORTEST_PAUSE: Duration = Duration::from_millis(60);

/// Longest time between two datagrams to one sidecar.
const LONGEST_MS: DurationMs = DurationMs(1_000);

struct Told {
    engine: SocketAddr,
    tokens: Tokens,
    at: TimeMs,
}

/// Asks for a datagram to every sidecar.
pub(crate) fn tell_all(shared: &Shared) {
    shared.work_changed.notify_one();
}

/// Tells sidecars of outstanding work and named weights until the task is aborted.
pub(crate) async fn tell_sidecars(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut told: Vec<Told> = Vec::new();
    let mut news = Vec::new();
    let mut seq = 0;
    let port = shared.boot().inner_ports.0;
    loop {
        let now = shared.now();
        let names: Vec<_> = named(&shared, now);
        let is_news = names != news;
        news = names;
        let engines = engines(&shared);
        told.retain(|t| engines.iter().any(|engine| engine.addr == t.engine));
        for engine in &engines {
            let known = told.iter().position(|t| t.engine == engine.addr);
            let due = known.is_none_or(|at| {
                let last = &told[at];
                last.tokens != engine.tokens || now.since(last.at) >= LONGEST_MS || is_news
            });
            if !due {
                continue;
            }
            if let Some(at) = known {
                told.swap_remove(at);
            }
            told.push(Told {
                engine: engine.addr,
                tokens: engine.tokens,
                at: now,
            });
            seq += 1;
            let sidecar = SocketAddr::new(engine.addr.ip(), port);
            let state = state(&shared, engine, seq, &engines, now);
            tell(&socket, sidecar, &Datagram::Router(state)).await;
        }
        tokio::time::sleep(SHORTEST_PAUSE).await;
        let changed = shared.work_changed.notified();
        // Nothing has to be told earlier than the longest pause.
        let _ = tokio::time::timeout(LONGEST_MS.into(), changed).await;
    }
}

fn named(shared: &Shared, now: TimeMs) -> Vec<(dw_base::ModelId, dw_base::WeightsVersion)> {
    let news = shared.weights.borrow().namings.news(now);
    let mut names: Vec<_> = news.into_iter().map(|n| (n.model, n.weights)).collect();
    names.sort();
    names
}

/// An engine with the prompt tokens that are outstanding there.
struct Engine {
    addr: SocketAddr,
    service: ServiceId,
    tokens: Tokens,
    speeds: MeasuredSpeeds,
}

fn engines(shared: &Shared) -> Vec<Engine> {
    let directory = shared.directory.borrow();
    let mut place = shared.place.borrow_mut();
    directory
        .all()
        .filter(|entry| !entry.listed.models.is_empty())
        .map(|entry| {
            let load = place.load(&entry.listed.upstream);
            Engine {
                addr: entry.listed.addr,
                service: entry.listed.service.clone(),
                tokens: load.own_tokens(),
                speeds: load.measured_speeds(),
            }
        })
        .collect()
}

fn state(
    shared: &Shared,
    engine: &Engine,
    seq: u64,
    engines: &[Engine],
    now: TimeMs,
) -> RouterState {
    let same = engines
        .iter()
        .filter(|other| other.service == engine.service);
    RouterState {
        router: shared.boot.borrow().node.clone(),
        started_ms: shared.started.0,
        seq,
        outstanding_tokens: engine.tokens,
        speeds: engine.speeds,
        weights: shared.weights.borrow().namings.news(now),
        engines: same.map(|other| other.addr).collect(),
    }
}

/// Hears sidecars until the task is aborted.
pub(crate) async fn hear_sidecars(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    hear(&socket, |_, datagram| match datagram {
        Datagram::Engine(state) => heard(&shared, state),
        Datagram::Router(_) => {}
    })
    .await;
}

fn heard(shared: &Shared, state: EngineState) {
    let now = shared.now();
    for news in &state.weights {
        shared.weights.borrow_mut().namings.hear(news, now);
    }
    let engine = state.engine;
    let phase = state.phase;
    let others = state
        .outstanding_tokens
        .0
        .saturating_sub(state.own_tokens.0);
    let routers = state.routers;
    let speeds = state.speeds;
    let Some(change) = shared.sidecars.borrow_mut().hear(state, now) else {
        return;
    };
    if change.before != Some(phase) && (phase != Phase::Open || change.before.is_some()) {
        log::info!(engine:%, phase:?; "engine has changed its phase");
    }
    let directory = shared.directory.borrow();
    let mut place = shared.place.borrow_mut();
    if let Some(entry) = directory.at(&engine) {
        if change.restarted {
            place.cache_lost(&entry.listed.upstream);
        }
        let load = place.load(&entry.listed.upstream);
        load.reported(Tokens(others), now);
        load.told_speeds(speeds);
    }
    if routers > 0 {
        place.set_routers(routers);
    }
}

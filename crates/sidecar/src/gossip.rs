//! Datagrams to and from routers and other sidecars.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_wire::hear;
use dw_wire::tell;
use dw_wire::CachedParts;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::WeightsNews;
use tokio::net::UdpSocket;

use crate::sidecar::Shared;

/// Shortest time between two datagrams to one process.
const SHORTEST_PAUSE: Duration = Duration::from_millis(80);

/// Longest time between two datagrams to one router.
const ROUTER_MS: DurationMs = DurationMs(500);

/// Shortest time between two datagrams to routers that tell what the engine has cached, which is
/// most of their length.
const CACHED_MS: DurationMs = DurationMs(300);

/// Longest time between two datagrams to another sidecar.
const PEER_MS: DurationMs = DurationMs(1_000);

/// The same while the engine is to load weights.
const BUSY_PEER_MS: DurationMs = DurationMs(250);

/// Parts that a datagram names at most, so that it stays within its limit.
const MAX_CACHED: usize = 1_000;

/// What the last datagrams said.
#[derive(Clone, Debug, PartialEq)]
struct Summary {
    phase: dw_wire::Phase,
    models: Vec<(dw_base::ModelId, dw_base::WeightsVersion)>,
}

/// Tells routers and other sidecars of the engine until the task is aborted.
pub(crate) async fn tell_others(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut told: Option<(Summary, Tokens)> = None;
    let (mut router_at, mut peer_at, mut cached_at) = (TimeMs(0), TimeMs(0), TimeMs(0));
    let mut seq = 0;
    loop {
        let now = shared.clock.now();
        shared.state.borrow_mut().forget(now);
        let (summary, tokens, behind) = {
            let state = shared.state.borrow();
            let report = state.report.clone().unwrap_or_default();
            let summary = Summary {
                phase: state.told_phase(now),
                models: report.models,
            };
            (summary, state.outstanding(), state.behind().is_some())
        };
        let changed = told.as_ref().map(|(summary, _)| summary) != Some(&summary);
        let load_changed = told.as_ref().map(|(_, tokens)| *tokens) != Some(tokens);
        if changed || load_changed || now.since(router_at) >= ROUTER_MS {
            seq += 1;
            let tells_cached = now.since(cached_at) >= CACHED_MS;
            tell_routers(&shared, &socket, seq, tells_cached, now).await;
            router_at = now;
            if tells_cached {
                cached_at = now;
            }
        }
        let peer_ms = if behind { BUSY_PEER_MS } else { PEER_MS };
        if changed || now.since(peer_at) >= peer_ms {
            seq += 1;
            tell_peers(&shared, &socket, seq, now).await;
            peer_at = now;
        }
        told = Some((summary, tokens));
        tokio::time::sleep(SHORTEST_PAUSE).await;
        let longest = if behind { BUSY_PEER_MS } else { ROUTER_MS };
        // Nothing has to be told earlier than the longest pause.
        let _ = tokio::time::timeout(longest.into(), shared.changed.notified()).await;
    }
}

/// Returns the state of the engine without what concerns one receiver only.
fn engine_state(shared: &Shared, seq: u64, now: TimeMs) -> EngineState {
    let state = shared.state.borrow();
    let report = state.report.clone().unwrap_or_default();
    EngineState {
        engine: state.engine(),
        started_ms: shared.started.0,
        seq,
        phase: state.told_phase(now),
        born_ms: report.born_ms,
        models: report.models,
        waiting: report.waiting,
        running: report.running,
        outstanding_tokens: state.outstanding(),
        own_tokens: Tokens(0),
        cached: None,
        routers: u32::try_from(state.routers().count()).unwrap_or(u32::MAX),
        weights: state.namings.news(now),
    }
}

async fn tell_routers(
    shared: &Shared,
    socket: &UdpSocket,
    seq: u64,
    tells_cached: bool,
    now: TimeMs,
) {
    let routers: Vec<_> = shared.state.borrow().routers().collect();
    let cached = if tells_cached {
        cached_parts(shared)
    } else {
        None
    };
    for (router, own_tokens) in routers {
        let state = EngineState {
            own_tokens,
            cached: cached.clone(),
            ..engine_state(shared, seq, now)
        };
        tell(socket, router, &Datagram::Engine(state)).await;
    }
}

/// Returns what the engine has cached, if it tells of it.
fn cached_parts(shared: &Shared) -> Option<CachedParts> {
    let state = shared.state.borrow();
    let contents = state.contents.borrow();
    contents
        .is_up()
        .then(|| CachedParts::new(contents.newest(MAX_CACHED)))
}

async fn tell_peers(shared: &Shared, socket: &UdpSocket, seq: u64, now: TimeMs) {
    let others: Vec<_> = shared.state.borrow().others().collect();
    let datagram = Datagram::Engine(engine_state(shared, seq, now));
    for engine in others {
        let sidecar = SocketAddr::new(engine.ip(), shared.inner_port);
        tell(socket, sidecar, &datagram).await;
    }
}

/// Hears routers and other sidecars until the task is aborted.
pub(crate) async fn hear_others(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    hear(&socket, |from, datagram| {
        let now = shared.clock.now();
        match datagram {
            Datagram::Router(state) => {
                take_news(&shared, &state.weights, now, "router");
                let mut own = shared.state.borrow_mut();
                let before = own.outstanding();
                own.hear_router(from, state, now);
                if own.outstanding() != before {
                    shared.changed.notify_one();
                }
            }
            Datagram::Engine(state) => {
                take_news(&shared, &state.weights, now, "sidecar");
                shared.state.borrow_mut().hear_peer(state, now);
            }
        }
    })
    .await;
}

fn take_news(shared: &Shared, news: &[WeightsNews], now: TimeMs, source: &str) {
    for news in news {
        let is_news = shared.state.borrow_mut().namings.hear(news, now);
        if is_news {
            log::info!(
                model:% = news.model, weights:% = news.weights, fence:% = news.fence,
                age_ms = news.age_ms.0, source;
                "weights are named"
            );
        }
    }
}

//! Datagrams to and from routers and other sidecars.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_wire::hear;
use dw_wire::tell;
use dw_wire::CachedParts;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::Phase;
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

/// What is told at once when it changes.
#[derive(Clone, Debug, PartialEq)]
struct News {
    phase: Phase,
    models: Vec<(ModelId, WeightsVersion)>,
}

/// What the last datagrams said, and when they were sent.
#[derive(Default)]
struct Told {
    news: Option<News>,
    outstanding: Tokens,
    routers_at: TimeMs,
    cached_at: TimeMs,
    peers_at: TimeMs,
    seq: u64,
}

/// Tells routers and other sidecars of the engine until the task is aborted.
pub(crate) async fn tell_others(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut told = Told::default();
    loop {
        let now = shared.clock.now();
        shared.state.borrow_mut().forget(now);
        let news = news(&shared, now);
        let (outstanding, is_behind) = {
            let state = shared.state.borrow();
            (state.outstanding(), state.behind().is_some())
        };
        let changed = told.news.as_ref() != Some(&news);
        let load_changed = told.outstanding != outstanding;
        if changed || load_changed || now.since(told.routers_at) >= ROUTER_MS {
            told.tell_routers(&shared, &socket, now).await;
        }
        let peer_ms = if is_behind { BUSY_PEER_MS } else { PEER_MS };
        if changed || now.since(told.peers_at) >= peer_ms {
            told.tell_peers(&shared, &socket, now).await;
        }
        told.news = Some(news);
        told.outstanding = outstanding;
        tokio::time::sleep(SHORTEST_PAUSE).await;
        let longest = if is_behind { BUSY_PEER_MS } else { ROUTER_MS };
        // Nothing has to be told earlier than the longest pause.
        let _ = tokio::time::timeout(longest.into(), shared.changed.notified()).await;
    }
}

impl Told {
    async fn tell_routers(&mut self, shared: &Shared, socket: &UdpSocket, now: TimeMs) {
        self.routers_at = now;
        let mut state = self.next_state(shared, now);
        if now.since(self.cached_at) >= CACHED_MS {
            self.cached_at = now;
            state.cached = cached_parts(shared);
        }
        let routers: Vec<_> = shared.state.borrow().routers().collect();
        for (router, own_tokens) in routers {
            state.own_tokens = own_tokens;
            tell(socket, router, &Datagram::Engine(state.clone())).await;
        }
    }

    async fn tell_peers(&mut self, shared: &Shared, socket: &UdpSocket, now: TimeMs) {
        self.peers_at = now;
        let datagram = Datagram::Engine(self.next_state(shared, now));
        let others: Vec<_> = shared.state.borrow().others().collect();
        for engine in others {
            let sidecar = SocketAddr::new(engine.ip(), shared.inner_port);
            tell(socket, sidecar, &datagram).await;
        }
    }

    /// Returns the state of the engine without what concerns one receiver only.
    fn next_state(&mut self, shared: &Shared, now: TimeMs) -> EngineState {
        self.seq += 1;
        let News { phase, models } = news(shared, now);
        let state = shared.state.borrow();
        let report = state.report.clone().unwrap_or_default();
        EngineState {
            engine: state.engine(),
            started_ms: shared.started.0,
            seq: self.seq,
            phase,
            born_ms: report.born_ms,
            models,
            waiting: report.waiting,
            running: report.running,
            outstanding_tokens: state.outstanding(),
            own_tokens: Tokens(0),
            speeds: state.speeds(),
            cached: None,
            routers: u32::try_from(state.routers().count()).unwrap_or(u32::MAX),
            weights: state.namings.news(now),
        }
    }
}

fn news(shared: &Shared, now: TimeMs) -> News {
    let state = shared.state.borrow();
    let report = state.report.as_ref();
    News {
        phase: state.told_phase(now),
        models: report.map_or_else(Vec::new, |report| report.models.clone()),
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

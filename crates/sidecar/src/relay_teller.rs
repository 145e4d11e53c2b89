//! What a sidecar tells as a relay of its data centre.

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_fleet::Pace;
use dw_wire::tell_all;
use dw_wire::CachedState;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::RouterLoads;

use crate::relay::RELAY_MS;
use crate::sidecar::Shared;

/// Time between two states with all engines.
const ENGINES_MS: DurationMs = DurationMs(500);

/// Time between two rosters to sidecars of the data centre and to other relays.
const ROSTER_MS: DurationMs = DurationMs(1_500);

/// States within the data centre.
const NEAR: Pace = Pace {
    shortest_ms: DurationMs(60),
    longest_ms: DurationMs(500),
    bytes_per_s: 300_000,
};

/// States to other data centres, whose bytes cost more.
const FAR: Pace = Pace {
    shortest_ms: DurationMs(60),
    longest_ms: DurationMs(500),
    bytes_per_s: 40_000,
};

/// Cached parts to other data centres.
const FAR_CACHED: Pace = Pace {
    shortest_ms: DurationMs(300),
    longest_ms: DurationMs(1_300),
    bytes_per_s: 40_000,
};

/// Cached parts within the data centre.
const NEAR_CACHED: Pace = Pace {
    shortest_ms: DurationMs(300),
    longest_ms: DurationMs(1_300),
    bytes_per_s: 300_000,
};

/// Cached parts in one datagram, in bytes.
const CACHED_BYTES: usize = 8_000;

/// Datagrams to one kind of receivers.
#[derive(Default)]
struct Ticks {
    due: TimeMs,
    engines_at: TimeMs,
    loads: Option<RouterLoads>,
}

/// When a relay tells what.
#[derive(Default)]
pub(crate) struct RelayTeller {
    near: Ticks,
    far: Ticks,
    cached_due: TimeMs,
    roster_at: TimeMs,
    roster_engines: usize,
    named: Vec<(ModelId, WeightsVersion)>,
    tables: Option<(ConfigVersion, u64)>,
}

impl RelayTeller {
    /// Tells what is due, and returns when something is due next.
    pub(crate) async fn tell(&mut self, shared: &Shared, now: TimeMs) -> TimeMs {
        shared.relay.borrow_mut().aggregate.forget(now);
        if !shared.relay.borrow().is_used(now) {
            // News would be told late if this sidecar becomes a relay.
            shared.relay.borrow_mut().aggregate.take_news();
            return now + RELAY_MS;
        }
        let mut others = shared.other_relays(now);
        shared.relay.borrow_mut().add_callers(&mut others, now);
        self.tell_roster(shared, &others, now).await;
        self.tell_news(shared, &others, now).await;
        if now >= self.near.due {
            self.near_tick(shared, now).await;
        }
        if now >= self.far.due {
            self.far_tick(shared, &others, now).await;
        }
        if now >= self.cached_due {
            self.cached(shared, &others, now).await;
        }
        self.near.due.min(self.far.due).min(self.cached_due)
    }

    async fn tell_roster(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let roster = shared.state.borrow().members.roster().clone();
        let is_news = roster.engines.len() != self.roster_engines;
        if roster.engines.is_empty() || (!is_news && now.since(self.roster_at) < ROSTER_MS) {
            return;
        }
        self.roster_at = now;
        self.roster_engines = roster.engines.len();
        let mut receivers = shared.near_sidecars();
        receivers.extend(others);
        let bytes = tell_all(&shared.socket, &receivers, &Datagram::Roster(roster)).await;
        shared.measures.told("roster", bytes, receivers.len());
    }

    /// Tells changed engines and newly named weights to everyone.
    async fn tell_news(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let engines = shared.relay.borrow_mut().aggregate.take_news();
        let news = shared.state.borrow().namings.news(now);
        let named: Vec<_> = news.into_iter().map(|n| (n.model, n.weights)).collect();
        let tables = shared.relay.borrow().aggregate.tables(now);
        let tables = tables.map(|tables| (tables.config_version, tables.registrations));
        if engines.is_empty() && named == self.named && tables == self.tables {
            return;
        }
        self.named = named;
        self.tables = tables;
        let mut receivers = shared.relay.borrow().aggregate.routers();
        receivers.extend(shared.near_sidecars());
        receivers.extend(others);
        let datagram = state(shared, engines, None, now);
        let bytes = tell_all(&shared.socket, &receivers, &datagram).await;
        shared.measures.told("news", bytes, receivers.len());
    }

    async fn near_tick(&mut self, shared: &Shared, now: TimeMs) {
        let routers = shared.relay.borrow().aggregate.routers();
        let loads = shared.relay.borrow_mut().aggregate.loads();
        let Some(datagram) = self.near.datagram(shared, loads, now) else {
            return;
        };
        let mut receivers = routers;
        if self.near.engines_at == now {
            receivers.extend(shared.near_sidecars());
        }
        let bytes = tell_all(&shared.socket, &receivers, &datagram).await;
        shared.measures.told("near", bytes, receivers.len());
        self.near.due = now + NEAR.pause_ms(bytes, receivers.len());
    }

    async fn far_tick(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let mut loads = shared.relay.borrow_mut().aggregate.loads();
        loads.heard.clear();
        let Some(datagram) = self.far.datagram(shared, loads, now) else {
            return;
        };
        let bytes = tell_all(&shared.socket, others, &datagram).await;
        shared.measures.told("far", bytes, others.len());
        self.far.due = now + FAR.pause_ms(bytes, others.len());
    }

    async fn cached(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let (listeners, states) = {
            let mut relay = shared.relay.borrow_mut();
            (relay.aggregate.listeners(), relay.aggregate.take_cached())
        };
        let mut sent = 0;
        for states in pieces(states) {
            let datagram = Datagram::Cached(states);
            let bytes = tell_all(&shared.socket, &listeners, &datagram).await;
            shared.measures.told("cached", bytes, listeners.len());
            let bytes = tell_all(&shared.socket, others, &datagram).await;
            shared.measures.told("cached_far", bytes, others.len());
            sent += bytes;
        }
        let near_ms = NEAR_CACHED.pause_ms(sent, listeners.len());
        self.cached_due = now + near_ms.max(FAR_CACHED.pause_ms(sent, others.len()));
    }
}

impl Ticks {
    /// Returns the state to tell, unless nothing has changed since the last one.
    fn datagram(&mut self, shared: &Shared, loads: RouterLoads, now: TimeMs) -> Option<Datagram> {
        let has_engines = now.since(self.engines_at) >= ENGINES_MS;
        let same = |told: &RouterLoads| {
            told.outstanding == loads.outstanding && told.routers == loads.routers
        };
        if !has_engines && self.loads.as_ref().is_some_and(same) {
            self.due = now + NEAR.shortest_ms;
            return None;
        }
        self.loads = Some(loads.clone());
        let engines = match has_engines {
            true => {
                self.engines_at = now;
                shared.relay.borrow().aggregate.engines()
            }
            false => Vec::new(),
        };
        Some(state(shared, engines, Some(loads), now))
    }
}

fn state(
    shared: &Shared,
    engines: Vec<EngineState>,
    loads: Option<RouterLoads>,
    now: TimeMs,
) -> Datagram {
    Datagram::DataCentre(DataCentreState {
        data_centre: shared.data_centre.clone(),
        stamp: now,
        engines,
        loads,
        weights: shared.state.borrow().namings.news(now),
        tables: shared.relay.borrow().aggregate.tables(now),
    })
}

/// Divides states of cached parts into datagrams of a bounded length.
fn pieces(states: Vec<CachedState>) -> Vec<Vec<CachedState>> {
    let mut pieces: Vec<Vec<CachedState>> = Vec::new();
    let mut length = CACHED_BYTES;
    for state in states {
        if length >= CACHED_BYTES {
            pieces.push(Vec::new());
            length = 0;
        }
        length += state.parts.most_bytes();
        if let Some(piece) = pieces.last_mut() {
            piece.push(state);
        }
    }
    pieces
}

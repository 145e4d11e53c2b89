//! What a sidecar tells as a relay of its data centre.

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_fleet::SendPacing;
use dw_wire::send_to_all;
use dw_wire::CachedState;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::RosterEntry;
use dw_wire::RouterLoads;
use dw_wire::TableProgress;

use crate::relay::RELAY_MS;
use crate::sidecar::Shared;

/// Time between two states with all engines.
const ENGINES_MS: DurationMs = DurationMs(500);

/// Time between two rosters to sidecars of the data centre and to other relays.
const ROSTER_MS: DurationMs = DurationMs(1_500);

/// Bytes that a relay sends within its data centre in a second, of states and of cached parts each.
const NEAR_BYTES_PER_S: u64 = 300_000;

/// The same to other data centres, where bytes cost more.
const FAR_BYTES_PER_S: u64 = 40_000;

/// Returns the pace of states.
fn states(bytes_per_s: u64) -> SendPacing {
    SendPacing {
        min_pause_ms: DurationMs(60),
        max_pause_ms: DurationMs(500),
        bytes_per_s,
    }
}

/// Returns the pace of cached parts.
fn cached_parts(bytes_per_s: u64) -> SendPacing {
    SendPacing {
        min_pause_ms: DurationMs(300),
        max_pause_ms: DurationMs(1_300),
        bytes_per_s,
    }
}

/// Cached parts in one datagram, in bytes.
const CACHED_BYTES: usize = 8_000;

/// States for one kind of receivers.
struct Ticks {
    pace: SendPacing,
    due: TimeMs,
    engines_at: TimeMs,
    /// Engine whose speeds were told last.
    speeds_after: Option<SocketAddr>,
    loads: Option<RouterLoads>,
}

/// When a relay tells what.
pub(crate) struct RelayTeller {
    near: Ticks,
    far: Ticks,
    cached_due: TimeMs,
    roster_at: TimeMs,
    roster_engines: Vec<RosterEntry>,
    named: Vec<(ModelId, WeightsVersion)>,
    tables: Option<(ConfigVersion, u64)>,
}

impl Default for RelayTeller {
    fn default() -> Self {
        RelayTeller {
            near: Ticks::new(states(NEAR_BYTES_PER_S)),
            far: Ticks::new(states(FAR_BYTES_PER_S)),
            cached_due: TimeMs::default(),
            roster_at: TimeMs::default(),
            roster_engines: Vec::new(),
            named: Vec::new(),
            tables: None,
        }
    }
}

impl RelayTeller {
    /// Tells what is due, and returns when something is due next.
    pub(crate) async fn tell(&mut self, shared: &Shared, now: TimeMs) -> TimeMs {
        shared.relay.borrow_mut().aggregate.remove_stale(now);
        if !shared.relay.borrow().is_used(now) {
            // News would be told late if this sidecar becomes a relay.
            shared.relay.borrow_mut().aggregate.take_changed_engines();
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
        let is_news = roster.engines != self.roster_engines;
        if roster.engines.is_empty() || (!is_news && now.since(self.roster_at) < ROSTER_MS) {
            return;
        }
        self.roster_at = now;
        self.roster_engines.clone_from(&roster.engines);
        let mut receivers = shared.near_sidecars();
        receivers.extend(others);
        let bytes = send_to_all(&shared.socket, &receivers, &Datagram::Roster(roster)).await;
        shared.measures.told("roster", bytes, receivers.len());
    }

    /// Tells changed engines and newly named weights to everyone.
    async fn tell_news(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let engines = shared.relay.borrow_mut().aggregate.take_changed_engines();
        let news = shared.state.borrow().namings.updates(now);
        let named: Vec<_> = news.into_iter().map(|n| (n.model, n.weights)).collect();
        let tables = shared.relay.borrow().aggregate.tables(now);
        let tables = tables.as_ref().map(TableProgress::positions);
        if engines.is_empty() && named == self.named && tables == self.tables {
            return;
        }
        self.named = named;
        self.tables = tables;
        let mut receivers = shared.relay.borrow().aggregate.routers();
        receivers.extend(shared.near_sidecars());
        receivers.extend(others);
        let datagram = state(shared, engines, None, now);
        let bytes = send_to_all(&shared.socket, &receivers, &datagram).await;
        shared.measures.told("news", bytes, receivers.len());
    }

    async fn near_tick(&mut self, shared: &Shared, now: TimeMs) {
        let mut receivers = shared.relay.borrow().aggregate.routers();
        let Some(loads) = self.near.loads(shared, now) else {
            return;
        };
        let engines = self.near.engines(shared, now);
        if !engines.is_empty() {
            receivers.extend(shared.near_sidecars());
        }
        let datagram = state(shared, engines, Some(loads), now);
        let bytes = send_to_all(&shared.socket, &receivers, &datagram).await;
        shared.measures.told("near", bytes, receivers.len());
        self.near.sent(bytes, receivers.len(), now);
    }

    async fn far_tick(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let Some(mut loads) = self.far.loads(shared, now) else {
            return;
        };
        loads.heard.clear();
        let engines = self.far.engines(shared, now);
        let datagram = state(shared, engines, Some(loads), now);
        let bytes = send_to_all(&shared.socket, others, &datagram).await;
        shared.measures.told("far", bytes, others.len());
        self.far.sent(bytes, others.len(), now);
    }

    async fn cached(&mut self, shared: &Shared, others: &[SocketAddr], now: TimeMs) {
        let (listeners, states) = {
            let mut relay = shared.relay.borrow_mut();
            (
                relay.aggregate.subscribers(),
                relay.aggregate.take_changed_cached(),
            )
        };
        let mut sent = 0;
        for states in pieces(states) {
            let datagram = Datagram::Cached(states);
            let bytes = send_to_all(&shared.socket, &listeners, &datagram).await;
            shared.measures.told("cached", bytes, listeners.len());
            let bytes = send_to_all(&shared.socket, others, &datagram).await;
            shared.measures.told("cached_far", bytes, others.len());
            sent += bytes;
        }
        let near_ms = cached_parts(NEAR_BYTES_PER_S).pause_ms(sent, listeners.len());
        let far_ms = cached_parts(FAR_BYTES_PER_S).pause_ms(sent, others.len());
        self.cached_due = now + near_ms.max(far_ms);
    }
}

impl Ticks {
    fn new(pace: SendPacing) -> Self {
        Ticks {
            pace,
            due: TimeMs::default(),
            engines_at: TimeMs::default(),
            speeds_after: None,
            loads: None,
        }
    }

    fn has_engines(&self, now: TimeMs) -> bool {
        now.since(self.engines_at) >= ENGINES_MS
    }

    /// Returns the loads to tell, unless nothing has changed since the last ones and no engines are
    /// due.
    fn loads(&mut self, shared: &Shared, now: TimeMs) -> Option<RouterLoads> {
        let mut speeds_after = self.speeds_after;
        let loads = shared.relay.borrow().aggregate.loads(&mut speeds_after);
        let same = |told: &RouterLoads| {
            told.outstanding == loads.outstanding && told.routers == loads.routers
        };
        if !self.has_engines(now) && self.loads.as_ref().is_some_and(same) {
            self.due = now + self.pace.min_pause_ms;
            return None;
        }
        self.speeds_after = speeds_after;
        self.loads = Some(loads.clone());
        Some(loads)
    }

    /// Returns all engines if they are due.
    fn engines(&mut self, shared: &Shared, now: TimeMs) -> Vec<EngineState> {
        if !self.has_engines(now) {
            return Vec::new();
        }
        self.engines_at = now;
        shared.relay.borrow().aggregate.engines()
    }

    fn sent(&mut self, bytes: usize, receivers: usize, now: TimeMs) {
        self.due = now + self.pace.pause_ms(bytes, receivers);
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
        weights: shared.state.borrow().namings.updates(now),
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
        length += state.parts.max_encoded_bytes();
        if let Some(piece) = pieces.last_mut() {
            piece.push(state);
        }
    }
    pieces
}

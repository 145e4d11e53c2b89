//! Announcements that a sidecar sends as a relay of its data centre.

use std::net::SocketAddr;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_fleet::SendPacing;
use dw_fleet::RELAY_MAX_PAUSE_MS;
use dw_fleet::RELAY_MIN_PAUSE_MS;
use dw_wire::send_to_all;
use dw_wire::CachedState;
use dw_wire::DataCentreState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::RosterEntry;
use dw_wire::RouterLoads;
use dw_wire::TableProgress;

use crate::relay::RELAY_TIMEOUT_MS;
use crate::sidecar::Shared;

/// Time between two announcements of the states of all engines.
const ENGINES_INTERVAL_MS: DurationMs = DurationMs(500);

/// Time after which an unchanged roster is sent again to the sidecars of the data centre and to
/// remote relays.
const ROSTER_INTERVAL_MS: DurationMs = DurationMs(1_500);

/// Bytes per second that a relay sends within its data centre, for states and for cached parts
/// each.
const LOCAL_BYTES_PER_S: u64 = 300_000;

/// Bytes per second that a relay sends to other data centres, where traffic costs more, for states
/// and for cached parts each.
const REMOTE_BYTES_PER_S: u64 = 40_000;

/// Returns the pacing of states.
fn state_pacing(bytes_per_s: u64) -> SendPacing {
    SendPacing {
        min_pause_ms: RELAY_MIN_PAUSE_MS,
        max_pause_ms: RELAY_MAX_PAUSE_MS,
        bytes_per_s,
    }
}

/// Returns the pacing of cached parts.
fn cached_pacing(bytes_per_s: u64) -> SendPacing {
    SendPacing {
        min_pause_ms: DurationMs(300),
        max_pause_ms: DurationMs(1_300),
        bytes_per_s,
    }
}

/// Size in bytes from which a datagram takes no further cached state.
const CACHED_DATAGRAM_BYTES: usize = 8_000;

/// Schedule of the states to the receivers in the own data centre or in the others.
struct StateSchedule {
    pacing: SendPacing,
    due_at: TimeMs,
    engines_sent_at: TimeMs,
    /// Engine whose speeds were sent last.
    speeds_cursor: Option<SocketAddr>,
    /// Loads that were sent last.
    sent_loads: Option<RouterLoads>,
}

/// What a relay has announced, and when each kind of announcement is due.
pub(crate) struct RelayAnnouncer {
    local: StateSchedule,
    remote: StateSchedule,
    cached_due_at: TimeMs,
    roster_sent_at: TimeMs,
    sent_roster_engines: Vec<RosterEntry>,
    sent_weights: Vec<(ModelId, WeightsVersion)>,
    sent_positions: Option<(ConfigVersion, u64)>,
}

impl Default for RelayAnnouncer {
    fn default() -> Self {
        RelayAnnouncer {
            local: StateSchedule::new(state_pacing(LOCAL_BYTES_PER_S)),
            remote: StateSchedule::new(state_pacing(REMOTE_BYTES_PER_S)),
            cached_due_at: TimeMs::default(),
            roster_sent_at: TimeMs::default(),
            sent_roster_engines: Vec::new(),
            sent_weights: Vec::new(),
            sent_positions: None,
        }
    }
}

impl RelayAnnouncer {
    /// Sends the announcements that are due, and returns when the next one is due.
    pub(crate) async fn announce_due(&mut self, shared: &Shared, now: TimeMs) -> TimeMs {
        shared.relay.borrow_mut().aggregate.remove_stale(now);
        if !shared.relay.borrow().is_used(now) {
            // Discards the changes: they would be outdated once this sidecar becomes a relay.
            shared.relay.borrow_mut().aggregate.take_changed_engines();
            return now + RELAY_TIMEOUT_MS;
        }
        let mut remote_relays = shared.remote_relays(now);
        shared
            .relay
            .borrow_mut()
            .add_remote_senders(&mut remote_relays, now);
        self.send_roster(shared, &remote_relays, now).await;
        self.send_changes(shared, &remote_relays, now).await;
        send_suspects(shared, &remote_relays, now).await;
        send_limits(shared, &remote_relays, now).await;
        if now >= self.local.due_at {
            self.send_local_state(shared, now).await;
        }
        if now >= self.remote.due_at {
            self.send_remote_state(shared, &remote_relays, now).await;
        }
        if now >= self.cached_due_at {
            self.send_cached(shared, &remote_relays, now).await;
        }
        self.local
            .due_at
            .min(self.remote.due_at)
            .min(self.cached_due_at)
    }

    async fn send_roster(&mut self, shared: &Shared, remote_relays: &[SocketAddr], now: TimeMs) {
        let roster = shared.state.borrow().members.roster().clone();
        let is_changed = roster.engines != self.sent_roster_engines;
        if roster.engines.is_empty()
            || (!is_changed && now.since(self.roster_sent_at) < ROSTER_INTERVAL_MS)
        {
            return;
        }
        self.roster_sent_at = now;
        self.sent_roster_engines.clone_from(&roster.engines);
        let mut receivers = shared.local_sidecars();
        receivers.extend(remote_relays);
        let bytes = send_to_all(&shared.socket, &receivers, &Datagram::Roster(roster)).await;
        shared.metrics.record_sent("roster", bytes, receivers.len());
    }

    /// Sends changed engines, newly published weights and table positions to all receivers.
    async fn send_changes(&mut self, shared: &Shared, remote_relays: &[SocketAddr], now: TimeMs) {
        let engines = shared.relay.borrow_mut().aggregate.take_changed_engines();
        let updates = shared.state.borrow().declarations.updates(now);
        let weights: Vec<_> = updates
            .into_iter()
            .map(|update| (update.model, update.weights))
            .collect();
        let tables = shared.relay.borrow().aggregate.tables(now);
        let positions = tables.as_ref().map(TableProgress::positions);
        if engines.is_empty() && weights == self.sent_weights && positions == self.sent_positions {
            return;
        }
        self.sent_weights = weights;
        self.sent_positions = positions;
        let mut receivers = shared.relay.borrow().aggregate.routers();
        receivers.extend(shared.local_sidecars());
        receivers.extend(remote_relays);
        let datagram = data_centre_state(shared, engines, None, now);
        let bytes = send_to_all(&shared.socket, &receivers, &datagram).await;
        shared.metrics.record_sent("news", bytes, receivers.len());
    }

    async fn send_local_state(&mut self, shared: &Shared, now: TimeMs) {
        let mut receivers = shared.relay.borrow().aggregate.routers();
        let Some(loads) = self.local.next_loads(shared, now) else {
            return;
        };
        let engines = self.local.due_engines(shared, now);
        if !engines.is_empty() {
            receivers.extend(shared.local_sidecars());
        }
        let datagram = data_centre_state(shared, engines, Some(loads), now);
        let bytes = send_to_all(&shared.socket, &receivers, &datagram).await;
        shared.metrics.record_sent("near", bytes, receivers.len());
        self.local.record_sent(bytes, receivers.len(), now);
    }

    async fn send_remote_state(
        &mut self,
        shared: &Shared,
        remote_relays: &[SocketAddr],
        now: TimeMs,
    ) {
        let Some(mut loads) = self.remote.next_loads(shared, now) else {
            return;
        };
        loads.heard.clear();
        let engines = self.remote.due_engines(shared, now);
        let datagram = data_centre_state(shared, engines, Some(loads), now);
        let bytes = send_to_all(&shared.socket, remote_relays, &datagram).await;
        shared
            .metrics
            .record_sent("far", bytes, remote_relays.len());
        self.remote.record_sent(bytes, remote_relays.len(), now);
    }

    async fn send_cached(&mut self, shared: &Shared, remote_relays: &[SocketAddr], now: TimeMs) {
        let (subscribers, states) = {
            let mut relay = shared.relay.borrow_mut();
            (
                relay.aggregate.subscribers(),
                relay.aggregate.take_changed_cached(),
            )
        };
        let mut sent = 0;
        for states in split_cached(states) {
            let datagram = Datagram::Cached(states);
            let bytes = send_to_all(&shared.socket, &subscribers, &datagram).await;
            shared
                .metrics
                .record_sent("cached", bytes, subscribers.len());
            let bytes = send_to_all(&shared.socket, remote_relays, &datagram).await;
            shared
                .metrics
                .record_sent("cached_far", bytes, remote_relays.len());
            sent += bytes;
        }
        let local_pause_ms = cached_pacing(LOCAL_BYTES_PER_S).pause_ms(sent, subscribers.len());
        let remote_pause_ms = cached_pacing(REMOTE_BYTES_PER_S).pause_ms(sent, remote_relays.len());
        self.cached_due_at = now + local_pause_ms.max(remote_pause_ms);
    }
}

impl StateSchedule {
    fn new(pacing: SendPacing) -> Self {
        StateSchedule {
            pacing,
            due_at: TimeMs::default(),
            engines_sent_at: TimeMs::default(),
            speeds_cursor: None,
            sent_loads: None,
        }
    }

    fn are_engines_due(&self, now: TimeMs) -> bool {
        now.since(self.engines_sent_at) >= ENGINES_INTERVAL_MS
    }

    /// Returns the loads to send, or nothing if they have not changed and no engine states are due.
    fn next_loads(&mut self, shared: &Shared, now: TimeMs) -> Option<RouterLoads> {
        let mut speeds_cursor = self.speeds_cursor;
        let loads = shared.relay.borrow().aggregate.loads(&mut speeds_cursor);
        let same = |sent: &RouterLoads| {
            sent.outstanding == loads.outstanding && sent.routers == loads.routers
        };
        if !self.are_engines_due(now) && self.sent_loads.as_ref().is_some_and(same) {
            self.due_at = now + self.pacing.min_pause_ms;
            return None;
        }
        self.speeds_cursor = speeds_cursor;
        self.sent_loads = Some(loads.clone());
        Some(loads)
    }

    /// Returns the states of all engines if they are due.
    fn due_engines(&mut self, shared: &Shared, now: TimeMs) -> Vec<EngineState> {
        if !self.are_engines_due(now) {
            return Vec::new();
        }
        self.engines_sent_at = now;
        shared.relay.borrow().aggregate.engines()
    }

    fn record_sent(&mut self, bytes: usize, receivers: usize, now: TimeMs) {
        self.due_at = now + self.pacing.pause_ms(bytes, receivers);
    }
}

/// Sends evidence about prompt parts and requests to all routers of the data centre and to remote relays,
/// if some is due.
async fn send_suspects(shared: &Shared, remote_relays: &[SocketAddr], now: TimeMs) {
    let (parts, requests) = {
        let mut relay = shared.relay.borrow_mut();
        relay.suspects.expire(now);
        relay.suspect_requests.expire(now);
        (
            relay.suspects.take_due(now),
            relay.suspect_requests.take_due(now),
        )
    };
    if !requests.is_empty() {
        let datagram = Datagram::SuspectRequests(requests);
        send_to_routers(shared, remote_relays, "suspect_requests", &datagram).await;
    }
    if !parts.is_empty() {
        let datagram = Datagram::Suspects(parts);
        send_to_routers(shared, remote_relays, "suspects", &datagram).await;
    }
}

/// Sends request limits of upstreams to all routers of the data centre and to remote relays, if some are
/// due.
async fn send_limits(shared: &Shared, remote_relays: &[SocketAddr], now: TimeMs) {
    let reports = {
        let mut relay = shared.relay.borrow_mut();
        relay.limits.expire(now);
        relay.limits.take_due(now)
    };
    if !reports.is_empty() {
        let datagram = Datagram::Limits(reports);
        send_to_routers(shared, remote_relays, "limits", &datagram).await;
    }
}

async fn send_to_routers(
    shared: &Shared,
    remote_relays: &[SocketAddr],
    kind: &'static str,
    datagram: &Datagram,
) {
    let mut receivers = shared.relay.borrow().aggregate.routers();
    receivers.extend(remote_relays);
    let bytes = send_to_all(&shared.socket, &receivers, datagram).await;
    shared.metrics.record_sent(kind, bytes, receivers.len());
}

fn data_centre_state(
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
        weights: shared.state.borrow().declarations.updates(now),
        tables: shared.relay.borrow().aggregate.tables(now),
    })
}

/// Splits states of cached parts into datagrams of bounded size.
fn split_cached(states: Vec<CachedState>) -> Vec<Vec<CachedState>> {
    let mut datagrams: Vec<Vec<CachedState>> = Vec::new();
    let mut length = CACHED_DATAGRAM_BYTES;
    for state in states {
        if length >= CACHED_DATAGRAM_BYTES {
            datagrams.push(Vec::new());
            length = 0;
        }
        length += state.parts.max_encoded_bytes();
        if let Some(datagram) = datagrams.last_mut() {
            datagram.push(state);
        }
    }
    datagrams
}

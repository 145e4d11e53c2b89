//! Announcements that a sidecar sends to relays about its own engine.

use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_wire::send_to_all;
use dw_wire::CachedParts;
use dw_wire::CachedState;
use dw_wire::Datagram;
use dw_wire::EngineState;
use dw_wire::Phase;

use crate::sidecar::Shared;

/// Maximum pause between two announcements of the engine's state.
const MAX_STATE_PAUSE_MS: DurationMs = DurationMs(500);

/// Maximum pause while the engine holds outdated weights, as the order of the loads depends on the
/// engines' requests.
const OUTDATED_STATE_PAUSE_MS: DurationMs = DurationMs(250);

/// Pause between two announcements of what the engine has cached.
const CACHED_PAUSE_MS: DurationMs = DurationMs(400);

/// Maximum number of cached parts in an announcement.
const MAX_CACHED_PARTS: usize = 1_000;

/// The part of the state whose changes are announced at once.
#[derive(Clone, Debug, PartialEq)]
struct AnnouncedChanges {
    phase: Phase,
    models: Vec<(ModelId, WeightsVersion)>,
    relays: Vec<SocketAddr>,
}

/// The last announcements about the engine and their times.
#[derive(Default)]
pub(crate) struct EngineAnnouncer {
    sent_changes: Option<AnnouncedChanges>,
    state_sent_at: TimeMs,
    cached_sent_at: TimeMs,
}

impl EngineAnnouncer {
    /// Sends the announcements that are due, and returns when the next one is due.
    pub(crate) async fn announce_due(&mut self, shared: &Shared, now: TimeMs) -> TimeMs {
        let relays = shared.local_relays(now);
        let (state, max_pause_ms) = {
            let current = shared.state.borrow();
            let is_outdated = current.outdated_model().is_some();
            let max_pause_ms = if is_outdated {
                OUTDATED_STATE_PAUSE_MS
            } else {
                MAX_STATE_PAUSE_MS
            };
            (current.announcement(now), max_pause_ms)
        };
        let changes = AnnouncedChanges {
            phase: state.phase,
            models: state.models.clone(),
            relays: relays.clone(),
        };
        if self.sent_changes.as_ref() != Some(&changes)
            || now.since(self.state_sent_at) >= max_pause_ms
        {
            self.state_sent_at = now;
            self.sent_changes = Some(changes);
            self.send_state(shared, &relays, state, now).await;
        }
        if now.since(self.cached_sent_at) >= CACHED_PAUSE_MS {
            self.cached_sent_at = now;
            send_cached(shared, &relays, now).await;
        }
        (self.state_sent_at + max_pause_ms).min(self.cached_sent_at + CACHED_PAUSE_MS)
    }

    async fn send_state(
        &self,
        shared: &Shared,
        relays: &[SocketAddr],
        state: EngineState,
        now: TimeMs,
    ) {
        shared
            .relay
            .borrow_mut()
            .aggregate
            .update_engine(state.clone(), now);
        let relays = shared.addrs_for_send(relays, now);
        let bytes = send_to_all(&shared.socket, &relays, &Datagram::Engine(state)).await;
        shared.metrics.record_sent("engine", bytes, relays.len());
    }
}

async fn send_cached(shared: &Shared, relays: &[SocketAddr], now: TimeMs) {
    let parts = {
        let state = shared.state.borrow();
        let contents = state.contents.borrow();
        let is_reachable = contents.is_reachable();
        is_reachable.then(|| CachedParts::new(contents.newest(MAX_CACHED_PARTS)))
    };
    let Some(parts) = parts else {
        return;
    };
    let state = CachedState {
        engine: shared.engine,
        stamp: now,
        parts,
    };
    shared
        .relay
        .borrow_mut()
        .aggregate
        .update_cached(state.clone());
    let relays = shared.addrs_for_send(relays, now);
    let bytes = send_to_all(&shared.socket, &relays, &Datagram::Cached(vec![state])).await;
    shared.metrics.record_sent("cached", bytes, relays.len());
}

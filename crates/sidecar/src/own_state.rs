//! What a sidecar tells relays of its own engine.

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

/// Longest time between two states of the engine.
const LONGEST_MS: DurationMs = DurationMs(500);

/// The same while the engine is to load weights, as its requests decide whose turn it is.
const BEHIND_MS: DurationMs = DurationMs(250);

/// Time between two tellings of what the engine has cached.
const CACHED_MS: DurationMs = DurationMs(400);

/// Parts that are told at most.
const MAX_CACHED: usize = 1_000;

/// What is told at once when it changes.
#[derive(Clone, Debug, PartialEq)]
struct News {
    phase: Phase,
    models: Vec<(ModelId, WeightsVersion)>,
    relays: Vec<SocketAddr>,
}

/// What was told last, and when.
#[derive(Default)]
pub(crate) struct OwnState {
    news: Option<News>,
    at: TimeMs,
    cached_at: TimeMs,
}

impl OwnState {
    /// Tells the relays what is due, and returns when it is due next.
    pub(crate) async fn tell(&mut self, shared: &Shared, now: TimeMs) -> TimeMs {
        let relays = shared.own_relays(now);
        let (state, max_pause_ms) = {
            let known = shared.state.borrow();
            let is_behind = known.behind().is_some();
            let max_pause_ms = if is_behind { BEHIND_MS } else { LONGEST_MS };
            (known.told(now), max_pause_ms)
        };
        let news = News {
            phase: state.phase,
            models: state.models.clone(),
            relays: relays.clone(),
        };
        if self.news.as_ref() != Some(&news) || now.since(self.at) >= max_pause_ms {
            self.at = now;
            self.news = Some(news);
            self.tell_state(shared, &relays, state, now).await;
        }
        if now.since(self.cached_at) >= CACHED_MS {
            self.cached_at = now;
            tell_cached(shared, &relays, now).await;
        }
        (self.at + max_pause_ms).min(self.cached_at + CACHED_MS)
    }

    async fn tell_state(
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
        let relays = shared.tell_relays(relays, now);
        let bytes = send_to_all(&shared.socket, &relays, &Datagram::Engine(state)).await;
        shared.measures.told("engine", bytes, relays.len());
    }
}

async fn tell_cached(shared: &Shared, relays: &[SocketAddr], now: TimeMs) {
    let parts = {
        let state = shared.state.borrow();
        let contents = state.contents.borrow();
        let is_told = contents.is_reachable();
        is_told.then(|| CachedParts::new(contents.newest(MAX_CACHED)))
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
    let relays = shared.tell_relays(relays, now);
    let bytes = send_to_all(&shared.socket, &relays, &Datagram::Cached(vec![state])).await;
    shared.measures.told("cached", bytes, relays.len());
}

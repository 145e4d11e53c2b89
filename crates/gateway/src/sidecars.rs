//! What sidecars last told of their engines.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::PartKey;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_wire::EngineState;
use dw_wire::Phase;
use dw_wire::ToldParts;

/// Age from which a sidecar's word is not used any more.
const FRESH_MS: DurationMs = DurationMs(1_500);

struct Heard {
    state: EngineState,
    at: TimeMs,
    /// Cached parts that were told last.
    cached: ToldParts,
}

/// What sidecars last told, by the address of the engine.
#[derive(Default)]
pub(crate) struct Sidecars {
    heard: HashMap<SocketAddr, Heard>,
}

/// What changed with a datagram of a sidecar.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Change {
    /// Phase before, if the engine was known.
    pub(crate) before: Option<Phase>,
    /// Whether the engine was restarted.
    pub(crate) restarted: bool,
}

impl Sidecars {
    /// Takes over a datagram, unless it is older than the last one.
    pub(crate) fn hear(&mut self, state: EngineState, now: TimeMs) -> Option<Change> {
        let known = self.heard.get(&state.engine);
        let order = |state: &EngineState| (state.started_ms, state.seq);
        if known.is_some_and(|known| order(&known.state) >= order(&state)) {
            return None;
        }
        let change = Change {
            before: known.map(|known| known.state.phase),
            restarted: known.is_some_and(|known| known.state.born_ms != state.born_ms),
        };
        let known = self.heard.remove(&state.engine);
        let known = known.filter(|_| !change.restarted);
        let mut cached = known.map(|known| known.cached).unwrap_or_default();
        cached.hear(state.cached.as_ref(), now);
        let heard = Heard {
            cached,
            at: now,
            state,
        };
        self.heard.insert(heard.state.engine, heard);
        Some(change)
    }

    fn fresh(&self, engine: SocketAddr, now: TimeMs) -> Option<&Heard> {
        let heard = self.heard.get(&engine)?;
        (now.since(heard.at) < FRESH_MS).then_some(heard)
    }

    /// Returns whether an engine takes requests; an engine without a sidecar does.
    pub(crate) fn is_open(&self, engine: SocketAddr, now: TimeMs) -> bool {
        let heard = self.fresh(engine, now);
        heard.is_none_or(|heard| matches!(heard.state.phase, Phase::Open | Phase::LoadsSoon))
    }

    /// Returns whether an engine is to load weights soon.
    pub(crate) fn loads_soon(&self, engine: SocketAddr, now: TimeMs) -> bool {
        let heard = self.fresh(engine, now);
        heard.is_some_and(|heard| heard.state.phase == Phase::LoadsSoon)
    }

    /// Returns how many leading parts an engine has cached, if its sidecar has told so lately.
    pub(crate) fn cached_parts(
        &self,
        engine: SocketAddr,
        keys: &[PartKey],
        now: TimeMs,
    ) -> Option<usize> {
        self.fresh(engine, now)?.cached.leading(keys, now)
    }

    /// Returns the weights that the sidecar last told.
    pub(crate) fn weights(&self, engine: SocketAddr, model: &ModelId) -> Option<WeightsVersion> {
        let heard = self.heard.get(&engine)?;
        let held = heard.state.models.iter().find(|(name, _)| name == model);
        held.map(|(_, weights)| *weights)
    }

    /// Forgets engines for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.heard.retain(|addr, _| keep(addr));
    }
}

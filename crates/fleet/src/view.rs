//! What one process knows of the engines of a fleet.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::PartKey;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_wire::CachedState;
use dw_wire::EngineState;
use dw_wire::Phase;
use dw_wire::ReportedParts;
use dw_wire::RouterLoads;

/// Age from which what was told of an engine is not used any more; three states of an idle data
/// centre fit in.
const FRESH_MS: DurationMs = DurationMs(2_200);

/// Age from which sums of loads are not used any more.
const LOADS_MS: DurationMs = DurationMs(1_200);

/// Age from which a data centre's routers and measured speeds do not count any more. Routers that
/// cannot be heard go on to use their share of the budget for repeats.
const ROUTERS_MS: DurationMs = DurationMs(30_000);

#[derive(Clone, Debug)]
struct Heard {
    state: EngineState,
    at: TimeMs,
    cached: ReportedParts,
    cached_stamp: TimeMs,
}

#[derive(Clone, Debug, Default)]
struct Centre {
    at: TimeMs,
    routers: u32,
    outstanding: HashMap<SocketAddr, u64>,
    speeds: HashMap<SocketAddr, MeasuredSpeeds>,
}

/// What changed with a state of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Phase before, if the engine was known.
    pub before: Option<Phase>,
    /// Whether the engine was restarted.
    pub restarted: bool,
}

/// What one process knows of engines, by their address.
#[derive(Clone, Debug, Default)]
pub struct View {
    heard: HashMap<SocketAddr, Heard>,
    centres: HashMap<DataCentreId, Centre>,
}

impl View {
    /// Takes over the state of an engine, unless a later one is known.
    ///
    /// An earlier stamp is taken over once nothing was heard for a while: the clock of the sidecar's
    /// VM may have been set back before a restart.
    pub fn update_engine(&mut self, state: EngineState, now: TimeMs) -> Option<Change> {
        let known = self.heard.get(&state.engine);
        let is_later = |known: &Heard| known.state.stamp >= state.stamp;
        if known.is_some_and(|known| is_later(known) && now.since(known.at) < FRESH_MS) {
            return None;
        }
        let change = Change {
            before: known.map(|known| known.state.phase),
            restarted: known.is_some_and(|known| known.state.started_ms != state.started_ms),
        };
        let known = self.heard.remove(&state.engine);
        let known = known.filter(|_| !change.restarted);
        let (cached, cached_stamp) = match known {
            Some(known) => (known.cached, known.cached_stamp),
            None => Default::default(),
        };
        let heard = Heard {
            at: now,
            cached,
            cached_stamp,
            state,
        };
        self.heard.insert(heard.state.engine, heard);
        Some(change)
    }

    /// Takes over which parts an engine has cached, unless a later state is known.
    pub fn update_cached(&mut self, state: &CachedState, now: TimeMs) {
        let Some(heard) = self.heard.get_mut(&state.engine) else {
            return;
        };
        if heard.cached_stamp < state.stamp {
            heard.cached_stamp = state.stamp;
            heard.cached.update(Some(&state.parts), now);
        }
    }

    /// Takes over what the routers of a data centre do.
    pub fn update_loads(&mut self, data_centre: &DataCentreId, loads: &RouterLoads, now: TimeMs) {
        if !self.centres.contains_key(data_centre) {
            self.centres.insert(data_centre.clone(), Centre::default());
        }
        let centre = self.centres.entry(data_centre.clone()).or_default();
        centre.at = now;
        centre.routers = loads.routers;
        centre.outstanding.clear();
        for (engine, tokens) in &loads.outstanding {
            *centre.outstanding.entry(*engine).or_default() += tokens.0;
        }
        centre.speeds.extend(loads.speeds.iter().copied());
    }

    fn fresh(&self, engine: SocketAddr, now: TimeMs) -> Option<&Heard> {
        let heard = self.heard.get(&engine)?;
        (now.since(heard.at) < FRESH_MS).then_some(heard)
    }

    /// Returns what was last told of an engine, if that was lately.
    pub fn engine(&self, engine: SocketAddr, now: TimeMs) -> Option<&EngineState> {
        self.fresh(engine, now).map(|heard| &heard.state)
    }

    /// Returns whether an engine takes requests; one of which nothing is told does.
    pub fn is_open(&self, engine: SocketAddr, now: TimeMs) -> bool {
        let state = self.engine(engine, now);
        state.is_none_or(|state| matches!(state.phase, Phase::Open | Phase::LoadsSoon))
    }

    /// Returns whether an engine is to load weights soon.
    pub fn loads_soon(&self, engine: SocketAddr, now: TimeMs) -> bool {
        let state = self.engine(engine, now);
        state.is_some_and(|state| state.phase == Phase::LoadsSoon)
    }

    /// Returns how many leading parts an engine has cached, if that was told lately.
    pub fn cached_parts(&self, engine: SocketAddr, keys: &[PartKey], now: TimeMs) -> Option<usize> {
        self.fresh(engine, now)?.cached.leading(keys, now)
    }

    /// Returns the weights that were last told.
    pub fn weights(&self, engine: SocketAddr, model: &ModelId) -> Option<WeightsVersion> {
        let heard = self.heard.get(&engine)?;
        let held = heard.state.models.iter().find(|(name, _)| name == model);
        held.map(|(_, weights)| *weights)
    }

    /// Returns the outstanding prompt tokens of all routers at an engine.
    pub fn outstanding(&self, engine: SocketAddr, now: TimeMs) -> Tokens {
        let fresh = |centre: &&Centre| now.since(centre.at) < LOADS_MS;
        let centres = self.centres.values().filter(fresh);
        let tokens = centres.filter_map(|centre| centre.outstanding.get(&engine));
        Tokens(tokens.sum())
    }

    /// Returns what all routers have measured of the speed of an engine.
    pub fn speeds(&self, engine: SocketAddr, now: TimeMs) -> MeasuredSpeeds {
        let speeds = || self.counted(now).filter_map(|c| c.speeds.get(&engine));
        MeasuredSpeeds {
            single_prompts: speeds().map(|speeds| speeds.single_prompts).sum(),
            queued_prompts: speeds().map(|speeds| speeds.queued_prompts).sum(),
        }
    }

    /// Returns the number of routers, as far as data centres were heard of.
    pub fn routers(&self, now: TimeMs) -> u32 {
        self.counted(now).map(|centre| centre.routers).sum()
    }

    fn counted(&self, now: TimeMs) -> impl Iterator<Item = &Centre> {
        let counts = move |centre: &&Centre| now.since(centre.at) < ROUTERS_MS;
        self.centres.values().filter(counts)
    }

    /// Forgets engines for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.heard.retain(|addr, _| keep(addr));
        for centre in self.centres.values_mut() {
            centre.speeds.retain(|addr, _| keep(addr));
        }
    }
}

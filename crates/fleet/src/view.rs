//! Engine states and loads as one process knows them.

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

/// Age at which the state of an engine expires. An idle data centre announces three times within it.
const ENGINE_EXPIRY_MS: DurationMs = DurationMs(2_200);

/// Age at which summed loads expire.
const LOADS_EXPIRY_MS: DurationMs = DurationMs(1_200);

/// Age at which the router count and the measured speeds of a data centre expire. It is long, as
/// routers in an unreachable data centre still use their share of the retry budget.
const ROUTERS_EXPIRY_MS: DurationMs = DurationMs(30_000);

/// Announcements of an engine without a gap, in which its sidecar has reached the same start all the time.
#[derive(Clone, Copy, Debug)]
struct SteadyRun {
    /// Stamp of the first announcement.
    since: TimeMs,
    /// When that was received.
    received_at: TimeMs,
    /// Stamp of the last announcement but one: a sidecar that stood still before the last one may have sent an old report
    /// with it.
    until: TimeMs,
}

impl SteadyRun {
    /// Continues the run of the known state, or begins another one.
    fn after(known: Option<&KnownEngine>, state: &EngineState, now: TimeMs) -> Self {
        let continues = |known: &&KnownEngine| {
            known.state.started_ms == state.started_ms
                && known.state.phase != Phase::Unreachable
                && known.state.stamp <= state.stamp
                && now.since(known.received_at) < ENGINE_EXPIRY_MS
        };
        match known.filter(continues) {
            Some(known) => SteadyRun {
                until: known.state.stamp,
                ..known.steady
            },
            None => SteadyRun {
                since: state.stamp,
                received_at: now,
                until: state.stamp,
            },
        }
    }
}

#[derive(Clone, Debug)]
struct KnownEngine {
    state: EngineState,
    received_at: TimeMs,
    steady: SteadyRun,
    cached: ReportedParts,
    cached_stamp: TimeMs,
}

#[derive(Clone, Debug, Default)]
struct DataCentreLoads {
    received_at: TimeMs,
    routers: u32,
    outstanding: HashMap<SocketAddr, u64>,
    speeds: HashMap<SocketAddr, MeasuredSpeeds>,
}

/// Change made by a new state of an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Previous phase, if the engine was known.
    pub before: Option<Phase>,
    /// Whether the engine has restarted since the previous state.
    pub restarted: bool,
}

/// Known engines by address, and loads by data centre.
#[derive(Clone, Debug, Default)]
pub struct View {
    engines: HashMap<SocketAddr, KnownEngine>,
    data_centres: HashMap<DataCentreId, DataCentreLoads>,
}

impl View {
    /// Updates the state of an engine, unless a later one is known.
    ///
    /// An earlier stamp is accepted once the known state has expired: the clock of the sidecar's VM
    /// may have been set back before a restart.
    pub fn update_engine(&mut self, state: EngineState, now: TimeMs) -> Option<Change> {
        let known = self.engines.get(&state.engine);
        let is_later = |known: &KnownEngine| known.state.stamp >= state.stamp;
        if known
            .is_some_and(|known| is_later(known) && now.since(known.received_at) < ENGINE_EXPIRY_MS)
        {
            return None;
        }
        let change = Change {
            before: known.map(|known| known.state.phase),
            restarted: known.is_some_and(|known| known.state.started_ms != state.started_ms),
        };
        let steady = SteadyRun::after(known, &state, now);
        let known = self.engines.remove(&state.engine);
        let known = known.filter(|_| !change.restarted);
        let (cached, cached_stamp) = match known {
            Some(known) => (known.cached, known.cached_stamp),
            None => Default::default(),
        };
        let updated = KnownEngine {
            received_at: now,
            steady,
            cached,
            cached_stamp,
            state,
        };
        self.engines.insert(updated.state.engine, updated);
        Some(change)
    }

    /// Updates which prompt parts an engine has cached, unless a later state is known.
    pub fn update_cached(&mut self, state: &CachedState, now: TimeMs) {
        let Some(known) = self.engines.get_mut(&state.engine) else {
            return;
        };
        if known.cached_stamp < state.stamp {
            known.cached_stamp = state.stamp;
            known.cached.update(Some(&state.parts), now);
        }
    }

    /// Replaces the summed loads of the routers of a data centre and merges their measured speeds.
    pub fn update_loads(&mut self, data_centre: &DataCentreId, loads: &RouterLoads, now: TimeMs) {
        if !self.data_centres.contains_key(data_centre) {
            self.data_centres
                .insert(data_centre.clone(), DataCentreLoads::default());
        }
        let centre = self.data_centres.entry(data_centre.clone()).or_default();
        centre.received_at = now;
        centre.routers = loads.routers;
        centre.outstanding.clear();
        for (engine, tokens) in &loads.outstanding {
            *centre.outstanding.entry(*engine).or_default() += tokens.0;
        }
        centre.speeds.extend(loads.speeds.iter().copied());
    }

    fn fresh(&self, engine: SocketAddr, now: TimeMs) -> Option<&KnownEngine> {
        let known = self.engines.get(&engine)?;
        (now.since(known.received_at) < ENGINE_EXPIRY_MS).then_some(known)
    }

    /// Returns the last state of an engine, unless it has expired.
    pub fn engine(&self, engine: SocketAddr, now: TimeMs) -> Option<&EngineState> {
        self.fresh(engine, now).map(|known| &known.state)
    }

    /// Returns the latest start of an engine that its sidecar has announced, however long ago.
    pub fn started_ms(&self, engine: SocketAddr) -> Option<u64> {
        let known = self.engines.get(&engine)?;
        Some(known.state.started_ms)
    }

    /// Returns the time by the sidecar's clock for which it has reached this start of an engine without a gap since a
    /// moment.
    pub fn steady_ms(
        &self,
        engine: SocketAddr,
        started_ms: u64,
        since: TimeMs,
        now: TimeMs,
    ) -> DurationMs {
        let known = self.fresh(engine, now);
        let reached = known.filter(|known| {
            known.state.started_ms == started_ms && known.state.phase != Phase::Unreachable
        });
        reached.map_or(DurationMs::ZERO, |known| {
            let run = known.steady;
            let before_ms = since.since(run.received_at);
            run.until.since(run.since).saturating_sub(before_ms)
        })
    }

    /// Returns the time since the sidecar of an engine was heard, if it ever was.
    pub fn age_ms(&self, engine: SocketAddr, now: TimeMs) -> Option<DurationMs> {
        let known = self.engines.get(&engine)?;
        Some(now.since(known.received_at))
    }

    /// Returns whether any sidecar was heard lately.
    pub fn has_live_engines(&self, now: TimeMs) -> bool {
        self.engines
            .keys()
            .any(|engine| self.fresh(*engine, now).is_some())
    }

    /// Returns whether an engine takes requests; true if its state is unknown or has expired.
    pub fn is_open(&self, engine: SocketAddr, now: TimeMs) -> bool {
        let state = self.engine(engine, now);
        state.is_none_or(|state| matches!(state.phase, Phase::Open | Phase::LoadsSoon))
    }

    /// Returns whether an engine will load weights soon.
    pub fn loads_soon(&self, engine: SocketAddr, now: TimeMs) -> bool {
        let state = self.engine(engine, now);
        state.is_some_and(|state| state.phase == Phase::LoadsSoon)
    }

    /// Returns how many leading parts an engine has cached, unless its state has expired.
    pub fn cached_parts(&self, engine: SocketAddr, keys: &[PartKey], now: TimeMs) -> Option<usize> {
        self.fresh(engine, now)?.cached.leading(keys, now)
    }

    /// Returns the weights version that an engine last announced for a model.
    pub fn weights(&self, engine: SocketAddr, model: &ModelId) -> Option<WeightsVersion> {
        let known = self.engines.get(&engine)?;
        let held = known.state.models.iter().find(|(name, _)| name == model);
        held.map(|(_, weights)| *weights)
    }

    /// Returns the outstanding prompt tokens of all routers at an engine, without expired loads.
    pub fn outstanding(&self, engine: SocketAddr, now: TimeMs) -> Tokens {
        let fresh = |centre: &&DataCentreLoads| now.since(centre.received_at) < LOADS_EXPIRY_MS;
        let centres = self.data_centres.values().filter(fresh);
        let tokens = centres.filter_map(|centre| centre.outstanding.get(&engine));
        Tokens(tokens.sum())
    }

    /// Returns the speed of an engine as measured by all routers.
    pub fn speeds(&self, engine: SocketAddr, now: TimeMs) -> MeasuredSpeeds {
        let speeds = || self.recent_loads(now).filter_map(|c| c.speeds.get(&engine));
        MeasuredSpeeds {
            single_prompts: speeds().map(|speeds| speeds.single_prompts).sum(),
            queued_prompts: speeds().map(|speeds| speeds.queued_prompts).sum(),
        }
    }

    /// Returns the number of routers in all data centres with recent loads.
    pub fn routers(&self, now: TimeMs) -> u32 {
        self.recent_loads(now).map(|centre| centre.routers).sum()
    }

    /// Returns the number of routers in all data centres as last announced, however long ago.
    pub fn last_known_routers(&self) -> u32 {
        self.data_centres
            .values()
            .map(|centre| centre.routers)
            .sum()
    }

    fn recent_loads(&self, now: TimeMs) -> impl Iterator<Item = &DataCentreLoads> {
        let is_recent =
            move |centre: &&DataCentreLoads| now.since(centre.received_at) < ROUTERS_EXPIRY_MS;
        self.data_centres.values().filter(is_recent)
    }

    /// Removes engines for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&SocketAddr) -> bool) {
        self.engines.retain(|addr, _| keep(addr));
        for centre in self.data_centres.values_mut() {
            centre.speeds.retain(|addr, _| keep(addr));
        }
    }
}

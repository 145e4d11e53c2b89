//! State of the local data centre that a relay aggregates and announces.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::NodeId;
use dw_base::PrefixKey;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_wire::CachedParts;
use dw_wire::CachedState;
use dw_wire::EngineState;
use dw_wire::RouterLoads;
use dw_wire::RouterState;
use dw_wire::TableProgress;

use crate::table_hints::latest;

/// Age at which the state of a router expires.
const ROUTER_EXPIRY_MS: DurationMs = DurationMs(3_000);

/// Age at which the state of an engine expires and is no longer announced. An idle sidecar
/// announces twice within this time.
const ENGINE_EXPIRY_MS: DurationMs = DurationMs(1_300);

/// Engines whose measured speeds one announcement carries; the others follow in later ones.
const MAX_SPEEDS_PER_ANNOUNCEMENT: usize = 12;

#[derive(Clone, Debug)]
struct Router {
    from: SocketAddr,
    received_at: TimeMs,
    stamp: TimeMs,
    is_subscribed: bool,
    outstanding: Vec<(SocketAddr, Tokens)>,
    tables: Option<TableProgress>,
    speeds: HashMap<SocketAddr, MeasuredSpeeds>,
}

#[derive(Clone, Debug)]
struct Engine {
    state: EngineState,
    received_at: TimeMs,
    has_unsent_change: bool,
}

#[derive(Clone, Debug)]
struct Cached {
    stamp: TimeMs,
    parts: CachedParts,
    has_unsent_change: bool,
}

/// Routers and engines of the local data centre, as announced to a relay.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    routers: BTreeMap<NodeId, Router>,
    engines: BTreeMap<SocketAddr, Engine>,
    cached: BTreeMap<SocketAddr, Cached>,
}

/// Returns the hash of a router's name, under which [`RouterLoads`] lists the router.
pub fn router_hash(router: &NodeId) -> u32 {
    PrefixKey::root(router.as_str()).0 as u32
}

impl Aggregate {
    /// Updates the state of a router unless a later one is known; returns whether the router was not
    /// known.
    pub fn update_router(&mut self, from: SocketAddr, state: RouterState, now: TimeMs) -> bool {
        let known = self.routers.remove(&state.router);
        let is_first = known.is_none();
        let is_later = |known: &Router| known.stamp >= state.stamp;
        if let Some(known) = known
            .as_ref()
            .filter(|known| is_later(known) && now.since(known.received_at) < ROUTER_EXPIRY_MS)
        {
            self.routers.insert(state.router, known.clone());
            return false;
        }
        let mut speeds = known.map(|known| known.speeds).unwrap_or_default();
        speeds.extend(state.speeds);
        let router = Router {
            from,
            received_at: now,
            stamp: state.stamp,
            is_subscribed: state.subscribed,
            outstanding: state.outstanding,
            tables: state.tables,
            speeds,
        };
        self.routers.insert(state.router, router);
        is_first
    }

    /// Updates the state of an engine unless a later one is known; returns whether a change is
    /// to be announced at once.
    pub fn update_engine(&mut self, state: EngineState, now: TimeMs) -> bool {
        let known = self.engines.get(&state.engine);
        let is_later = |known: &Engine| known.state.stamp >= state.stamp;
        if known
            .is_some_and(|known| is_later(known) && now.since(known.received_at) < ENGINE_EXPIRY_MS)
        {
            return false;
        }
        let same = |known: &Engine| {
            let known = &known.state;
            known.phase == state.phase
                && known.started_ms == state.started_ms
                && known.models == state.models
        };
        let has_unsent_change = known.is_none_or(|known| known.has_unsent_change || !same(known));
        let engine = Engine {
            state,
            received_at: now,
            has_unsent_change,
        };
        self.engines.insert(engine.state.engine, engine);
        has_unsent_change
    }

    /// Updates which prompt parts an engine has cached.
    pub fn update_cached(&mut self, state: CachedState) {
        let known = self.cached.get(&state.engine);
        if known.is_some_and(|known| known.stamp == state.stamp) {
            return;
        }
        let cached = Cached {
            stamp: state.stamp,
            parts: state.parts,
            has_unsent_change: true,
        };
        self.cached.insert(state.engine, cached);
    }

    /// Removes routers and engines whose state has expired.
    pub fn remove_stale(&mut self, now: TimeMs) {
        self.routers
            .retain(|_, router| now.since(router.received_at) < ROUTER_EXPIRY_MS);
        self.engines
            .retain(|_, engine| now.since(engine.received_at) < ENGINE_EXPIRY_MS);
        let engines = &self.engines;
        self.cached.retain(|addr, _| engines.contains_key(addr));
    }

    /// Returns the addresses of all routers.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.routers.values().map(|router| router.from).collect()
    }

    /// Returns the addresses of the routers that are subscribed to this relay.
    pub fn subscribers(&self) -> Vec<SocketAddr> {
        let subscribers = self.routers.values().filter(|router| router.is_subscribed);
        subscribers.map(|router| router.from).collect()
    }

    /// Returns the engines with changes that have not been announced, and marks them as announced.
    pub fn take_changed_engines(&mut self) -> Vec<EngineState> {
        let changed = self
            .engines
            .values_mut()
            .filter(|engine| engine.has_unsent_change);
        changed
            .map(|engine| {
                engine.has_unsent_change = false;
                engine.state.clone()
            })
            .collect()
    }

    /// Returns all engines.
    pub fn engines(&self) -> Vec<EngineState> {
        let engines = self.engines.values();
        engines.map(|engine| engine.state.clone()).collect()
    }

    /// Returns the cached parts that have not been announced, and marks them as announced.
    pub fn take_changed_cached(&mut self) -> Vec<CachedState> {
        let changed = self
            .cached
            .iter_mut()
            .filter(|(_, cached)| cached.has_unsent_change);
        changed
            .map(|(engine, cached)| {
                cached.has_unsent_change = false;
                CachedState {
                    engine: *engine,
                    stamp: cached.stamp,
                    parts: cached.parts.clone(),
                }
            })
            .collect()
    }

    /// Returns the latest progress of any router in reading the platform's tables.
    pub fn tables(&self, now: TimeMs) -> Option<TableProgress> {
        let routers = self.routers.values();
        let all = routers.filter_map(|router| {
            let tables = router.tables?;
            let age_ms = tables.age_ms + now.since(router.received_at);
            Some(TableProgress { age_ms, ..tables })
        });
        all.reduce(latest)
    }

    /// Returns the sums over all routers. `speeds_after` is the last engine whose speeds were sent
    /// to these receivers; it is advanced.
    pub fn loads(&self, speeds_after: &mut Option<SocketAddr>) -> RouterLoads {
        let mut outstanding: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for (engine, tokens) in self.routers.values().flat_map(|router| &router.outstanding) {
            *outstanding.entry(*engine).or_default() += tokens.0;
        }
        let routers = self.routers.iter();
        RouterLoads {
            routers: u32::try_from(self.routers.len()).unwrap_or(u32::MAX),
            outstanding: outstanding
                .into_iter()
                .map(|(engine, tokens)| (engine, Tokens(tokens)))
                .collect(),
            speeds: self.next_speeds(speeds_after),
            heard: routers
                .map(|(name, router)| (router_hash(name), router.stamp))
                .collect(),
        }
    }

    /// Returns the summed speeds of the engines after `speeds_after`, up to
    /// [`MAX_SPEEDS_PER_ANNOUNCEMENT`], and starts over at the end.
    fn next_speeds(
        &self,
        speeds_after: &mut Option<SocketAddr>,
    ) -> Vec<(SocketAddr, MeasuredSpeeds)> {
        let mut all: BTreeMap<SocketAddr, Vec<MeasuredSpeeds>> = BTreeMap::new();
        for (engine, speeds) in self.routers.values().flat_map(|router| &router.speeds) {
            all.entry(*engine).or_default().push(*speeds);
        }
        let after = *speeds_after;
        let is_next = |engine: &SocketAddr| after.is_none_or(|after| *engine > after);
        let mut next: Vec<SocketAddr> = all.keys().copied().filter(is_next).collect();
        next.truncate(MAX_SPEEDS_PER_ANNOUNCEMENT);
        *speeds_after = match next.len() == MAX_SPEEDS_PER_ANNOUNCEMENT {
            true => next.last().copied(),
            false => None,
        };
        let sum = |engine: SocketAddr| {
            let speeds = all.get(&engine).into_iter().flatten();
            let sums = MeasuredSpeeds {
                single_prompts: speeds.clone().map(|speeds| speeds.single_prompts).sum(),
                queued_prompts: speeds.map(|speeds| speeds.queued_prompts).sum(),
            };
            (engine, sums)
        };
        next.into_iter().map(sum).collect()
    }
}

//! What a relay knows of its own data centre and tells of it.

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

/// Age from which a router counts as gone.
const ROUTER_MS: DurationMs = DurationMs(3_000);

/// Age from which the state of an engine is not told any more; two states of an idle sidecar fit in.
const ENGINE_MS: DurationMs = DurationMs(1_300);

/// Engines whose measured speeds are told at once; the others follow in turn.
const SPEEDS_AT_ONCE: usize = 12;

#[derive(Clone, Debug)]
struct Router {
    from: SocketAddr,
    at: TimeMs,
    stamp: TimeMs,
    listens: bool,
    outstanding: Vec<(SocketAddr, Tokens)>,
    tables: Option<TableProgress>,
    speeds: HashMap<SocketAddr, MeasuredSpeeds>,
}

#[derive(Clone, Debug)]
struct Engine {
    state: EngineState,
    at: TimeMs,
    is_news: bool,
}

#[derive(Clone, Debug)]
struct Cached {
    stamp: TimeMs,
    parts: CachedParts,
    is_news: bool,
}

/// Routers and engines of the own data centre, as a relay hears them.
#[derive(Clone, Debug, Default)]
pub struct Aggregate {
    routers: BTreeMap<NodeId, Router>,
    engines: BTreeMap<SocketAddr, Engine>,
    cached: BTreeMap<SocketAddr, Cached>,
}

/// Returns the hash of a router's name by which it finds its own part of the sums.
pub fn router_hash(router: &NodeId) -> u32 {
    PrefixKey::root(router.as_str()).0 as u32
}

impl Aggregate {
    /// Takes over the state of a router; returns whether it is the first one.
    pub fn update_router(&mut self, from: SocketAddr, state: RouterState, now: TimeMs) -> bool {
        let known = self.routers.remove(&state.router);
        let is_first = known.is_none();
        let is_later = |known: &Router| known.stamp >= state.stamp;
        if let Some(known) = known
            .as_ref()
            .filter(|known| is_later(known) && now.since(known.at) < ROUTER_MS)
        {
            self.routers.insert(state.router, known.clone());
            return false;
        }
        let mut speeds = known.map(|known| known.speeds).unwrap_or_default();
        speeds.extend(state.speeds);
        let router = Router {
            from,
            at: now,
            stamp: state.stamp,
            listens: state.subscribed,
            outstanding: state.outstanding,
            tables: state.tables,
            speeds,
        };
        self.routers.insert(state.router, router);
        is_first
    }

    /// Takes over the state of an engine; returns whether others should hear of it at once.
    pub fn update_engine(&mut self, state: EngineState, now: TimeMs) -> bool {
        let known = self.engines.get(&state.engine);
        let is_later = |known: &Engine| known.state.stamp >= state.stamp;
        if known.is_some_and(|known| is_later(known) && now.since(known.at) < ENGINE_MS) {
            return false;
        }
        let same = |known: &Engine| {
            let known = &known.state;
            known.phase == state.phase
                && known.started_ms == state.started_ms
                && known.models == state.models
        };
        let is_news = known.is_none_or(|known| known.is_news || !same(known));
        let engine = Engine {
            state,
            at: now,
            is_news,
        };
        self.engines.insert(engine.state.engine, engine);
        is_news
    }

    /// Takes over which parts an engine has cached.
    pub fn update_cached(&mut self, state: CachedState) {
        let known = self.cached.get(&state.engine);
        if known.is_some_and(|known| known.stamp == state.stamp) {
            return;
        }
        let cached = Cached {
            stamp: state.stamp,
            parts: state.parts,
            is_news: true,
        };
        self.cached.insert(state.engine, cached);
    }

    /// Forgets routers and engines that have not been heard lately.
    pub fn remove_stale(&mut self, now: TimeMs) {
        self.routers
            .retain(|_, router| now.since(router.at) < ROUTER_MS);
        self.engines
            .retain(|_, engine| now.since(engine.at) < ENGINE_MS);
        let engines = &self.engines;
        self.cached.retain(|addr, _| engines.contains_key(addr));
    }

    /// Returns the addresses of all routers.
    pub fn routers(&self) -> Vec<SocketAddr> {
        self.routers.values().map(|router| router.from).collect()
    }

    /// Returns the addresses of the routers that listen to this relay.
    pub fn subscribers(&self) -> Vec<SocketAddr> {
        let listeners = self.routers.values().filter(|router| router.listens);
        listeners.map(|router| router.from).collect()
    }

    /// Returns the engines whose state others should hear at once, and takes them as told.
    pub fn take_changed_engines(&mut self) -> Vec<EngineState> {
        let news = self.engines.values_mut().filter(|engine| engine.is_news);
        news.map(|engine| {
            engine.is_news = false;
            engine.state.clone()
        })
        .collect()
    }

    /// Returns all engines.
    pub fn engines(&self) -> Vec<EngineState> {
        let engines = self.engines.values();
        engines.map(|engine| engine.state.clone()).collect()
    }

    /// Returns what has changed of the cached parts, and takes it as told.
    pub fn take_changed_cached(&mut self) -> Vec<CachedState> {
        let news = self.cached.iter_mut().filter(|(_, cached)| cached.is_news);
        news.map(|(engine, cached)| {
            cached.is_news = false;
            CachedState {
                engine: *engine,
                stamp: cached.stamp,
                parts: cached.parts.clone(),
            }
        })
        .collect()
    }

    /// Returns what the routers have read of the platform's tables, the latest of all.
    pub fn tables(&self, now: TimeMs) -> Option<TableProgress> {
        let routers = self.routers.values();
        let all = routers.filter_map(|router| {
            let tables = router.tables?;
            let age_ms = tables.age_ms + now.since(router.at);
            Some(TableProgress { age_ms, ..tables })
        });
        all.reduce(latest)
    }

    /// Adds up what routers do. `speeds_after` is the engine whose speeds the receivers were told of
    /// last.
    pub fn loads(&self, speeds_after: &mut Option<SocketAddr>) -> RouterLoads {
        let mut outstanding: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for (engine, tokens) in self.routers.values().flat_map(|router| &router.outstanding) {
            *outstanding.entry(*engine).or_default() += tokens.0;
        }
        let heard = self.routers.iter();
        RouterLoads {
            routers: u32::try_from(self.routers.len()).unwrap_or(u32::MAX),
            outstanding: outstanding
                .into_iter()
                .map(|(engine, tokens)| (engine, Tokens(tokens)))
                .collect(),
            speeds: self.next_speeds(speeds_after),
            heard: heard
                .map(|(name, router)| (router_hash(name), router.stamp))
                .collect(),
        }
    }

    /// Returns the measured speeds of the engines that are next in turn.
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
        next.truncate(SPEEDS_AT_ONCE);
        *speeds_after = match next.len() == SPEEDS_AT_ONCE {
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

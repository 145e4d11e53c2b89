//! What a sidecar knows.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::MeasuredSpeeds;
use dw_base::ModelId;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_cache::Contents;
use dw_order::Namings;
use dw_order::Newest;
use dw_order::Peer;
use dw_order::Rollout;
use dw_order::TurnInputs;
use dw_port::Report;
use dw_wire::EngineState;
use dw_wire::Phase;
use dw_wire::RouterState;

/// Age from which another process counts as not heard.
const FRESH_MS: DurationMs = DurationMs(3_000);

/// A router that has been heard.
struct Router {
    from: SocketAddr,
    state: RouterState,
    at: TimeMs,
}

/// A model whose named weights the engine does not have yet.
#[derive(Clone, Debug)]
pub(crate) struct Behind {
    pub(crate) model: ModelId,
    pub(crate) held: WeightsVersion,
    pub(crate) newest: Newest,
}

/// A turn of the engine to load named weights.
#[derive(Clone, Debug)]
pub(crate) struct Due {
    pub(crate) behind: Behind,
    pub(crate) inputs: TurnInputs,
}

struct HeardPeer {
    state: EngineState,
    at: TimeMs,
}

/// What a sidecar knows.
pub(crate) struct State {
    engine: SocketAddr,
    limit_ms: DurationMs,
    pub(crate) phase: Phase,
    pub(crate) report: Option<Report>,
    pub(crate) namings: Namings,
    routers: HashMap<NodeId, Router>,
    peers: HashMap<SocketAddr, HeardPeer>,
    engines: Vec<SocketAddr>,
    /// What the engine has cached.
    pub(crate) contents: Rc<RefCell<Contents>>,
}

impl State {
    /// Creates the state of a sidecar that knows nothing.
    pub(crate) fn new(engine: SocketAddr, limit_ms: DurationMs) -> Self {
        State {
            engine,
            limit_ms,
            phase: Phase::Unreachable,
            report: None,
            namings: Namings::default(),
            routers: HashMap::new(),
            peers: HashMap::new(),
            engines: Vec::new(),
            contents: Rc::default(),
        }
    }

    /// Returns the address of the engine.
    pub(crate) fn engine(&self) -> SocketAddr {
        self.engine
    }

    /// Takes over a router's datagram, unless it is older than the last one.
    pub(crate) fn hear_router(&mut self, from: SocketAddr, state: RouterState, now: TimeMs) {
        let order = |state: &RouterState| (state.started_ms, state.seq);
        let known = self.routers.get(&state.router);
        if known.is_some_and(|known| order(&known.state) >= order(&state)) {
            return;
        }
        self.engines.clone_from(&state.engines);
        let router = Router {
            from,
            at: now,
            state,
        };
        self.routers.insert(router.state.router.clone(), router);
    }

    /// Takes over another sidecar's datagram, unless it is older than the last one.
    pub(crate) fn hear_peer(&mut self, state: EngineState, now: TimeMs) {
        let order = |state: &EngineState| (state.started_ms, state.seq);
        let known = self.peers.get(&state.engine);
        if known.is_some_and(|known| order(&known.state) >= order(&state)) {
            return;
        }
        let peer = HeardPeer { state, at: now };
        self.peers.insert(peer.state.engine, peer);
    }

    /// Forgets routers that have not been heard lately.
    pub(crate) fn forget(&mut self, now: TimeMs) {
        self.routers
            .retain(|_, router| now.since(router.at) < FRESH_MS);
        let engines = &self.engines;
        self.peers
            .retain(|addr, peer| now.since(peer.at) < FRESH_MS || engines.contains(addr));
    }

    /// Returns the addresses of routers with their outstanding tokens.
    pub(crate) fn routers(&self) -> impl Iterator<Item = (SocketAddr, Tokens)> + '_ {
        let routers = self.routers.values();
        routers.map(|router| (router.from, router.state.outstanding_tokens))
    }

    /// Returns the addresses of the other engines.
    pub(crate) fn others(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.engines
            .iter()
            .copied()
            .filter(|addr| *addr != self.engine)
    }

    /// Returns the outstanding tokens of all routers.
    pub(crate) fn outstanding(&self) -> Tokens {
        Tokens(self.routers().map(|(_, tokens)| tokens.0).sum())
    }

    /// Returns what all routers have measured of the engine's speed.
    pub(crate) fn speeds(&self) -> MeasuredSpeeds {
        let speeds = || self.routers.values().map(|router| router.state.speeds);
        MeasuredSpeeds {
            computing: speeds().map(|speeds| speeds.computing).sum(),
            draining: speeds().map(|speeds| speeds.draining).sum(),
        }
    }

    /// Returns the model whose named weights the engine does not have yet.
    pub(crate) fn behind(&self) -> Option<Behind> {
        let report = self.report.as_ref()?;
        report.models.iter().find_map(|(model, held)| {
            let newest = self.namings.newest(model)?;
            (*held < newest.weights).then(|| Behind {
                model: model.clone(),
                held: *held,
                newest,
            })
        })
    }

    /// Returns the model whose named weights the engine is to load now.
    pub(crate) fn due(&self, now: TimeMs) -> Option<Due> {
        let behind = self.behind()?;
        let due = |rollout: &Rollout<'_>| rollout.is_due().then(|| rollout.inputs());
        let inputs = self.rollout(&behind, now, due).flatten()?;
        Some(Due { behind, inputs })
    }

    /// Returns the phase to tell, which says whether an open engine is to load soon.
    pub(crate) fn told_phase(&self, now: TimeMs) -> Phase {
        let is_soon = |rollout: &Rollout<'_>| rollout.is_soon();
        let soon = |behind: &Behind| self.rollout(behind, now, is_soon).unwrap_or(false);
        match self.phase {
            Phase::Open if self.behind().is_some_and(|behind| soon(&behind)) => Phase::LoadsSoon,
            phase => phase,
        }
    }

    /// Returns what `decide` says of the rollout of weights that the engine does not have yet.
    fn rollout<T>(
        &self,
        behind: &Behind,
        now: TimeMs,
        decide: impl Fn(&Rollout<'_>) -> T,
    ) -> Option<T> {
        let behind_ms = self.namings.behind_ms(&behind.model, behind.held, now)?;
        let peers = self.known_peers(&behind.model, now);
        Some(decide(&Rollout {
            engine: self.engine,
            weights: behind.held,
            requests: self.report.as_ref().map_or(0, |r| r.waiting + r.running),
            named: behind.newest.weights,
            behind_ms,
            limit_ms: self.limit_ms,
            peers: &peers,
        }))
    }

    fn known_peers(&self, model: &ModelId, now: TimeMs) -> Vec<Peer> {
        let peer = |engine: SocketAddr| {
            let heard = self.peers.get(&engine);
            let fresh = heard.filter(|peer| now.since(peer.at) < FRESH_MS);
            let held = fresh.and_then(|peer| {
                let models = &peer.state.models;
                models.iter().find(|(name, _)| name == model)
            });
            let phase = fresh.map(|peer| peer.state.phase);
            let absent = phase == Some(Phase::Unreachable);
            Peer {
                engine,
                requests: fresh.map_or(0, |peer| peer.state.waiting + peer.state.running),
                weights: held.map(|(_, weights)| *weights).filter(|_| !absent),
                loading: phase == Some(Phase::Loading),
                closing: phase == Some(Phase::Closing),
            }
        };
        self.others().map(peer).collect()
    }
}

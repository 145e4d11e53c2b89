//! What a sidecar knows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_cache::Contents;
use dw_fleet::Members;
use dw_fleet::View;
use dw_order::NewestWeights;
use dw_order::Peer;
use dw_order::Rollout;
use dw_order::TurnInputs;
use dw_order::WeightsDeclarations;
use dw_port::Report;
use dw_wire::EngineState;
use dw_wire::Phase;

/// A model whose named weights the engine does not have yet.
#[derive(Clone, Debug)]
pub(crate) struct Behind {
    pub(crate) model: ModelId,
    pub(crate) held: WeightsVersion,
    pub(crate) newest: NewestWeights,
}

/// A turn of the engine to load named weights.
#[derive(Clone, Debug)]
pub(crate) struct Due {
    pub(crate) behind: Behind,
    pub(crate) inputs: TurnInputs,
}

/// What a sidecar knows.
pub(crate) struct State {
    engine: SocketAddr,
    limit_ms: DurationMs,
    pub(crate) phase: Phase,
    pub(crate) report: Option<Report>,
    pub(crate) namings: WeightsDeclarations,
    /// Engines that routers tell of.
    pub(crate) members: Members,
    /// What relays tell of the other engines.
    pub(crate) view: View,
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
            namings: WeightsDeclarations::default(),
            members: Members::default(),
            view: View::default(),
            contents: Rc::default(),
        }
    }

    /// Returns the address of the engine.
    pub(crate) fn engine(&self) -> SocketAddr {
        self.engine
    }

    /// Returns the state of the engine for other processes.
    pub(crate) fn told(&self, stamp: TimeMs) -> EngineState {
        let report = self.report.as_ref();
        EngineState {
            engine: self.engine,
            stamp,
            phase: self.told_phase(stamp),
            started_ms: report.map_or(0, |report| report.started_ms),
            models: report.map_or_else(Vec::new, |report| report.models.clone()),
            waiting: report.map_or(0, |report| report.waiting),
            running: report.map_or(0, |report| report.running),
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
            declared: behind.newest.weights,
            behind_ms,
            limit_ms: self.limit_ms,
            peers: &peers,
        }))
    }

    fn known_peers(&self, model: &ModelId, now: TimeMs) -> Vec<Peer> {
        let peer = |engine: SocketAddr| {
            let told = self.view.engine(engine, now);
            let held = told.and_then(|told| told.models.iter().find(|(name, _)| name == model));
            let phase = told.map(|told| told.phase);
            let absent = phase == Some(Phase::Unreachable);
            Peer {
                engine,
                requests: told.map_or(0, |told| told.waiting + told.running),
                weights: held.map(|(_, weights)| *weights).filter(|_| !absent),
                loading: phase == Some(Phase::Loading),
                closing: phase == Some(Phase::Closing),
            }
        };
        let others = self.members.service_peers(self.engine);
        others.into_iter().map(peer).collect()
    }
}

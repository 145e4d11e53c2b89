//! State of the own engine and of its peers, and the decision when the engine loads weights.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::FenceNumber;
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

/// A model for which the engine holds older weights than the newest published ones.
#[derive(Clone, Debug)]
pub(crate) struct OutdatedModel {
    pub(crate) model: ModelId,
    pub(crate) held: WeightsVersion,
    pub(crate) newest: NewestWeights,
}

/// A load of published weights that is due, with the inputs of the decision.
#[derive(Clone, Debug)]
pub(crate) struct DueLoad {
    pub(crate) outdated: OutdatedModel,
    /// Fencing number of the order.
    pub(crate) fence: FenceNumber,
    pub(crate) inputs: TurnInputs,
}

/// State of the own engine and what other processes announce.
pub(crate) struct State {
    engine: SocketAddr,
    /// Time from the publication of weights within which all engines must have them.
    rollout_limit_ms: DurationMs,
    pub(crate) phase: Phase,
    pub(crate) report: Option<Report>,
    pub(crate) declarations: WeightsDeclarations,
    /// Whether the table has been read since the start. Before that, this process may not know of a publication
    /// whose number the process before it has sent to the engine, so it sends no orders.
    pub(crate) declarations_read: bool,
    /// Engines in the roster.
    pub(crate) members: Members,
    /// Announced states of the other engines.
    pub(crate) view: View,
    /// Contents of the engine's cache.
    pub(crate) contents: Rc<RefCell<Contents>>,
}

impl State {
    /// Creates the state of a sidecar that has received nothing yet.
    pub(crate) fn new(engine: SocketAddr, rollout_limit_ms: DurationMs) -> Self {
        State {
            engine,
            rollout_limit_ms,
            phase: Phase::Unreachable,
            report: None,
            declarations: WeightsDeclarations::default(),
            declarations_read: false,
            members: Members::default(),
            view: View::default(),
            contents: Rc::default(),
        }
    }

    /// Returns the address of the engine.
    pub(crate) fn engine(&self) -> SocketAddr {
        self.engine
    }

    /// Returns the engine's state for an announcement.
    pub(crate) fn announcement(&self, stamp: TimeMs) -> EngineState {
        let report = self.report.as_ref();
        EngineState {
            engine: self.engine,
            stamp,
            phase: self.announced_phase(stamp),
            started_ms: report.map_or(0, |report| report.started_ms),
            models: report.map_or_else(Vec::new, |report| report.models.clone()),
            waiting: report.map_or(0, |report| report.waiting),
            running: report.map_or(0, |report| report.running),
        }
    }

    /// Returns a model for which the engine holds older weights than the newest published ones.
    pub(crate) fn outdated_model(&self) -> Option<OutdatedModel> {
        let report = self.report.as_ref()?;
        report.models.iter().find_map(|(model, held)| {
            let newest = self.declarations.newest(model)?;
            (*held < newest.weights).then(|| OutdatedModel {
                model: model.clone(),
                held: *held,
                newest,
            })
        })
    }

    /// Returns the load that the engine is to start now.
    pub(crate) fn due_load(&self, now: TimeMs) -> Option<DueLoad> {
        let outdated = self.outdated_model()?;
        let due_inputs = |rollout: &Rollout<'_>| rollout.is_due().then(|| rollout.inputs());
        let inputs = self.decide_rollout(&outdated, now, due_inputs).flatten()?;
        Some(DueLoad {
            outdated,
            fence: self.declarations.fence(),
            inputs,
        })
    }

    /// Returns the phase to announce, which shows whether an open engine is to load soon.
    pub(crate) fn announced_phase(&self, now: TimeMs) -> Phase {
        let is_soon = |rollout: &Rollout<'_>| rollout.is_soon();
        let loads_soon =
            |outdated: &OutdatedModel| self.decide_rollout(outdated, now, is_soon).unwrap_or(false);
        match self.phase {
            Phase::Open
                if self
                    .outdated_model()
                    .is_some_and(|outdated| loads_soon(&outdated)) =>
            {
                Phase::LoadsSoon
            }
            phase => phase,
        }
    }

    /// Returns what `decide` returns for the rollout of newer weights, or nothing if no newer
    /// weights are declared or the table has not been read yet.
    fn decide_rollout<T>(
        &self,
        outdated: &OutdatedModel,
        now: TimeMs,
        decide: impl Fn(&Rollout<'_>) -> T,
    ) -> Option<T> {
        if !self.declarations_read {
            return None;
        }
        let behind_ms = self
            .declarations
            .behind_ms(&outdated.model, outdated.held, now)?;
        let peers = self.collect_peers(&outdated.model, now);
        Some(decide(&Rollout {
            engine: self.engine,
            weights: outdated.held,
            requests: self.report.as_ref().map_or(0, |r| r.waiting + r.running),
            declared: outdated.newest.weights,
            behind_ms,
            limit_ms: self.rollout_limit_ms,
            peers: &peers,
        }))
    }

    fn collect_peers(&self, model: &ModelId, now: TimeMs) -> Vec<Peer> {
        let peer = |engine: SocketAddr| {
            let announced = self.view.engine(engine, now);
            let held = announced
                .and_then(|announced| announced.models.iter().find(|(name, _)| name == model));
            let phase = announced.map(|announced| announced.phase);
            let is_unreachable = phase == Some(Phase::Unreachable);
            Peer {
                engine,
                requests: announced.map_or(0, |announced| announced.waiting + announced.running),
                weights: held
                    .map(|(_, weights)| *weights)
                    .filter(|_| !is_unreachable),
                loading: phase == Some(Phase::Loading),
                closing: phase == Some(Phase::Closing),
            }
        };
        let others = self.members.service_peers(self.engine);
        others.into_iter().map(peer).collect()
    }
}

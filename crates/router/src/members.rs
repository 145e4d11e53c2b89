//! Agents and routers as the VM list and fresher evidence show them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dw_api::vms::Vm;
use dw_api::vms::VmList;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_wire::Status;

/// First pause before a suspect agent is probed by a request.
const FIRST_PROBE_MS: DurationMs = DurationMs(100);

/// Longest pause before a suspect agent is probed.
const LAST_PROBE_MS: DurationMs = DurationMs(2_000);

/// How long a report counts that the upstream takes no work. Reports of an agent that gets no
/// requests can be a minute apart at the target size, because heartbeats are limited. With 1,000 all
/// engines of a rolling change counted as loading when two of five loaded for 150 ms.
const PAUSE_MS: DurationMs = DurationMs(250);

/// An agent that can be sent work.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Agent {
    pub(crate) node: NodeId,
    pub(crate) data_addr: SocketAddr,
    pub(crate) control_addr: SocketAddr,
    /// Weights that the upstream serves, once it has reported them.
    pub(crate) weights: Option<WeightsVersion>,
    listed_leaving: bool,
    reported_leaving: bool,
    pause_until: Option<TimeMs>,
    incarnation: Incarnation,
    leaving: Option<Incarnation>,
    report_seq: u64,
    probe_at: Option<TimeMs>,
    backoff: DurationMs,
    pub(crate) heard_at: TimeMs,
}

impl Agent {
    /// Returns whether the VM list or the node itself has announced its end.
    fn is_leaving(&self) -> bool {
        self.listed_leaving || self.leaving.is_some_and(|left| left >= self.incarnation)
    }

    /// Returns whether new work may be sent, a probe of a suspect agent included.
    fn takes_work(&self, now: TimeMs) -> bool {
        let paused = self.pause_until.is_some_and(|until| now < until);
        let away = self.is_leaving() || self.reported_leaving || paused;
        !away && self.probe_at.is_none_or(|at| now >= at)
    }
}

impl Agent {
    /// Takes a report. Unlike a leaving notice, a reported drain ends when an operator ends it.
    fn take(&mut self, status: &Status, now: TimeMs) {
        self.report_seq = status.report_seq;
        self.reported_leaving = status.leaving;
        self.weights = Some(status.weights);
        self.pause_until = (!status.accepting).then(|| now + PAUSE_MS);
    }
}

/// How a report relates to what was known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fresh {
    /// It is older than an earlier report.
    Old,
    /// It is the newest of the same process.
    Newer,
    /// It comes from a new process, whose upstream may have lost its cache.
    Restarted,
}

#[derive(Debug, Default)]
struct Inner {
    seq: u64,
    agents: BTreeMap<UpstreamId, Agent>,
    routers: BTreeMap<NodeId, SocketAddr>,
    left_routers: BTreeMap<NodeId, Incarnation>,
}

/// Known agents and routers.
#[derive(Debug, Default)]
pub(crate) struct Members(Mutex<Inner>);

impl Members {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a list unless it is older than an earlier one; entries that cannot be parsed are
    /// returned by name.
    pub(crate) fn listed(&self, list: &VmList, now: TimeMs) -> Vec<String> {
        let mut inner = self.lock();
        if list.seq < inner.seq {
            return Vec::new();
        }
        inner.seq = list.seq;
        let mut bad = Vec::new();
        let old = std::mem::take(&mut inner.agents);
        inner.routers.clear();
        for vm in &list.vms {
            if add(&mut inner, &old, vm, now).is_none() {
                bad.push(vm.name.clone());
            }
        }
        bad
    }

    /// Returns the agent of `upstream` if it may be sent work.
    pub(crate) fn usable(&self, upstream: &UpstreamId, now: TimeMs) -> Option<Agent> {
        let inner = self.lock();
        let agent = inner.agents.get(upstream)?;
        agent.takes_work(now).then(|| agent.clone())
    }

    /// Counts a placement on a suspect agent as its probe, so that it gets no other request before
    /// the next one is due.
    pub(crate) fn placed(&self, upstream: &UpstreamId, now: TimeMs) {
        if let Some(agent) = self.lock().agents.get_mut(upstream) {
            if agent.probe_at.is_some() {
                agent.probe_at = Some(now + agent.backoff);
            }
        }
    }

    /// Makes an agent suspect after a failed connection.
    pub(crate) fn failed(&self, upstream: &UpstreamId, now: TimeMs) {
        if let Some(agent) = self.lock().agents.get_mut(upstream) {
            agent.backoff =
                DurationMs((agent.backoff.0 * 2).clamp(FIRST_PROBE_MS.0, LAST_PROBE_MS.0));
            agent.probe_at = Some(now + agent.backoff);
        }
    }

    /// Records a report of an agent.
    pub(crate) fn report(&self, upstream: &UpstreamId, status: &Status, now: TimeMs) -> Fresh {
        let mut inner = self.lock();
        let Some(agent) = inner.agents.get_mut(upstream) else {
            return Fresh::Old;
        };
        if status.agent_incarnation < agent.incarnation {
            return Fresh::Old;
        }
        agent.heard_at = now;
        agent.probe_at = None;
        agent.backoff = DurationMs::ZERO;
        if status.agent_incarnation > agent.incarnation {
            let first = agent.incarnation == Incarnation(0);
            agent.incarnation = status.agent_incarnation;
            agent.take(status, now);
            return if first {
                Fresh::Newer
            } else {
                Fresh::Restarted
            };
        }
        if status.report_seq <= agent.report_seq {
            return Fresh::Old;
        }
        agent.take(status, now);
        Fresh::Newer
    }

    /// Records the leaving notice of a node.
    pub(crate) fn left(&self, node: &NodeId, incarnation: Incarnation) {
        let mut inner = self.lock();
        let same = |agent: &&mut Agent| agent.node == *node;
        for agent in inner.agents.values_mut().filter(same) {
            agent.leaving = agent.leaving.max(Some(incarnation));
        }
        if inner.routers.remove(node).is_some() {
            inner.left_routers.insert(node.clone(), incarnation);
        }
    }

    /// Ends the effect of a leaving notice if it came from an earlier process.
    pub(crate) fn returned(&self, node: &NodeId, incarnation: Incarnation) {
        let mut inner = self.lock();
        if inner
            .left_routers
            .get(node)
            .is_some_and(|left| *left < incarnation)
        {
            inner.left_routers.remove(node);
        }
    }

    /// Returns the control address of a node.
    pub(crate) fn control_addr(&self, node: &NodeId) -> Option<SocketAddr> {
        let inner = self.lock();
        let mut agents = inner.agents.values();
        let agent = agents.find(|agent| agent.node == *node);
        agent
            .map(|agent| agent.control_addr)
            .or_else(|| inner.routers.get(node).copied())
    }

    /// Returns all routers that are not leaving.
    pub(crate) fn live_routers(&self) -> Vec<NodeId> {
        self.lock().routers.keys().cloned().collect()
    }

    /// Returns all nodes that are not leaving.
    pub(crate) fn live_nodes(&self) -> Vec<NodeId> {
        let inner = self.lock();
        let agents = inner.agents.values();
        let agents = agents.filter(|agent| !agent.is_leaving());
        let agents = agents.map(|agent| agent.node.clone());
        agents.chain(inner.routers.keys().cloned()).collect()
    }

    /// Returns up to `most` agents that were not heard of for `idle`, the longest silent first.
    pub(crate) fn idle(
        &self,
        idle: DurationMs,
        most: usize,
        now: TimeMs,
    ) -> Vec<(UpstreamId, Agent)> {
        let inner = self.lock();
        let mut agents: Vec<_> = inner
            .agents
            .iter()
            .filter(|(_, agent)| now.since(agent.heard_at) >= idle)
            .map(|(upstream, agent)| (upstream.clone(), agent.clone()))
            .collect();
        agents.sort_by_key(|(_, agent)| agent.heard_at);
        agents.truncate(most);
        agents
    }

    /// Returns the control addresses of all nodes.
    pub(crate) fn control_addrs(&self) -> Vec<SocketAddr> {
        let inner = self.lock();
        let agents = inner.agents.values().map(|agent| agent.control_addr);
        agents.chain(inner.routers.values().copied()).collect()
    }

    /// Returns each upstream with its node and whether it may be sent work.
    pub(crate) fn summary(&self, now: TimeMs) -> Vec<(UpstreamId, NodeId, bool)> {
        let inner = self.lock();
        let agents = inner.agents.iter();
        agents
            .map(|(upstream, agent)| {
                let usable = agent.takes_work(now);
                (upstream.clone(), agent.node.clone(), usable)
            })
            .collect()
    }
}

fn add(inner: &mut Inner, old: &BTreeMap<UpstreamId, Agent>, vm: &Vm, now: TimeMs) -> Option<()> {
    let node: NodeId = vm.name.parse().ok()?;
    let control_addr = vm.control_addr.parse().ok()?;
    if vm.role == VmRole::Router {
        if !inner.left_routers.contains_key(&node) && vm.state == VmState::Live {
            inner.routers.insert(node, control_addr);
        }
        return Some(());
    }
    let upstream: UpstreamId = vm.upstream.as_ref()?.parse().ok()?;
    let data_addr = vm.data_addr.parse().ok()?;
    let listed_leaving = vm.state == VmState::Leaving;
    let known = old
        .get(&upstream)
        .filter(|agent| agent.node == node && agent.data_addr == data_addr);
    let agent = match known {
        Some(agent) => Agent {
            control_addr,
            listed_leaving,
            ..agent.clone()
        },
        None => Agent {
            node,
            data_addr,
            control_addr,
            listed_leaving,
            weights: None,
            reported_leaving: false,
            pause_until: None,
            incarnation: Incarnation(0),
            leaving: None,
            report_seq: 0,
            probe_at: None,
            backoff: DurationMs::ZERO,
            heard_at: TimeMs(now.0.saturating_sub(LAST_PROBE_MS.0)),
        },
    };
    // A replaced VM can be listed beside its leaving predecessor; the live one takes precedence.
    let keep = inner
        .agents
        .get(&upstream)
        .is_some_and(|a| !a.listed_leaving)
        && listed_leaving;
    if !keep {
        inner.agents.insert(upstream, agent);
    }
    Some(())
}

//! Addresses and reports of the nodes whose state [`dw_member::Members`] decides.

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
use dw_member::Event;
use dw_member::State;
use dw_wire::Status;

/// How long a report counts that the upstream takes no work. Reports of an agent that gets no
/// requests can be a minute apart at the target size, because heartbeats are limited. With 1 s all
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
    /// Process that made the newest report.
    reporter: Option<Incarnation>,
    report_seq: u64,
    heard_at: TimeMs,
}

impl Agent {
    /// Takes a report. Unlike a leaving notice, a reported drain ends when an operator ends it.
    fn take(&mut self, status: &Status, now: TimeMs) {
        self.reporter = Some(status.agent_incarnation);
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
    nodes: dw_member::Members,
    agents: BTreeMap<UpstreamId, Agent>,
    routers: BTreeMap<NodeId, SocketAddr>,
}

impl Inner {
    /// Returns whether the VM list or the node itself has announced its end.
    fn is_leaving(&self, agent: &Agent) -> bool {
        let gone = matches!(self.nodes.state(&agent.node), None | Some(State::Leaving));
        agent.listed_leaving || gone
    }

    /// Returns whether new work may be sent, a probe of a suspect agent included.
    fn takes_work(&self, agent: &Agent, now: TimeMs) -> bool {
        let paused = agent.pause_until.is_some_and(|until| now < until);
        let away = agent.listed_leaving || agent.reported_leaving || paused;
        let reachable = match self.nodes.state(&agent.node) {
            Some(State::Live) => true,
            Some(State::Suspect) => self.nodes.probe_due(&agent.node, now),
            Some(State::Leaving) | None => false,
        };
        !away && reachable
    }

    /// Returns the routers that are not leaving. A suspect one counts, because limits would have
    /// two owners if only some routers lost the connection to it.
    fn present_routers(&self) -> impl Iterator<Item = (&NodeId, &SocketAddr)> {
        let stays = |node: &NodeId| {
            let state = self.nodes.state(node);
            matches!(state, Some(State::Live | State::Suspect))
        };
        self.routers.iter().filter(move |(node, _)| stays(node))
    }
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
        let names = list.vms.iter().filter_map(|vm| vm.name.parse().ok());
        inner.nodes.apply(&Event::Listed(names.collect()), now);
        let old_agents = std::mem::take(&mut inner.agents);
        let old_routers = std::mem::take(&mut inner.routers);
        let mut bad = Vec::new();
        for vm in &list.vms {
            if add(&mut inner, &old_agents, vm).is_none() {
                bad.push(vm.name.clone());
            }
        }
        // The list lags, so that a node with fresher evidence stays although it is not listed.
        for (upstream, agent) in old_agents {
            if inner.nodes.state(&agent.node).is_some() {
                inner.agents.entry(upstream).or_insert(agent);
            }
        }
        for (node, addr) in old_routers {
            if inner.nodes.state(&node).is_some() {
                inner.routers.entry(node).or_insert(addr);
            }
        }
        bad
    }

    /// Returns the agent of `upstream` if it may be sent work.
    pub(crate) fn usable(&self, upstream: &UpstreamId, now: TimeMs) -> Option<Agent> {
        let inner = self.lock();
        let agent = inner.agents.get(upstream)?;
        inner.takes_work(agent, now).then(|| agent.clone())
    }

    /// Counts a placement on a suspect agent as its probe, so that it gets no other request before
    /// the next one is due.
    pub(crate) fn placed(&self, upstream: &UpstreamId, now: TimeMs) {
        let mut inner = self.lock();
        if let Some(node) = inner.agents.get(upstream).map(|agent| agent.node.clone()) {
            inner.nodes.probe(&node, now);
        }
    }

    /// Makes a node suspect after a failed connection.
    pub(crate) fn failed(&self, node: &NodeId, now: TimeMs) {
        let node = node.clone();
        self.lock().nodes.apply(&Event::Failed { node }, now);
    }

    /// Records a report of an agent.
    pub(crate) fn report(&self, upstream: &UpstreamId, status: &Status, now: TimeMs) -> Fresh {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let Some(agent) = inner.agents.get_mut(upstream) else {
            return Fresh::Old;
        };
        let incarnation = status.agent_incarnation;
        if agent.reporter.is_some_and(|known| incarnation < known) {
            return Fresh::Old;
        }
        let node = agent.node.clone();
        let answered = Event::Answered { node, incarnation };
        inner.nodes.apply(&answered, now);
        agent.heard_at = now;
        let fresh = match agent.reporter {
            Some(known) if known < incarnation => Fresh::Restarted,
            Some(_) if status.report_seq <= agent.report_seq => return Fresh::Old,
            _ => Fresh::Newer,
        };
        agent.take(status, now);
        fresh
    }

    /// Records the leaving notice of a node.
    pub(crate) fn left(&self, node: &NodeId, incarnation: Incarnation, now: TimeMs) {
        let node = node.clone();
        let event = Event::Leaving { node, incarnation };
        self.lock().nodes.apply(&event, now);
    }

    /// Records that a node has answered.
    pub(crate) fn answered(&self, node: &NodeId, incarnation: Incarnation, now: TimeMs) {
        let node = node.clone();
        let event = Event::Answered { node, incarnation };
        self.lock().nodes.apply(&event, now);
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
    pub(crate) fn routers(&self) -> Vec<NodeId> {
        let inner = self.lock();
        let routers = inner.present_routers().map(|(node, _)| node.clone());
        routers.collect()
    }

    /// Returns all nodes that are not leaving.
    pub(crate) fn live_nodes(&self) -> Vec<NodeId> {
        let inner = self.lock();
        let agents = inner.agents.values();
        let agents = agents.filter(|agent| !inner.is_leaving(agent));
        let agents = agents.map(|agent| agent.node.clone());
        let routers = inner.present_routers().map(|(node, _)| node.clone());
        agents.chain(routers).collect()
    }

    /// Returns up to `most` nodes to exchange heartbeats with: first suspect nodes whose probe is
    /// due, then agents that were not heard of for `idle`, the longest silent first.
    pub(crate) fn silent(
        &self,
        idle: DurationMs,
        most: usize,
        now: TimeMs,
    ) -> Vec<(NodeId, SocketAddr)> {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let agents = inner.agents.values();
        let agents = agents.map(|agent| (agent.heard_at, &agent.node, agent.control_addr));
        let routers = inner.routers.iter();
        let routers = routers.map(|(node, addr)| (TimeMs(0), node, *addr));
        let mut chosen: Vec<_> = agents
            .chain(routers)
            .filter_map(|(heard_at, node, addr)| {
                let suspect = match inner.nodes.state(node) {
                    Some(State::Suspect) if inner.nodes.probe_due(node, now) => true,
                    Some(State::Suspect) | None => return None,
                    Some(_) => false,
                };
                let agent = !inner.routers.contains_key(node);
                let idle = agent && now.since(heard_at) >= idle;
                (suspect || idle).then(|| (!suspect, heard_at, node.clone(), addr))
            })
            .collect();
        chosen.sort();
        chosen.truncate(most);
        for (_, _, node, _) in &chosen {
            inner.nodes.probe(node, now);
        }
        let nodes = chosen.into_iter();
        nodes.map(|(_, _, node, addr)| (node, addr)).collect()
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
                let usable = inner.takes_work(agent, now);
                (upstream.clone(), agent.node.clone(), usable)
            })
            .collect()
    }
}

fn add(inner: &mut Inner, old: &BTreeMap<UpstreamId, Agent>, vm: &Vm) -> Option<()> {
    let node: NodeId = vm.name.parse().ok()?;
    let control_addr = vm.control_addr.parse().ok()?;
    if vm.role == VmRole::Router {
        if vm.state == VmState::Live {
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
            reporter: None,
            report_seq: 0,
            heard_at: TimeMs(0),
        },
    };
    // A replaced VM can be listed beside its leaving predecessor; the live one takes precedence.
    let other = inner.agents.get(&upstream);
    let keep = other.is_some_and(|other| !inner.is_leaving(other)) && inner.is_leaving(&agent);
    if !keep {
        inner.agents.insert(upstream, agent);
    }
    Some(())
}

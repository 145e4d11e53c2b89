//! All nodes that a router knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;

use crate::node::Node;
use crate::node::State;

/// A sign of a node this recent outweighs its absence from the list, which lags.
const LIST_LAG: DurationMs = DurationMs(10_000);

/// Something that a router learned of nodes.
#[derive(Clone, Debug)]
pub enum Event {
    /// The VM list holds these nodes.
    Listed(BTreeSet<NodeId>),
    /// A node answered, refused or sent a heartbeat.
    Answered {
        /// Node.
        node: NodeId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A node announced that it leaves.
    Leaving {
        /// Node.
        node: NodeId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A connection to a node failed.
    Failed {
        /// Node.
        node: NodeId,
    },
}

/// Membership as one router sees it.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<NodeId, Node>,
}

impl Members {
    /// Takes in an event.
    pub fn apply(&mut self, event: &Event, now: TimeMs) {
        match event {
            Event::Listed(listed) => self.listed(listed, now),
            Event::Answered { node, incarnation } => {
                self.node(node, now).sign(*incarnation, false, now);
            }
            Event::Leaving { node, incarnation } => {
                self.node(node, now).sign(*incarnation, true, now);
            }
            Event::Failed { node } => {
                if let Some(node) = self.nodes.get_mut(node) {
                    node.failed(now);
                }
            }
        }
    }

    fn node(&mut self, id: &NodeId, now: TimeMs) -> &mut Node {
        let entry = self.nodes.entry(id.clone());
        entry.or_insert_with(|| Node::new(now))
    }

    fn listed(&mut self, listed: &BTreeSet<NodeId>, now: TimeMs) {
        for id in listed {
            self.node(id, now);
        }
        self.nodes.retain(|id, node| {
            let recent = node.evidence.is_some_and(|at| now.since(at) < LIST_LAG);
            listed.contains(id) || recent
        });
    }

    /// Returns the state of a node; absent if it is gone or was never known.
    pub fn state(&self, node: &NodeId) -> Option<State> {
        self.nodes.get(node).map(|node| node.state)
    }

    /// Returns the nodes that receive new work.
    pub fn live(&self) -> impl Iterator<Item = &NodeId> {
        let live = |(_, node): &(&NodeId, &Node)| node.state == State::Live;
        self.nodes.iter().filter(live).map(|(id, _)| id)
    }

    /// Returns whether a probe of a suspect node is due, without using it up.
    pub fn probe_due(&self, node: &NodeId, now: TimeMs) -> bool {
        self.nodes.get(node).is_some_and(|node| node.probe_due(now))
    }

    /// Returns whether one probe may be sent to a suspect node now.
    pub fn probe(&mut self, node: &NodeId, now: TimeMs) -> bool {
        let node = self.nodes.get_mut(node);
        node.is_some_and(|node| node.probe(now))
    }
}

//! All nodes that a router knows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::TimeMs;

use crate::node::Node;
use crate::node::State;

/// Time for which a response of a node outweighs its absence from the VM list, which lags.
const MAX_LIST_LAG_MS: DurationMs = DurationMs(10_000);

/// Event that changes the membership.
#[derive(Clone, Debug)]
pub enum Event {
    /// The VM list was read and holds these nodes.
    Listed(BTreeSet<NodeId>),
    /// A node answered, refused or sent a heartbeat.
    Answered {
        /// Node.
        node: NodeId,
        /// Incarnation of its process.
        incarnation: Incarnation,
    },
    /// A node announced that it is leaving.
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

/// Membership as known to one router.
#[derive(Clone, Debug, Default)]
pub struct Members {
    nodes: BTreeMap<NodeId, Node>,
}

impl Members {
    /// Applies an event.
    pub fn apply(&mut self, event: &Event, now: TimeMs) {
        match event {
            Event::Listed(listed) => self.apply_list(listed, now),
            Event::Answered { node, incarnation } => {
                self.node_mut(node, now)
                    .record_response(*incarnation, false, now);
            }
            Event::Leaving { node, incarnation } => {
                self.node_mut(node, now)
                    .record_response(*incarnation, true, now);
            }
            Event::Failed { node } => {
                if let Some(node) = self.nodes.get_mut(node) {
                    node.record_failure(now);
                }
            }
        }
    }

    fn node_mut(&mut self, id: &NodeId, now: TimeMs) -> &mut Node {
        let entry = self.nodes.entry(id.clone());
        entry.or_insert_with(|| Node::new(now))
    }

    fn apply_list(&mut self, listed: &BTreeSet<NodeId>, now: TimeMs) {
        for id in listed {
            self.node_mut(id, now);
        }
        self.nodes.retain(|id, node| {
            let recent = node
                .responded_at
                .is_some_and(|at| now.since(at) < MAX_LIST_LAG_MS);
            listed.contains(id) || recent
        });
    }

    /// Returns the state of a node, or `None` if it is not a member.
    pub fn state(&self, node: &NodeId) -> Option<State> {
        self.nodes.get(node).map(|node| node.state)
    }

    /// Returns the nodes that receive new work.
    pub fn live(&self) -> impl Iterator<Item = &NodeId> {
        let live = |(_, node): &(&NodeId, &Node)| node.state == State::Live;
        self.nodes.iter().filter(live).map(|(id, _)| id)
    }

    /// Returns whether a probe of a suspect node is due, without scheduling the next one.
    pub fn probe_due(&self, node: &NodeId, now: TimeMs) -> bool {
        self.nodes.get(node).is_some_and(|node| node.probe_due(now))
    }

    /// Returns whether a probe of a suspect node is due, and schedules the next one.
    pub fn probe(&mut self, node: &NodeId, now: TimeMs) -> bool {
        let node = self.nodes.get_mut(node);
        node.is_some_and(|node| node.probe(now))
    }
}

//! Which nodes have confirmed a configuration version, and whether this node is isolated.

use std::collections::BTreeMap;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::TimeMs;

/// Time within which a change must be in force everywhere.
pub const IN_FORCE_TIMEOUT_MS: DurationMs = DurationMs(13_000);

/// Time without table and peers after which a node cannot know whether its version is current.
pub const ISOLATION_TIMEOUT_MS: DurationMs = DurationMs(10_000);

/// Confirmations of one version.
#[derive(Clone, Debug)]
pub struct InForce {
    version: ConfigVersion,
    deadline: TimeMs,
    confirmed: BTreeMap<NodeId, ConfigVersion>,
}

/// State of the confirmations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// All live nodes have confirmed.
    Everywhere,
    /// These nodes have not confirmed yet, and there is time left.
    Waiting(Vec<NodeId>),
    /// These nodes have not confirmed in time.
    TimedOut(Vec<NodeId>),
}

impl InForce {
    /// Starts to track `version` at `now`.
    pub fn new(version: ConfigVersion, now: TimeMs) -> Self {
        InForce {
            version,
            deadline: now + IN_FORCE_TIMEOUT_MS,
            confirmed: BTreeMap::new(),
        }
    }

    /// Notes the version in force at a node; a node's version only grows.
    pub fn confirm(&mut self, node: NodeId, in_force: ConfigVersion) {
        let known = self.confirmed.entry(node).or_default();
        *known = in_force.max(*known);
    }

    /// Returns the version that a node has confirmed.
    pub fn confirmed(&self, node: &NodeId) -> Option<ConfigVersion> {
        self.confirmed.get(node).copied()
    }

    /// Returns the nodes of `live` that have not confirmed.
    pub fn missing(&self, live: &[NodeId]) -> Vec<NodeId> {
        let has = |node| self.confirmed.get(node).is_some_and(|v| *v >= self.version);
        live.iter().filter(|node| !has(*node)).cloned().collect()
    }

    /// Returns the state with respect to the nodes that are live at `now`.
    pub fn state(&self, live: &[NodeId], now: TimeMs) -> Confirmation {
        let missing = self.missing(live);
        if missing.is_empty() {
            Confirmation::Everywhere
        } else if now < self.deadline {
            Confirmation::Waiting(missing)
        } else {
            Confirmation::TimedOut(missing)
        }
    }
}

/// Decides whether a node is isolated.
#[derive(Clone, Copy, Debug)]
pub struct Isolation {
    last_contact: TimeMs,
}

impl Isolation {
    /// Starts at `now`, as if a contact had just been made.
    pub fn new(now: TimeMs) -> Self {
        Isolation { last_contact: now }
    }

    /// Notes that the table or a peer answered.
    pub fn contact(&mut self, now: TimeMs) {
        self.last_contact = now.max(self.last_contact);
    }

    /// Returns whether neither the table nor any peer was reached for too long.
    pub fn is_isolated(&self, now: TimeMs) -> bool {
        now.since(self.last_contact) >= ISOLATION_TIMEOUT_MS
    }
}

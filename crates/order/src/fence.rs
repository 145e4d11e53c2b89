//! Selection of the fencing number, based on the table.

use dw_base::FenceNumber;
use dw_base::Incarnation;
use dw_base::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// Value of `fence/<upstream>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// Fencing number.
    pub fence: FenceNumber,
    /// Agent that wrote it.
    pub agent: NodeId,
    /// Incarnation of that agent.
    pub incarnation: Incarnation,
}

/// Result of [`claim`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The stored number is the agent's own, and the engine has seen no greater one.
    Own(FenceNumber),
    /// This value must be written to the table before any order is sent.
    Raise(Fence),
    /// A later incarnation of the same agent has taken over, so no more orders may be sent.
    Superseded,
}

/// Selects the fencing number from the value just read from the table and the greatest number that
/// the engine has seen.
pub fn claim(
    stored: Option<&Fence>,
    agent: &NodeId,
    incarnation: Incarnation,
    seen: FenceNumber,
) -> Claim {
    let number = stored.map_or(FenceNumber(0), |stored| stored.fence);
    if let Some(stored) = stored.filter(|stored| stored.agent == *agent) {
        if stored.incarnation > incarnation {
            return Claim::Superseded;
        }
        // An earlier write may have taken effect although its response was lost.
        if stored.incarnation == incarnation && number >= seen {
            return Claim::Own(number);
        }
    }
    Claim::Raise(Fence {
        fence: FenceNumber(number.max(seen).0 + 1),
        agent: agent.clone(),
        incarnation,
    })
}

//! Choice of the fencing number from the table.

use dw_base::FenceNumber;
use dw_base::Incarnation;
use dw_base::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// Value of `fence/<upstream>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fence {
    /// Number.
    pub fence: FenceNumber,
    /// Agent that raised it.
    pub agent: NodeId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
}

/// What follows from the number in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Claim {
    /// The number is the agent's own, and its engine has seen no greater one.
    Own(FenceNumber),
    /// This must be written before any order is sent.
    Raise(Fence),
    /// A later life of the same agent has taken over, so that no order may be sent any more.
    Superseded,
}

/// Decides from the number that was just read from the table and the one that the engine has seen.
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
        // It may be there because the answer to the write was lost.
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

//! Properties of a request that admission control uses.

use dw_base::OrgId;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::Worth;

/// A queued or running request.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Id assigned by the agent, unique within its incarnation.
    pub id: u64,
    /// Organisation that sent the request.
    pub org: OrgId,
    /// Weight of the organisation in fair queueing, relative to others.
    pub share: f64,
    /// Priority of the request.
    pub priority: Priority,
    /// Worth of a response.
    pub worth: Worth,
    /// Number of prompt tokens that are not cached and must be computed.
    pub uncached_tokens: Tokens,
    /// Maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// Time by which the response must be complete.
    pub deadline: TimeMs,
    /// Whether the request may be cancelled and run again later.
    pub repeatable: bool,
}

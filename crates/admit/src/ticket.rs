//! A request as admission control sees it.

use dw_base::OrgId;
use dw_base::Priority;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::Worth;

/// A request that waits or runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Number given by the agent, unique within its incarnation.
    pub id: u64,
    /// Organisation.
    pub org: OrgId,
    /// Share of the organisation, relative to others.
    pub share: f64,
    /// Priority.
    pub priority: Priority,
    /// Worth of an answer.
    pub worth: Worth,
    /// Prompt tokens that must be computed.
    pub uncached_tokens: Tokens,
    /// Most tokens that will be generated.
    pub max_tokens: Tokens,
    /// Time by which the whole answer is wanted.
    pub deadline: TimeMs,
    /// Whether it may be cancelled and run again later.
    pub repeatable: bool,
}

//! Organisations and their API keys.

use dw_base::OrgId;

/// An organisation that sends requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name.
    pub org: OrgId,
    /// Priority, 0 being the highest; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Whether its cached prompts are isolated from other organisations.
    pub exclusive: bool,
    /// API keys that authenticate its requests.
    pub keys: Vec<String>,
}

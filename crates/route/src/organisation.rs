//! Organisations and their keys.

use dw_base::OrgId;

/// An organisation that sends requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Organisation {
    /// Name.
    pub org: OrgId,
    /// Priority, 0 first; replaces the priority of the route.
    pub priority: Option<u8>,
    /// Whether its cached prompts are shared with no other organisation.
    pub exclusive: bool,
    /// Keys that authenticate its requests.
    pub keys: Vec<String>,
}

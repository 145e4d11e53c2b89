//! Organisations and their API keys.

use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_base::QuotaUnit;
use dw_base::Tokens;

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
    /// Quota over all routers; absent if its requests are not limited.
    pub quota: Option<Quota>,
}

/// Quota of an organisation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Rate and burst.
    pub limit: QuotaLimit,
    /// Tokens that a request counts which declares none.
    pub undeclared_tokens: Tokens,
}

impl Quota {
    /// Returns what a request uses that declares these prompt and answer tokens.
    pub fn amount(&self, declared: Option<Tokens>) -> QuotaAmount {
        match self.unit {
            QuotaUnit::Requests => QuotaAmount(1),
            QuotaUnit::Tokens => QuotaAmount(declared.unwrap_or(self.undeclared_tokens).0),
        }
    }
}

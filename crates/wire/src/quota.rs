//! Messages about the quotas of organisations.

use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use serde::Deserialize;
use serde::Serialize;

/// Asks the counter of an organisation whether a request is within its quota.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaQuestion {
    /// Number that the answer repeats.
    pub number: u32,
    /// Organisation.
    pub org: OrgId,
    /// Quota that the router knows.
    pub limit: QuotaLimit,
    /// Amount that the request uses if it is sent.
    pub amount: QuotaAmount,
    /// Urgency of the request among those of its organisation; 0 is the most urgent.
    pub urgency: u8,
}

/// What a counter answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaResult {
    /// The request may be sent once.
    Granted,
    /// It may not be sent; a request of this urgency may be after this time.
    Denied(DurationMs),
    /// The receiver does not count for this organisation.
    NotCounter,
}

impl QuotaResult {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            QuotaResult::Granted => "granted",
            QuotaResult::Denied(_) => "denied",
            QuotaResult::NotCounter => "not_counter",
        }
    }
}

/// Answer to a [`QuotaQuestion`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaAnswer {
    /// Number of the question.
    pub number: u32,
    /// Result.
    pub result: QuotaResult,
}

/// Gives back what was granted to a request that did not run, or withdraws a question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaReturn {
    /// Organisation.
    pub org: OrgId,
    /// Amount that was granted.
    pub amount: QuotaAmount,
    /// Number of the question if its answer did not arrive; the amount is given back only if it was granted.
    pub number: Option<u32>,
}

/// Account of an organisation, sent by a sidecar that ceases to count to the one that begins.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuotaHandover {
    /// Organisation.
    pub org: OrgId,
    /// Quota in force.
    pub limit: QuotaLimit,
    /// What the organisation may still use; negative if it owes.
    pub balance: i64,
    /// What its less urgent requests may use of that while urgent ones use it up.
    pub less_urgent: i64,
    /// Whether its requests may make the balance negative.
    pub may_owe: bool,
}

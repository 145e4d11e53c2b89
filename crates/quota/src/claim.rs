//! What a request uses of a quota.

use dw_base::OrgId;
use dw_base::QuotaAmount;
use dw_base::QuotaLimit;
use dw_wire::QuotaQuestion;
use dw_wire::QuotaReturn;

/// What a request uses of a quota.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Organisation.
    pub org: OrgId,
    /// Quota that the router knows.
    pub limit: QuotaLimit,
    /// Amount that the request uses each time that it is sent.
    pub amount: QuotaAmount,
    /// Urgency among the requests of the organisation; 0 is the most urgent.
    pub urgency: u8,
}

impl Claim {
    /// Returns the question to the counter.
    pub fn question(&self, number: u32) -> QuotaQuestion {
        QuotaQuestion {
            number,
            org: self.org.clone(),
            limit: self.limit,
            amount: self.amount,
            urgency: self.urgency,
        }
    }

    /// Returns the message that gives a granted amount back, or withdraws a question without an answer.
    pub fn give_back(&self, unanswered: Option<u32>) -> QuotaReturn {
        QuotaReturn {
            org: self.org.clone(),
            amount: self.amount,
            number: unanswered,
        }
    }
}

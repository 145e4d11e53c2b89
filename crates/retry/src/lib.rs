//! Retry decisions, budgets and backoff.
//!
//! | event | action |
//! | --- | --- |
//! | [`Budget::answered`]: a first attempt was answered | none; adds a tenth of a retry to the budget |
//! | [`decide`]: an attempt failed | [`Decision::Retry`] after a delay, or [`Decision::GiveUp`] |
//! | [`RetryState::after`]: an upstream did not serve the request | [`Next`] |
//! | [`Share::spend`]: a request is to be repeated | none; takes a repeat from the shared budget if there is one |

mod backoff;
mod budget;
mod budget_share;
mod decision;
mod retry_state;

pub use backoff::Backoff;
pub use budget::Budget;
pub use budget_share::BudgetSettings;
pub use budget_share::BudgetShare;
pub use decision::decide;
pub use decision::Attempt;
pub use decision::Decision;
pub use decision::GiveUp;
pub use decision::Outcome;
pub use retry_state::AttemptOutcome;
pub use retry_state::NextAction;
pub use retry_state::RetryState;

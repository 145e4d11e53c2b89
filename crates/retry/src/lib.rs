//! Retry decisions, budgets and backoff.
//!
//! | event | action |
//! | --- | --- |
//! | [`Budget::record_answer`]: a first attempt was answered | none; earns a tenth of a retry |
//! | [`decide`]: an attempt failed | [`Decision::Retry`] after a delay, or [`Decision::GiveUp`] |
//! | [`RetryState::next_action`]: a try at an upstream failed | [`NextAction`] |
//! | [`BudgetShare::spend`]: a request is to be repeated | takes a repeat from the shared budget |

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

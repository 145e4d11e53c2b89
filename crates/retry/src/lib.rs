//! Retry decisions, budgets and backoff.
//!
//! | event | action |
//! | --- | --- |
//! | [`Budget::answered`]: a first attempt was answered | none; earns a tenth of a retry |
//! | [`decide`]: an attempt failed | [`Decision::Retry`] after a delay, or [`Decision::GiveUp`] |
//! | [`Tries::after`]: a try at an upstream failed | [`Next`] |
//! | [`Share::spend`]: a request is to be repeated | takes a repeat from the shared budget |

mod backoff;
mod budget;
mod decision;
mod share;
mod tries;

pub use backoff::Backoff;
pub use budget::Budget;
pub use decision::decide;
pub use decision::Attempt;
pub use decision::Decision;
pub use decision::GiveUp;
pub use decision::Outcome;
pub use share::BudgetRule;
pub use share::Share;
pub use tries::Fate;
pub use tries::Next;
pub use tries::Tries;

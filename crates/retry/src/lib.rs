//! Retry decisions, budgets and backoff.
//!
//! | event | action |
//! | --- | --- |
//! | [`Budget::answered`]: a first attempt was answered | none; earns a tenth of a retry |
//! | [`decide`]: an attempt failed | [`Decision::Retry`] after a delay, or [`Decision::GiveUp`] |

mod backoff;
mod budget;
mod decision;

pub use backoff::Backoff;
pub use budget::Budget;
pub use decision::decide;
pub use decision::Attempt;
pub use decision::Decision;
pub use decision::GiveUp;
pub use decision::Outcome;

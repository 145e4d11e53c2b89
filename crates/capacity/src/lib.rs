//! Admission of requests by the sidecar of their engine.
//!
//! Load pattern: many routers see the same room at an engine and fill it several times over. Each asks
//! the sidecar, whose ledger adds up what all of them were granted.
//!
//! | event | action |
//! | --- | --- |
//! | [`Requester::is_needed`]: a request is about to be sent | whether the engine's sidecar is asked |
//! | [`Requester::denied_for`]: it is to be asked | refuses the request, if the sidecar has said until when |
//! | [`Ledger::ask`]: a question arrives there | [`Decision`], of which the router gets the result |
//! | [`Requester::record`]: the answer, or none in time | sends the request or tries another engine |
//! | [`Requester::may_try_next`]: engines have denied it | whether another one is tried or the request is refused |
//! | [`Ledger::give_back`]: an admitted request was not sent | none; the room may be given to another one |
//! | [`Ledger::observe`]: the engine reports its state | corrects the ledger |

mod admission_rate;
mod answer_times;
mod backlog;
mod decision;
mod ledger;
mod occupancy;
mod requester;
mod shares;

pub use answer_times::AnswerTimes;
pub use decision::Cause;
pub use decision::Decision;
pub use decision::Waits;
pub use ledger::EngineReport;
pub use ledger::Ledger;
pub use requester::Expectation;
pub use requester::Requester;
pub use requester::Target;

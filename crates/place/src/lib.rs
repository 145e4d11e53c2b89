//! Placement policies and the estimators behind them.
//!
//! | event | effect |
//! | --- | --- |
//! | [`Policy::place`] | chooses an upstream for a request |
//! | [`Policy::observe`] | learns from an answer, refusal, failure or heartbeat |

mod decision;
mod observation;
mod policy;
mod round_robin;
mod target;

pub use decision::Candidate;
pub use decision::Decision;
pub use observation::Observation;
pub use policy::PlaceRequest;
pub use policy::Policy;
pub use round_robin::RoundRobin;
pub use target::Target;

//! Quotas of organisations, counted over all routers.
//!
//! | event | action |
//! | --- | --- |
//! | [`Requester::denied_until`]: a request arrives | refuses it, if the counter has said until when |
//! | [`Engines::first_live`]: it is about to be sent | the sidecar to ask |
//! | [`Counter::ask`]: a question arrives there | [`QuotaResult`](dw_wire::QuotaResult) |
//! | [`Requester::record`]: the answer, or none in time | allows or refuses the request |
//! | [`Requester::take_isolated`]: no sidecar is heard | allows or refuses the request by turns |
//! | [`Counter::tick`]: other processes count now | the accounts to hand over |
//! | [`Counter::take_over`]: such an account arrives | none; goes on with it |
//! | [`Counter::give_back`]: a granted request did not run, or a question got no answer | none; the amount may be granted again |

mod account;
mod claim;
mod counter;
mod engines;
mod order;
mod recent_grants;
mod requester;
mod split;

pub use account::LESS_URGENT_DEBT_FRACTION;
pub use account::MIN_BURST_MS;
pub use claim::Claim;
pub use counter::Counter;
pub use counter::LimitChange;
pub use counter::MAX_OVERLAP_MS;
pub use engines::Engines;
pub use order::first_counter;
pub use requester::Isolated;
pub use requester::Requester;
pub use requester::ISOLATED_FRACTION;
pub use split::granted_part;

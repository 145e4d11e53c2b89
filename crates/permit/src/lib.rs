//! Request limits that upstreams name in their answers, and the permits with which all routers together
//! keep to them.
//!
//! Load pattern: an upstream in trouble names the requests per second that it takes from all VMs
//! together, while hundreds of routers go on to send it their share of the traffic. With hundreds of
//! routers, one request of each is more than such an upstream takes in seconds, so no share that a
//! router keeps alone holds the limit: one process issues a permit for each request.
//!
//! | type | used by | decides |
//! | --- | --- | --- |
//! | [`UpstreamLimits`] | routers, relays, issuers | which limit of an upstream is the latest |
//! | [`first_issuer`] | routers, issuers | which process issues the permits of an upstream |
//! | [`Issuer`] | sidecars | whether a request may be sent, and whether this process may decide that |
//! | [`Requester`] | routers | when the issuer is asked again, and what is sent without one |

mod issuer;
mod limits;
mod order;
mod requester;

pub use issuer::Issuer;
pub use limits::LimitChange;
pub use limits::UpstreamLimits;
pub use order::first_issuer;
pub use requester::Isolated;
pub use requester::Requester;

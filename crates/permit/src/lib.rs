//! Request limits that upstreams name in their answers.
//!
//! Load pattern: an upstream in trouble names the requests per second that it takes from all VMs
//! together, while hundreds of routers go on to send it their share of the traffic.
//!
//! | type | used by | decides |
//! | --- | --- | --- |
//! | [`UpstreamLimits`] | routers, relays | which limit of an upstream is the latest |

mod limits;

pub use limits::LimitChange;
pub use limits::UpstreamLimits;

//! Routes, services and organisations of a deployment in which routers forward requests directly to
//! upstreams.
//!
//! [`RouteTable::resolve`] finds the route of a request and checks its API key, without I/O.

mod limits;
mod organisation;
mod route;
mod service;
mod table;

pub use limits::Limits;
pub use organisation::Organisation;
pub use organisation::Quota;
pub use route::Destination;
pub use route::Kind;
pub use route::Route;
pub use service::KvStore;
pub use service::Service;
pub use table::Resolved;
pub use table::RouteTable;
pub use table::RouteTableParts;
pub use table::Unresolved;

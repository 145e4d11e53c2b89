//! Clients of the platform's table service, object store, VM list and weight store.
//!
//! A failed write is `Unavailable` only if the service certainly did not carry it out: the
//! connection was refused, or the service answered 429 or 503. Every other lost or unreadable answer
//! to a write is `UnknownOutcome`. Failed reads are `Unavailable`.

mod budget;
mod error;
mod http;
mod objects;
mod table;
mod traits;
mod vms;

pub use budget::NodeBudget;
pub use error::StoreError;
pub use http::Endpoint;
pub use objects::HttpObjects;
pub use table::HttpTable;
pub use traits::Objects;
pub use traits::Table;
pub use traits::VmSource;
pub use vms::HttpVms;

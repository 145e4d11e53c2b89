//! The router between callers and agents.
//!
//! A request passes the filters in [`filter`] in the order authenticate, validate, resolve, limit,
//! chain, place, forward, relay.

mod admin;
mod agents;
mod callers;
mod control;
mod error;
mod explain;
pub mod filter;
mod handle;
mod hello;
mod loans;
mod measures;
mod members;
mod parts;
mod pool;
mod quarantine;
mod retry;
mod router;
mod run;
mod settings;
mod shared;
mod sync;
mod synced;
mod tokens;
mod vms;

pub use control::ControlDelegate;
pub use control::NoDelegate;
pub use error::CallerError;
pub use explain::Placed;
pub use handle::NodeHandle;
pub use parts::Parts;
pub use router::Router;
pub use settings::Settings;
pub use settings::Store;
pub use sync::SyncDelegate;
pub use synced::SyncedParts;
pub use synced::SyncedRouter;
pub use vms::FixedVms;

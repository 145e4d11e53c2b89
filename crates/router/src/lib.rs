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
mod hello;
mod members;
mod parts;
mod retry;
mod router;
mod run;
mod settings;
mod shared;
mod vms;

pub use admin::NodeView;
pub use admin::Statements;
pub use control::ControlDelegate;
pub use control::NoDelegate;
pub use error::CallerError;
pub use explain::Placed;
pub use parts::Parts;
pub use retry::RetryBudget;
pub use retry::SimpleBudget;
pub use router::Router;
pub use settings::Settings;
pub use vms::FixedVms;

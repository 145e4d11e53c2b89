//! Stand-ins for the cases of the review. They use the standard library only.

pub mod client;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod store;

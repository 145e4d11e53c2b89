//! The filters that a request passes, one job each.

pub(crate) mod authenticate;
pub(crate) mod chain;
pub(crate) mod forward;
pub mod limit;
pub(crate) mod place;
pub(crate) mod relay;
pub(crate) mod resolve;
pub(crate) mod validate;

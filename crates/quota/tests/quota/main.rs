//! Quotas of organisations over all routers.

mod calm;
mod changes;
mod counter;
mod data;
mod engines;
mod excess;
mod failures;
mod fleet;
mod links;
mod memory;
mod requester;

//! Quotas of organisations over all routers.

mod calm;
mod changes;
mod counter;
mod data;
mod excess;
mod failures;
mod fleet;
mod links;
mod memory;
mod requester;

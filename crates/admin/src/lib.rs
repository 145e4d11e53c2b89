//! Administration API: authenticates operators and executes their statements.

mod administration;
mod auth;
mod edit;
mod error;
mod field;
mod handler;
mod node;
mod result_table;

pub use administration::Administration;
pub use handler::post_statements;
pub use handler::HttpResponse;
pub use handler::RuntimeHandler;
pub use handler::StatementHandler;
pub use node::ChangeLog;
pub use node::ClusterState;

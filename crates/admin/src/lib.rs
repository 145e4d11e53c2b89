//! The administration API: executes statements of the command language.

mod administration;
mod auth;
mod edit;
mod fault;
mod field;
mod handler;
mod rows;
mod source;

pub use administration::Administration;
pub use handler::post_statements;
pub use handler::HttpAnswer;
pub use handler::RuntimeHandler;
pub use handler::StatementHandler;
pub use source::ChangeLog;
pub use source::ClusterState;

//! The administration API: executes statements of the command language.

mod handler;

pub use handler::StatementHandler;

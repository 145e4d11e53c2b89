//! Types generated from the JSON schemas of the HTTP interfaces, one module per file in `schema/`.
//!
//! `cargo test -p dw-api` compares the committed modules with the schemas;
//! `UPDATE_GENERATED=1 cargo test -p dw-api` regenerates them.

#[rustfmt::skip]
mod generated;

pub use generated::admin;
pub use generated::callers;
pub use generated::engine;
pub use generated::explain;
pub use generated::service;
pub use generated::table;
pub use generated::vms;

//! HTTP/1.1 connections to upstreams and to the platform.
//!
//! [`connect`] sets the socket options that make a connection end when its peer falls silent.

mod connect;
mod describe;
mod error;

pub use connect::connect;
pub use connect::Connection;
pub use connect::Dial;
pub use describe::describe;
pub use error::ConnectError;

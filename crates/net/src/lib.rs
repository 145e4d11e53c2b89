//! Sockets: addresses that a process listens on, short answers, and HTTP/1.1 connections to others.
//!
//! [`connect`] sets the socket options that make a connection end when its peer falls silent.

mod bind;
mod body;
mod connect;
mod describe;
mod error;
mod serve;

pub use bind::datagrams;
pub use bind::listen;
pub use bind::BindError;
pub use body::read_body;
pub use body::BodyError;
pub use connect::connect;
pub use connect::over;
pub use connect::Connection;
pub use connect::Dial;
pub use describe::describe;
pub use error::ConnectError;
pub use serve::accept_each;
pub use serve::serve_status;
pub use serve::start_text;

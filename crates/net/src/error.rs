//! Failures to connect.

use std::io;
use std::net::SocketAddr;

use dw_base::DurationMs;
use thiserror::Error;

/// No connection was made, so nothing was sent.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The peer did not accept the connection in time.
    #[error("{addr} did not accept a connection within {waited_ms}")]
    Timeout {
        /// Address.
        addr: SocketAddr,
        /// Time that was waited.
        waited_ms: DurationMs,
    },
    /// The peer refused the connection or cannot be reached.
    #[error("{addr} refused a connection: {source}")]
    Refused {
        /// Address.
        addr: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The connection cannot carry HTTP.
    #[error("{addr} closed a new connection: {source}")]
    Handshake {
        /// Address.
        addr: SocketAddr,
        /// What the library reported.
        source: hyper::Error,
    },
}

impl ConnectError {
    /// Returns whether the peer's VM answered that nothing listens at the address.
    pub fn has_no_listener(&self) -> bool {
        match self {
            ConnectError::Refused { source, .. } => {
                source.kind() == io::ErrorKind::ConnectionRefused
            }
            ConnectError::Timeout { .. } | ConnectError::Handshake { .. } => false,
        }
    }
}

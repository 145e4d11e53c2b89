//! Addresses that a process listens on.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

/// An address cannot be bound.
#[derive(Debug, Error)]
#[error("{what} address {addr} cannot be bound: {source}; free it or change the settings")]
pub struct BindError {
    /// What the address is for.
    pub what: &'static str,
    /// Address.
    pub addr: SocketAddr,
    /// What the system reported.
    pub source: io::Error,
}

/// Binds an address and returns the one that is bound, which differs for port 0.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(
    what: &'static str,
    addr: SocketAddr,
) -> Result<(TcpListener, SocketAddr), BindError> {
    let bound = async {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        Ok((listener, addr))
    };
    bound
        .await
        .map_err(|source| BindError { what, addr, source })
}

/// Binds an address for datagrams.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn datagrams(what: &'static str, addr: SocketAddr) -> Result<UdpSocket, BindError> {
    let socket = UdpSocket::bind(addr).await;
    socket.map_err(|source| BindError { what, addr, source })
}

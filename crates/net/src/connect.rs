//! Connections that detect a silent peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dw_base::DurationMs;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::ConnectError;

/// The system counts the pauses between probes in whole seconds.
const SHORTEST_PROBE_PAUSE: Duration = Duration::from_secs(1);

/// How a connection is made and watched.
#[derive(Clone, Copy, Debug)]
pub struct Dial {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// Longest time until the peer accepts.
    pub connect_ms: DurationMs,
    /// Time without an acknowledgement after which the connection ends.
    pub silence_ms: DurationMs,
}

/// Sender of requests on one connection; requests follow one another.
pub type Connection = http1::SendRequest<Full<Bytes>>;

/// Connects and starts the task that drives the connection.
///
/// # Errors
///
/// Returns an error if the peer does not accept; then nothing was sent.
pub async fn connect(dial: Dial) -> Result<Connection, ConnectError> {
    let addr = dial.addr;
    let stream = timeout(dial.connect_ms.into(), TcpStream::connect(addr))
        .await
        .map_err(|_| ConnectError::Timeout {
            addr,
            waited_ms: dial.connect_ms,
        })?
        .map_err(|source| ConnectError::Refused { addr, source })?;
    configure(&stream, dial.silence_ms).map_err(|source| ConnectError::Refused { addr, source })?;
    over(stream, addr).await
}

/// Starts the task that drives a connection over a transport to a peer.
///
/// # Errors
///
/// Returns an error if the transport has ended; then nothing was sent.
pub async fn over(
    transport: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    addr: SocketAddr,
) -> Result<Connection, ConnectError> {
    let handshake = http1::Builder::new().handshake(TokioIo::new(transport));
    let (sender, connection) = handshake
        .await
        .map_err(|source| ConnectError::Handshake { addr, source })?;
    // The requests on the connection report its errors.
    tokio::spawn(async move { drop(connection.await) });
    Ok(sender)
}

fn configure(stream: &TcpStream, silence_ms: DurationMs) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let silence = Duration::from(silence_ms);
    let pause = (silence / 2).max(SHORTEST_PROBE_PAUSE);
    let probes = TcpKeepalive::new()
        .with_time(pause)
        .with_interval(pause)
        .with_retries(1);
    let socket = SockRef::from(stream);
    // A connection is closed once its answer is complete or nobody waits for it any longer. A reset
    // then keeps a request that a frozen peer has not read yet from being run.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(silence))
}

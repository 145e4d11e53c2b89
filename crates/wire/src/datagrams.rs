//! Sending and receiving of datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::codec::decode;
use crate::codec::encode;
use crate::gossip::Datagram;
use crate::gossip::MAX_DATAGRAM_BYTES;

/// Pause after a socket error. The socket also reports errors for earlier datagrams that could not be
/// delivered.
const ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Sends a datagram and returns its length. Losses are not retried, since a later datagram repeats
/// the state.
pub async fn send_datagram(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) -> usize {
    send_to_all(socket, &[to], datagram).await
}

/// Sends a datagram to several receivers and returns its length.
pub async fn send_to_all(socket: &UdpSocket, to: &[SocketAddr], datagram: &Datagram) -> usize {
    match encode(datagram) {
        Ok(bytes) if bytes.len() > MAX_DATAGRAM_BYTES => {
            log::error!(bytes = bytes.len(); "datagram exceeds the maximum length; not sent");
            0
        }
        Ok(bytes) => {
            for receiver in to {
                if let Err(e) = socket.send_to(&bytes, receiver).await {
                    log::debug!(to:% = receiver, error:% = e; "cannot send datagram");
                }
            }
            bytes.len()
        }
        Err(e) => {
            log::error!(error:% = e; "cannot encode datagram");
            0
        }
    }
}

/// Forwards the bytes of a received datagram to several receivers without waiting for space in the
/// send buffer.
pub fn forward_datagram(socket: &UdpSocket, to: &[SocketAddr], bytes: &[u8]) {
    for receiver in to {
        if let Err(e) = socket.try_send_to(bytes, *receiver) {
            log::debug!(to:% = receiver, error:% = e; "cannot send datagram");
        }
    }
}

/// Calls `handler` with the sender, contents and bytes of each datagram until the task is aborted.
pub async fn receive_datagrams(
    socket: &UdpSocket,
    mut handler: impl FnMut(SocketAddr, Datagram, &[u8]),
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match decode(&buffer[..length]) {
                Ok(datagram) => handler(from, datagram, &buffer[..length]),
                Err(e) => log::warn!(from:%, error:% = e; "cannot decode datagram"),
            },
            Err(e) => {
                log::debug!(error:% = e; "cannot receive datagram");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

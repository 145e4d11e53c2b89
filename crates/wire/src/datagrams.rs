//! Sending and hearing of datagrams.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::codec::decode;
use crate::codec::encode;
use crate::gossip::Datagram;
use crate::gossip::MAX_DATAGRAM_BYTES;

/// Pause after an error of the socket, which reports datagrams that nobody received.
const ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Sends a datagram and returns its length; a lost one is repaired by a later one.
pub async fn send_datagram(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) -> usize {
    send_to_all(socket, &[to], datagram).await
}

/// Sends a datagram to several receivers and returns its length.
pub async fn send_to_all(socket: &UdpSocket, to: &[SocketAddr], datagram: &Datagram) -> usize {
    match encode(datagram) {
        Ok(bytes) if bytes.len() > MAX_DATAGRAM_BYTES => {
            log::error!(bytes = bytes.len(); "datagram is too long and is not sent");
            0
        }
        Ok(bytes) => {
            for receiver in to {
                if let Err(e) = socket.send_to(&bytes, receiver).await {
                    log::debug!(to:% = receiver, error:% = e; "datagram is lost");
                }
            }
            bytes.len()
        }
        Err(e) => {
            log::error!(error:% = e; "datagram cannot be encoded");
            0
        }
    }
}

/// Sends the bytes of a heard datagram to several receivers without waiting for room to send.
pub fn forward_datagram(socket: &UdpSocket, to: &[SocketAddr], bytes: &[u8]) {
    for receiver in to {
        if let Err(e) = socket.try_send_to(bytes, *receiver) {
            log::debug!(to:% = receiver, error:% = e; "datagram is lost");
        }
    }
}

/// Hands each datagram with its sender and its bytes to `on` until the task is aborted.
pub async fn receive_datagrams(
    socket: &UdpSocket,
    mut on: impl FnMut(SocketAddr, Datagram, &[u8]),
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match decode(&buffer[..length]) {
                Ok(datagram) => on(from, datagram, &buffer[..length]),
                Err(e) => log::warn!(from:%, error:% = e; "datagram cannot be read"),
            },
            Err(e) => {
                log::debug!(error:% = e; "datagram is lost");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

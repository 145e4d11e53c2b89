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

/// Sends a datagram; a lost one is repaired by the next one.
pub async fn tell(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    match encode(datagram) {
        Ok(bytes) if bytes.len() > MAX_DATAGRAM_BYTES => {
            log::error!(to:%, bytes = bytes.len(); "datagram is too long and is not sent");
        }
        Ok(bytes) => drop(socket.send_to(&bytes, to).await),
        Err(e) => log::error!(error:% = e; "datagram cannot be encoded"),
    }
}

/// Hands each datagram with its sender to `on` until the task is aborted.
pub async fn hear(socket: &UdpSocket, mut on: impl FnMut(SocketAddr, Datagram)) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match decode(&buffer[..length]) {
                Ok(datagram) => on(from, datagram),
                Err(e) => log::warn!(from:%, error:% = e; "datagram cannot be read"),
            },
            Err(e) => {
                log::debug!(error:% = e; "datagram is lost");
                tokio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

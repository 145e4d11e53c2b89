//! Clients.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::header;
use crate::http::read_body;
use crate::http::read_chunk;
use crate::http::read_head;
use crate::http::Headers;

/// Time that a client allows a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: String,
    pub host: String,
    pub path: String,
    pub attempt: String,
    pub key: String,
    pub deadline_ms: u64,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A stream of events, or another answer.
pub struct Stream {
    pub status: u16,
    pub headers: Headers,
    reader: BufReader<TcpStream>,
    text: String,
}

/// What comes next in a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// An event with its id.
    Event(u64, String),
    /// The end of a complete answer.
    End,
    /// The connection broke or went silent.
    Broken,
}

impl Call {
    fn send(&self, addr: SocketAddr) -> Option<BufReader<TcpStream>> {
        let mut stream = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms)));
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
            self.method, self.path, self.host, self.attempt, self.deadline_ms, self.key
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!(
            "Content-Length: {}\r\n\r\n{}",
            self.body.len(),
            self.body
        ));
        stream.write_all(text.as_bytes()).ok()?;
        Some(BufReader::new(stream))
    }

    /// Sends the request on a new connection and returns the whole answer; none if there is none.
    pub fn call(&self, addr: SocketAddr) -> Option<Answer> {
        let mut reader = self.send(addr)?;
        let (status, headers) = read_status(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        Some(Answer {
            status,
            headers,
            body,
        })
    }

    /// Sends the request on a new connection and returns the answer once its head has arrived.
    pub fn open(&self, addr: SocketAddr) -> Option<Stream> {
        let mut reader = self.send(addr)?;
        let (status, headers) = read_status(&mut reader)?;
        Some(Stream {
            status,
            headers,
            reader,
            text: String::new(),
        })
    }
}

fn read_status(reader: &mut BufReader<TcpStream>) -> Option<(u16, Headers)> {
    let (first, headers) = read_head(reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, headers))
}

impl Stream {
    /// Waits for the next event.
    pub fn next_event(&mut self) -> Next {
        loop {
            if let Some((event, rest)) = self.text.split_once("\n\n") {
                let id = event
                    .lines()
                    .find_map(|line| line.strip_prefix("id: ")?.parse().ok());
                let event = event.to_owned();
                self.text = rest.to_owned();
                if let Some(id) = id {
                    return Next::Event(id, event);
                }
                continue;
            }
            if header(&self.headers, "transfer-encoding").is_none() {
                return Next::Broken;
            }
            match read_chunk(&mut self.reader) {
                Some(chunk) if chunk.is_empty() => return Next::End,
                Some(chunk) => self.text.push_str(&String::from_utf8_lossy(&chunk)),
                None => return Next::Broken,
            }
        }
    }
}

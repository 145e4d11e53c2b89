//! HTTP/1.1 messages over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// Headers in the order in which they came, names in lower case.
pub type Headers = Vec<(String, String)>;

/// Returns the first header of a name.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.as_str())
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pair = query.split('&').filter_map(|pair| pair.split_once('='));
        pair.into_iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the first line and the headers of a message; none if the connection ends before.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Headers)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Headers::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads one chunk; an empty one is the last. None if the connection ends before.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut size = String::new();
    if reader.read_line(&mut size).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(size.trim().split(';').next()?, 16).ok()?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data).ok()?;
    let mut end = String::new();
    reader.read_line(&mut end).ok()?;
    Some(data)
}

/// Reads a whole body with a length or in chunks; none if it ends early.
pub fn read_body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> Option<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = header(headers, "content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Reads a request; none if the connection ends before.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    Some(Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers,
        body,
    })
}

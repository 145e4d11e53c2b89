//! HTTP/1.1 messages over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the start line at this place.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message; nothing if the connection has ended before.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return match head.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end_matches(['\r', '\n']);
        if head.start.is_empty() {
            head.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::Error::other("no chunk size"))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok(data)
}

/// Reads the body that belongs to a head.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Answers with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves each connection to an address on a thread of its own.
pub fn serve(addr: SocketAddr, serve_one: impl Fn(TcpStream) + Clone + Send + 'static) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_one = serve_one.clone();
            std::thread::spawn(move || serve_one(stream));
        }
    });
    Ok(())
}

/// A connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects and sends a request; answers that take longer than `wait` are errors.
    pub fn send(addr: SocketAddr, request: &[u8], wait: Duration) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait))?;
        stream.write_all(request)?;
        Ok(Client {
            reader: BufReader::new(stream),
        })
    }

    pub fn head(&mut self) -> io::Result<Head> {
        read_head(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        read_body(&mut self.reader, head)
    }

    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        read_chunk(&mut self.reader)
    }
}

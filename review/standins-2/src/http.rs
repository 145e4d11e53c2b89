//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Pause between two looks for a new connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the n-th word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(n, _)| *n == name)?.1;
        Some(unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3);
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads one message; the body ends with its length, its last chunk or, in an answer, the connection.
pub fn read_message(reader: &mut impl BufRead, is_answer: bool) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").map(str::to_owned);
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = length {
        message.body = vec![0; length.parse().unwrap_or_default()];
        reader.read_exact(&mut message.body)?;
    } else if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size =
            usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Formats an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// What a server does after a request.
pub enum Reply {
    /// Sends these bytes and goes on.
    Bytes(Vec<u8>),
    /// Closes the connection without an answer.
    Close,
    /// Never answers; the connection stays open until the caller closes it.
    Never,
    /// Writes an answer piece by piece; the connection goes on if it returns true.
    Stream(Box<dyn FnOnce(&mut TcpStream) -> bool>),
}

/// A running server.
#[derive(Clone, Default)]
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the address and all connections, as the end of a process does.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        thread::sleep(ACCEPT_PAUSE * 5);
        let mut open = self.open.lock().expect("no thread has panicked");
        for stream in open.drain(..) {
            // The peer may have closed it.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Answers requests on an address, each connection in a thread of its own.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> Server {
    let handle = Arc::new(handle);
    let server = Server::default();
    let running = server.clone();
    let is_set = listener.set_nonblocking(true);
    thread::spawn(move || {
        is_set.expect("listener can be polled");
        while !running.is_stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PAUSE);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(open) = stream.try_clone() {
                let mut all = running.open.lock().expect("no thread has panicked");
                all.retain(|stream| stream.peer_addr().is_ok());
                all.push(open);
            }
            let handle = handle.clone();
            thread::spawn(move || serve_connection(stream, handle.as_ref()));
        }
    });
    server
}

fn serve_connection(stream: TcpStream, handle: &(impl Fn(&Message) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_message(&mut reader, false) {
        match handle(&request) {
            Reply::Bytes(bytes) => {
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Stream(write) => {
                if !write(&mut writer) {
                    let _ = writer.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
            Reply::Never => {
                // Whatever else the caller sends is read and dropped.
                let _ = io::copy(&mut reader, &mut io::sink());
                return;
            }
            Reply::Close => {
                let _ = writer.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Sends one request on a new connection and returns the whole answer, or nothing if none came.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&addr, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\nConnection: close\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes).ok()?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true).ok().flatten()
}

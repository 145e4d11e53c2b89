//! The platform's store: tables of rows, with a feed of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_request;
use crate::http::Request;
use crate::json;
use crate::json::Json;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Maximum number of rows in one answer.
const MAX_ROWS: usize = 500;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
    /// Version of the last change of each row, with its value or none if it was dropped.
    changes: BTreeMap<u64, (Key, Option<String>)>,
}

impl Rows {
    fn put(&mut self, key: Key, value: String, version: u64) {
        self.changed(&key, Some(value.clone()), version);
        self.rows.insert(key, (value, version));
    }

    fn remove(&mut self, key: Key, version: u64) {
        if self.rows.remove(&key).is_some() {
            self.changed(&key, None, version);
        }
    }

    fn changed(&mut self, key: &Key, value: Option<String>, version: u64) {
        // Several rows of one transaction share its version, so each gets a slot of its own.
        let mut slot = version * 1_000;
        while self.changes.contains_key(&slot) {
            slot += 1;
        }
        self.changes.insert(slot, (key.clone(), value));
    }
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
    is_down: AtomicBool,
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(ALPHABET[(bits >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

impl Store {
    /// Starts the store at an address.
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
            is_down: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(addr)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Takes the store down, which resets all connections and answers nothing, or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Waits until the store is up.
    pub fn wait_up(&self) {
        while self.is_down() {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Writes a row; the return is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.put(key, base64(value.as_bytes()), version);
        drop(rows);
        self.changed.notify_all();
    }

    /// Drops a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.remove((table.to_owned(), String::new(), key.to_owned()), version);
        drop(rows);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            thread::sleep(ANSWER_TIME);
            if self.is_down() {
                return;
            }
            let (status, body) = self.answer(&request);
            if self.is_down() {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        match (request.method.as_str(), request.path()) {
            ("GET", "/rows-get") => ("200 OK", self.get(request)),
            ("GET", "/rows-feed") => ("200 OK", self.feed(request)),
            ("POST", "/rows-tx") => self.transact(request),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn tail(&self, version: u64) -> String {
        format!(
            "\"ver\":{version},\"now-ms\":{}",
            self.start.elapsed().as_millis()
        )
    }

    fn get(&self, request: &Request) -> String {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to");
        let rows = self.rows.lock().unwrap();
        let is_asked = |key: &&Key| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && to.as_ref().is_none_or(|to| key.2 < *to)
        };
        let found: Vec<String> = rows
            .rows
            .iter()
            .filter(|(key, _)| is_asked(key))
            .map(|(key, (value, version))| row(key, Some(value), *version))
            .collect();
        let has_more = found.len() > MAX_ROWS;
        let found = &found[..found.len().min(MAX_ROWS)];
        format!(
            "{{\"rows\":[{}],\"has-more\":{has_more},{}}}",
            found.join(","),
            self.tail(rows.version)
        )
    }

    fn feed(&self, request: &Request) -> String {
        let table = request.query("table").unwrap_or_default();
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let after = number("after").unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or_default());
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut found: Vec<(&Key, String)> = Vec::new();
            for (slot, (key, value)) in rows.changes.range((after + 1) * 1_000..) {
                if key.0 == table {
                    found.retain(|(known, _)| *known != key);
                    found.push((key, row(key, value.as_ref(), slot / 1_000)));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() || self.is_down() {
                let found: Vec<String> = found.into_iter().map(|(_, row)| row).collect();
                return format!(
                    "{{\"rows\":[{}],{}}}",
                    found.join(","),
                    self.tail(rows.version)
                );
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body);
        let Some(body) = json::parse(&body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let list = |name| body.get(name).map_or(&[][..], Json::items);
        let text = |row: &Json, name| row.get(name).map_or(String::new(), |v| v.text().to_owned());
        let key = |row: &Json| (text(row, "table"), text(row, "part"), text(row, "key"));
        let is_refused = |row: &Json| ["op", "servers"].contains(&text(row, "table").as_str());
        if list("puts").iter().chain(list("remove")).any(is_refused) {
            return ("403 Forbidden", "{}".to_owned());
        }
        let mut rows = self.rows.lock().unwrap();
        let is_stale = |row: &&Json| {
            let stored = rows.rows.get(&key(row)).map_or(0, |(_, version)| *version);
            stored != row.get("ver").map_or(0, |version| version.number() as u64)
        };
        let stale = list("expected").iter().any(|row| is_stale(&row));
        if !stale {
            rows.version += 1;
            let version = rows.version;
            for put in list("puts") {
                rows.put(key(put), text(put, "value"), version);
            }
            for removed in list("remove") {
                rows.remove(key(removed), version);
            }
            self.changed.notify_all();
            return ("200 OK", format!("{{{}}}", self.tail(version)));
        }
        let current = list("expected").iter().filter_map(|expected| {
            let key = key(expected);
            let (value, version) = rows.rows.get(&key)?;
            Some(row(&key, Some(value), *version))
        });
        let current: Vec<String> = current.collect();
        let body = format!(
            "{{\"rows\":[{}],{}}}",
            current.join(","),
            self.tail(rows.version)
        );
        ("412 Precondition Failed", body)
    }
}

fn row((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{content},\"ver\":{version}}}")
}

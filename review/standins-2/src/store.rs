//! Stand-in for the platform's store: rows with versions, a feed of changes, conditional writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::answer;
use crate::http::serve;
use crate::http::Message;
use crate::http::Reply;
use crate::json::parse;
use crate::json::to_base64;
use crate::json::Json;

/// Table, part, key.
type Key = (String, String, String);

/// Time of one transaction.
const TRANSACTION: Duration = Duration::from_millis(3);

#[derive(Clone)]
struct Row {
    /// In base64; nothing if the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Clone, Default)]
struct Contents {
    version: u64,
    rows: BTreeMap<Key, Row>,
}

struct State {
    contents: Contents,
    era: u64,
    /// Whether every call gets 503.
    away: bool,
    /// Address of the store at which nothing is answered: what is asked there meanwhile, or what is due, is
    /// never answered, and the connection delivers nothing further.
    silent_at: Option<SocketAddr>,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    inner: Arc<Inner>,
}

/// A copy of all rows.
#[derive(Clone)]
pub struct Copy(Contents);

fn key(table: &str, part: &str, key: &str) -> Key {
    (table.to_owned(), part.to_owned(), key.to_owned())
}

impl Store {
    pub fn new() -> Self {
        Store {
            inner: Arc::new(Inner {
                state: Mutex::new(State {
                    contents: Contents::default(),
                    era: 1,
                    away: false,
                    silent_at: None,
                }),
                changed: Condvar::new(),
                started: Instant::now(),
            }),
        }
    }

    /// Writes a row, as the operator or an engine does; returns whether the store took it.
    pub fn put(&self, table: &str, name: &str, value: &str) -> bool {
        self.change(key(table, "", name), Some(to_base64(value.as_bytes())))
    }

    /// Answers at another address too, which one machine uses.
    pub fn open(&self, listener: TcpListener) -> SocketAddr {
        let addr = listener.local_addr().expect("listener has an address");
        let serving = self.clone();
        serve(listener, move |request| serving.handle(addr, request));
        addr
    }

    /// Answers nothing at an address, or answers at all again; the operator is served all the while.
    pub fn set_silent_at(&self, addr: Option<SocketAddr>) {
        let mut state = self.inner.state.lock().expect("no thread has panicked");
        state.silent_at = addr;
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, name: &str) -> bool {
        self.change(key(table, "", name), None)
    }

    fn change(&self, key: Key, value: Option<String>) -> bool {
        let mut state = self.inner.state.lock().expect("no thread has panicked");
        if state.away {
            return false;
        }
        state.contents.version += 1;
        let version = state.contents.version;
        state.contents.rows.insert(key, Row { value, version });
        self.inner.changed.notify_all();
        true
    }

    pub fn copy(&self) -> Copy {
        let state = self.inner.state.lock().expect("no thread has panicked");
        Copy(state.contents.clone())
    }

    /// Refuses all calls with 503, or serves them again.
    pub fn set_away(&self, away: bool) {
        let mut state = self.inner.state.lock().expect("no thread has panicked");
        state.away = away;
        self.inner.changed.notify_all();
    }

    /// Comes back with the contents of a copy, in the next era.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.inner.state.lock().expect("no thread has panicked");
        state.contents = copy.0;
        state.era += 1;
        state.away = false;
        self.inner.changed.notify_all();
    }

    fn is_silent_at(&self, addr: SocketAddr) -> bool {
        let state = self.inner.state.lock().expect("no thread has panicked");
        state.silent_at == Some(addr)
    }

    fn handle(&self, addr: SocketAddr, request: &Message) -> Reply {
        if self.is_silent_at(addr) {
            return Reply::Never;
        }
        let reply = self.answer(request);
        match self.is_silent_at(addr) {
            true => Reply::Never,
            false => reply,
        }
    }

    fn answer(&self, request: &Message) -> Reply {
        let (status, body) = match (request.word(0), request.path()) {
            ("GET", "/rows-get") => self.get(request),
            ("GET", "/rows-feed") => self.feed(request),
            ("POST", "/rows-tx") => self.transact(request),
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let state = self.inner.state.lock().expect("no thread has panicked");
        let era = state.era.to_string();
        let (status, body) = match state.away {
            true => ("503 Service Unavailable", "{}".to_owned()),
            false => (status, body),
        };
        let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
        Reply::Bytes(answer(status, &headers, body.as_bytes()))
    }

    fn now_ms(&self) -> u128 {
        self.inner.started.elapsed().as_millis()
    }

    fn get(&self, request: &Message) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to");
        let state = self.inner.state.lock().expect("no thread has panicked");
        let rows = state.contents.rows.iter().filter(|((t, p, k), row)| {
            *t == table
                && *p == part
                && *k >= from
                && to.as_ref().is_none_or(|to| k < to)
                && row.value.is_some()
        });
        let all: Vec<String> = rows.map(|(key, row)| format_row(key, row)).collect();
        let body = format!(
            "{{\"rows\":[{}],\"has-more\":{},\"ver\":{},\"now-ms\":{}}}",
            all[..all.len().min(500)].join(","),
            all.len() > 500,
            state.contents.version,
            self.now_ms()
        );
        ("200 OK", body)
    }

    fn feed(&self, request: &Message) -> (&'static str, String) {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| {
            let text = request.query(name).unwrap_or_default();
            text.parse::<u64>().unwrap_or_default()
        };
        let (after, wait_ms) = (number("after"), number("wait-ms"));
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.inner.state.lock().expect("no thread has panicked");
        let era = state.era;
        loop {
            if state.away {
                return ("503 Service Unavailable", "{}".to_owned());
            }
            if state.era != era || after > state.contents.version {
                return ("410 Gone", "{}".to_owned());
            }
            let rows = state.contents.rows.iter();
            let mut changed: Vec<(&Key, &Row)> = rows
                .filter(|((t, _, _), row)| *t == table && row.version > after)
                .collect();
            changed.sort_by_key(|(_, row)| row.version);
            let now = Instant::now();
            if !changed.is_empty() || now >= until {
                let rows: Vec<String> = changed.iter().map(|(k, r)| format_row(k, r)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now-ms\":{}}}",
                    rows.join(","),
                    state.contents.version,
                    self.now_ms()
                );
                return ("200 OK", body);
            }
            let waited = self.inner.changed.wait_timeout(state, until - now);
            state = waited.expect("no thread has panicked").0;
        }
    }

    fn transact(&self, request: &Message) -> (&'static str, String) {
        thread::sleep(TRANSACTION);
        let Some(body) = parse(&request.body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let row_key = |row: &Json| key(row.text("table"), row.text("part"), row.text("key"));
        let mut state = self.inner.state.lock().expect("no thread has panicked");
        if state.away {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        let contents = &mut state.contents;
        let is_refused = |row: &&Json| {
            let table = row.text("table");
            table == "op" || table == "servers"
        };
        if body
            .list("puts")
            .iter()
            .chain(body.list("remove"))
            .any(|r| is_refused(&r))
        {
            return ("403 Forbidden", "{}".to_owned());
        }
        let current = |contents: &Contents, key: &Key| {
            let row = contents.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let expected = body.list("expected");
        let differs =
            |row: &&Json| current(contents, &row_key(row)) != row.number("ver").unwrap_or_default();
        if expected.iter().any(|row| differs(&row)) {
            let rows = expected.iter().filter_map(|row| {
                let key = row_key(row);
                let row = contents.rows.get(&key).filter(|row| row.value.is_some())?;
                Some(format_row(&key, row))
            });
            let rows: Vec<String> = rows.collect();
            let body = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now-ms\":{}}}",
                rows.join(","),
                contents.version,
                self.now_ms()
            );
            return ("412 Precondition Failed", body);
        }
        contents.version += 1;
        let version = contents.version;
        for put in body.list("puts") {
            let value = Some(put.text("value").to_owned());
            contents.rows.insert(row_key(put), Row { value, version });
        }
        for removed in body.list("remove") {
            let row = Row {
                value: None,
                version,
            };
            contents.rows.insert(row_key(removed), row);
        }
        self.inner.changed.notify_all();
        (
            "200 OK",
            format!("{{\"ver\":{version},\"now-ms\":{}}}", self.now_ms()),
        )
    }
}

fn format_row((table, part, key): &Key, row: &Row) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{}}}",
        row.version
    )
}

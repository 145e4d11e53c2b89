//! Stand-in for the platform's store: rows, their changes and transactions.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::json;
use crate::json::Json;

struct Row {
    /// Absent for a removed row.
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let store = Store {
            state: Arc::default(),
            started: Instant::now(),
        };
        let serving = store.clone();
        http::serve(addr, move |stream| {
            // The caller sees the error of its own connection.
            let _ = serving.serve_connection(stream);
        })?;
        Ok(store)
    }

    /// Writes a row, or removes it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        let row = Row {
            value: value.map(|value| value.as_bytes().to_vec()),
            version: state.version,
        };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let (status, answer) = self.answer(&head, &body);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            http::answer(&mut stream, status, headers, answer.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map_or("", |(_, value)| value)
        };
        match path {
            "/rows-get" => ("200 OK", self.rows(query("table"), None)),
            "/rows-feed" => {
                let after = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait-ms").parse().unwrap_or(0));
                self.wait_for_change(query("table"), after, wait);
                ("200 OK", self.rows(query("table"), Some(after)))
            }
            "/rows-tx" => self.transact(&String::from_utf8_lossy(body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn wait_for_change(&self, table: &str, after: u64, wait: Duration) {
        let (state, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let mut rows = state.rows.iter().filter(|((of, _), _)| of == table);
            let left = until.saturating_duration_since(Instant::now());
            if rows.any(|(_, row)| row.version > after) || left.is_zero() {
                return;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows(&self, table: &str, after: Option<u64>) -> String {
        let state = self.state.0.lock().unwrap();
        let of_table = state.rows.iter().filter(|((of, _), _)| of == table);
        let mut rows: Vec<(&String, &Row)> = of_table
            .filter(|(_, row)| match after {
                Some(after) => row.version > after,
                None => row.value.is_some(),
            })
            .map(|((_, key), row)| (key, row))
            .collect();
        if after.is_some() {
            rows.sort_by_key(|(_, row)| row.version);
        }
        let rows: Vec<String> = rows
            .into_iter()
            .map(|(key, row)| {
                let rest = match &row.value {
                    Some(value) => format!("\"value\":\"{}\"", json::to_base64(value)),
                    None => "\"tombstone\":true".to_owned(),
                };
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{rest},\"ver\":{}}}",
                    row.version
                )
            })
            .collect();
        let now = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"has-more\":false,\"ver\":{},\"now-ms\":{now}}}",
            rows.join(","),
            state.version
        )
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(request) = json::parse(body) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let name = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let now = self.started.elapsed().as_millis();
        let holds = |row: &Json| {
            let known = state.rows.get(&name(row)).filter(|row| row.value.is_some());
            known.map_or(0, |row| row.version) == row.get("ver").number()
        };
        if !request.get("expected").list().iter().all(holds) {
            let answer = format!("{{\"rows\":[],\"ver\":{},\"now-ms\":{now}}}", state.version);
            return ("412 Precondition Failed", answer);
        }
        state.version += 1;
        let version = state.version;
        for put in request.get("puts").list() {
            let value = Some(json::from_base64(put.get("value").text()));
            state.rows.insert(name(put), Row { value, version });
        }
        for removed in request.get("remove").list() {
            state.rows.insert(name(removed), Row { value: None, version });
        }
        changed.notify_all();
        ("200 OK", format!("{{\"ver\":{version},\"now-ms\":{now}}}"))
    }
}

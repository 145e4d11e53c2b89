//! Stand-in for a model engine or a plain server.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::process::Record;

/// A part of the KV cache that a run used.
#[derive(Clone, Debug)]
pub struct Use {
    pub tenant: String,
    /// Tenant whose request made the part.
    pub made_by: String,
    pub at: Instant,
}

/// Start of all engines.
const FIRST_BORN: u64 = 1_700_000_000_000;

/// Pause between two looks for new connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// What all engines of a site share.
#[derive(Clone)]
pub struct Shared {
    pub engines: Arc<Mutex<HashMap<SocketAddr, Arc<Engine>>>>,
    pub uses: Arc<Mutex<Vec<Use>>>,
    pub record: Record,
}

/// How an engine is set up.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub addr: SocketAddr,
    pub software: String,
    pub zone: String,
    /// Served by model engines; plain servers have none.
    pub model: Option<String>,
    /// Events of a stream and the pause between them.
    pub events: u32,
    pub pause: Duration,
}

/// An engine.
pub struct Engine {
    pub setup: Setup,
    shared: Shared,
    /// Tenant whose request made a cached part, by salt and part.
    cache: Mutex<HashMap<(String, String), String>>,
    /// Cached parts in the order in which they were made.
    made: Mutex<Vec<(String, String, u64)>>,
    /// Whether the network refuses and ends all connections to it; the engine itself goes on.
    cut: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    /// Number of requests that it has run.
    pub runs: AtomicUsize,
    is_dark: AtomicBool,
    starts: AtomicUsize,
    /// Version of its software, which a restart may change.
    software: Mutex<String>,
    /// Unix millisecond of its start.
    born: AtomicU64,
}

impl Engine {
    pub fn start(setup: Setup, shared: &Shared) -> io::Result<Arc<Self>> {
        let software = setup.software.clone();
        let engine = Arc::new(Engine {
            setup,
            shared: shared.clone(),
            cache: Mutex::default(),
            made: Mutex::default(),
            cut: AtomicBool::new(false),
            open: Mutex::default(),
            runs: AtomicUsize::new(0),
            is_dark: AtomicBool::new(false),
            starts: AtomicUsize::new(0),
            software: Mutex::new(software),
            born: AtomicU64::new(FIRST_BORN),
        });
        let mut engines = shared.engines.lock().unwrap();
        engines.insert(engine.setup.addr, engine.clone());
        let serving = engine.clone();
        let listener = listen(engine.setup.addr)?;
        thread::spawn(move || serving.accept(listener));
        Ok(engine)
    }

    fn accept(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            while !self.cut.load(Ordering::SeqCst) {
                if self.is_dark.load(Ordering::SeqCst) {
                    sleep(ACCEPT_PAUSE);
                    continue;
                }
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ACCEPT_PAUSE);
                    continue;
                };
                if let Ok(open) = stream.try_clone() {
                    self.open.lock().unwrap().push(open);
                }
                let engine = self.clone();
                // The caller sees the error of its own connection.
                thread::spawn(move || engine.serve_connection(stream));
            }
            drop(listener);
            while self.cut.load(Ordering::SeqCst) {
                sleep(ACCEPT_PAUSE);
            }
            listener = loop {
                match listen(self.setup.addr) {
                    Ok(listener) => break listener,
                    Err(_) => sleep(ACCEPT_PAUSE),
                }
            };
        }
    }

    /// Cuts the engine off from all others for a time: connections end, and new ones are refused.
    pub fn cut_off(&self, time: Duration) {
        self.cut.store(true, Ordering::SeqCst);
        sleep(ACCEPT_PAUSE * 4);
        for stream in self.open.lock().unwrap().drain(..) {
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        sleep(time);
        self.cut.store(false, Ordering::SeqCst);
    }

    /// Takes the power away: nothing is read or written any more, and nothing tells the others.
    pub fn power_off(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
    }

    /// Starts the engine again under its id, with another version of its software. What was open before is reset.
    pub fn power_on(&self, software: &str) {
        self.cut.store(true, Ordering::SeqCst);
        self.is_dark.store(false, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        *self.software.lock().unwrap() = software.to_owned();
        self.born.fetch_add(60_000, Ordering::SeqCst);
        self.cache.lock().unwrap().clear();
        self.made.lock().unwrap().clear();
        sleep(ACCEPT_PAUSE * 4);
        for stream in self.open.lock().unwrap().drain(..) {
            // It may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.cut.store(false, Ordering::SeqCst);
    }

    /// Waits while there is no power; fails if the engine has started again since.
    fn check_power(&self, start: usize) -> io::Result<()> {
        while self.is_dark.load(Ordering::SeqCst) {
            sleep(ACCEPT_PAUSE);
        }
        match self.starts.load(Ordering::SeqCst) == start {
            true => Ok(()),
            false => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    /// Returns the version of its software.
    pub fn software(&self) -> String {
        self.software.lock().unwrap().clone()
    }

    /// Returns the registration in the platform's store.
    pub fn registration(&self, service: &str, cold_left_ms: u64) -> String {
        let setup = &self.setup;
        let models = match &setup.model {
            Some(model) => format!(
                "\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],"
            ),
            None => String::new(),
        };
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":32,\
             \"state\":\"ready\",\"cold-left-ms\":{cold_left_ms},{models}\"call-seq\":0,\"born\":{}}}",
            setup.addr,
            setup.zone,
            self.software(),
            self.born.load(Ordering::SeqCst)
        )
    }

    fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let start = self.starts.load(Ordering::SeqCst);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            self.check_power(start)?;
            let path = head.word(1).split('?').next().unwrap_or("").to_owned();
            match path.as_str() {
                "/report" => self.report(&mut stream)?,
                "/kv-events" => self.kv_events(&mut stream, &head)?,
                "/kv-list" => self.kv_list(&mut stream)?,
                "/order" => http::answer(&mut stream, "200 OK", "", b"")?,
                "/healthz" => {
                    let id = format!("Instance-Id: {}\r\n", self.setup.id);
                    http::answer(&mut stream, "200 OK", &id, b"")?;
                }
                _ => self.run(&mut stream, &head, body.len())?,
            }
        }
        Ok(())
    }

    fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let model = self.setup.model.as_deref().unwrap_or("");
        let body = format!(
            "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"call-seq\":0,\"waiting\":0,\"running\":0,\"kv-used\":0,\"kv-total\":224223,\
             \"handles\":0,\"born\":{}}}",
            self.born.load(Ordering::SeqCst)
        );
        json_answer(stream, &body)
    }

    fn kv_events(&self, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
        let query = head.word(1).split_once('?').map_or("", |(_, query)| query);
        let since = query.split('&').find_map(|pair| pair.strip_prefix("since="));
        let since: usize = since.and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = head
            .header("wait-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(1_000));
        while self.made.lock().unwrap().len() <= since && Instant::now() < until {
            sleep(Duration::from_millis(20));
        }
        let made = self.made.lock().unwrap();
        let model = self.setup.model.as_deref().unwrap_or("");
        let events = made
            .iter()
            .enumerate()
            .skip(since)
            .map(|(at, (salt, part, tokens))| {
                format!("[{at},\"+\",\"{salt}\",\"{part}\",{tokens},\"{model}\"]")
            });
        let events: Vec<String> = events.collect();
        let body = format!(
            "{{\"epoch\":77,\"next\":{},\"lost\":false,\"events\":[{}]}}",
            made.len(),
            events.join(",")
        );
        drop(made);
        json_answer(stream, &body)
    }

    fn kv_list(&self, stream: &mut TcpStream) -> io::Result<()> {
        let made = self.made.lock().unwrap();
        let model = self.setup.model.as_deref().unwrap_or("");
        let held = made
            .iter()
            .map(|(salt, part, tokens)| format!("[\"{salt}\",\"{part}\",{tokens},\"{model}\"]"));
        let held: Vec<String> = held.collect();
        let body = format!(
            "{{\"epoch\":77,\"next\":{},\"held\":[{}]}}",
            made.len(),
            held.join(",")
        );
        drop(made);
        json_answer(stream, &body)
    }

    fn run(&self, stream: &mut TcpStream, head: &Head, body_bytes: usize) -> io::Result<()> {
        let text = |name: &str| head.header(name).unwrap_or("").to_owned();
        let attempt = text("attempt-id");
        let expected = text("expect-instance");
        if !expected.is_empty() && expected != self.setup.id {
            let id = format!("Instance-Id: {}\r\n", self.setup.id);
            return http::answer(stream, "421 Misdirected Request", &id, b"");
        }
        let versions = text("expect-version");
        if self.setup.model.is_some() && !versions.is_empty() && versions != "1" {
            let id = format!("Instance-Id: {}\r\nWeight-Versions: 1\r\n", self.setup.id);
            return http::answer(stream, "421 Misdirected Request", &id, b"");
        }
        let tenant = text("tenant");
        let path = head.word(1).to_owned();
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.shared.record.line(&format!(
            "engine {} ({}) runs {attempt} {} {path} tenant={tenant} salt={} resumes={} after={} body={body_bytes}",
            self.setup.id,
            self.software(),
            head.word(0),
            text("cache-salt"),
            text("resumes"),
            text("last-event-id"),
        ));
        let common = format!(
            "Attempt-Id: {attempt}\r\nServer-Stamp: 3e1b.{}.{attempt}\r\n",
            self.setup.id
        );
        if self.setup.model.is_none() {
            sleep(Duration::from_millis(20));
            let body = format!("answer to {attempt}");
            return http::answer(stream, "200 OK", &common, body.as_bytes());
        }
        self.read_prompt(&attempt, &tenant, head);
        let (software, first) = (self.software(), self.starts.load(Ordering::SeqCst));
        let begin: u32 = text("last-event-id").parse().unwrap_or(0);
        let start = format!(
            "HTTP/1.1 200 OK\r\n{common}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(start.as_bytes())?;
        for number in begin + 1..=self.setup.events {
            sleep(self.setup.pause);
            self.check_power(first)?;
            let event = format!("id: {number}\ndata: {} {}\n\n", software, self.setup.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Uses the parts of a prompt that are cached under its salt, here or where it is told to fetch them, and
    /// keeps the others.
    fn read_prompt(&self, attempt: &str, tenant: &str, head: &Head) {
        let salt = head.header("cache-salt").unwrap_or("").to_owned();
        let source = head
            .header("kv-fetch")
            .and_then(|addr| addr.parse::<SocketAddr>().ok());
        let source = source.and_then(|addr| self.shared.engines.lock().unwrap().get(&addr).cloned());
        let prefix = head.header("prompt-prefix").unwrap_or("");
        let mut is_cached = true;
        for entry in prefix.split(',') {
            let Some((part, tokens)) = entry.trim().split_once(':') else {
                continue;
            };
            let key = (salt.clone(), part.to_owned());
            let own = self.cache.lock().unwrap().get(&key).cloned();
            let fetched = source
                .as_ref()
                .and_then(|from| from.cache.lock().unwrap().get(&key).cloned());
            let made_by = own.clone().or(fetched).filter(|_| is_cached);
            is_cached = made_by.is_some();
            if let Some(made_by) = &made_by {
                if made_by != tenant {
                    self.shared.record.line(&format!(
                        "engine {} uses part {part}, made by a request of {made_by}, for {attempt} of {tenant}",
                        self.setup.id
                    ));
                }
                self.shared.uses.lock().unwrap().push(Use {
                    tenant: tenant.to_owned(),
                    made_by: made_by.clone(),
                    at: Instant::now(),
                });
            }
            if own.is_none() {
                let maker = made_by.unwrap_or_else(|| tenant.to_owned());
                self.cache.lock().unwrap().insert(key, maker);
                let tokens = tokens.parse().unwrap_or(0);
                self.made
                    .lock()
                    .unwrap()
                    .push((salt.clone(), part.to_owned(), tokens));
            }
        }
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn json_answer(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    http::answer(
        stream,
        "200 OK",
        "Content-Type: application/json\r\n",
        body.as_bytes(),
    )
}

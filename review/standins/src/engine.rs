//! Engines: plain ones, and model engines that answer with streams of events.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::read_request;
use crate::http::Request;
use crate::json;
use crate::record::Record;
use crate::store::Store;

/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Number of heartbeats after which a silent engine's entry is removed.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// What an engine does with requests.
#[derive(Clone, Debug)]
pub enum Work {
    /// Works for this long and answers with a short body.
    Plain { work_ms: u64 },
    /// Answers with a stream of at most this many events, or as many as `Token-Usage` allows. It ends with all that it holds once it begins to write an answer on
    /// a prompt with the poison: it has written the head and the first event then.
    Stream {
        first_ms: u64,
        events: u64,
        gap_ms: u64,
        poison: Option<String>,
        down_ms: u64,
    },
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub service: String,
    /// Version of the software at the first start.
    pub software: String,
    /// Whether it starts again under the id that it had.
    pub keeps_id: bool,
    /// Models of a model engine; each begins at version 1.
    pub models: Vec<String>,
    pub slots: usize,
    pub queue: usize,
    pub work: Work,
    /// Time that a load of weights takes.
    pub load_ms: u64,
}

/// A request that an engine has got.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub engine: String,
    pub attempt: String,
    pub tenant: String,
    pub path: String,
    pub prompt: String,
    /// Text under which the engine keeps what it has read of the prompt.
    pub salt: String,
    /// Whether the engine began to work on it.
    pub has_run: bool,
    /// Version of the weights that it began on.
    pub weights: u64,
}

struct State {
    id: String,
    software: String,
    born_ms: u64,
    weights: BTreeMap<String, u64>,
    /// Model whose weights are being loaded.
    loading: Option<String>,
    orders: u64,
    /// Greatest fencing token of an order since the start.
    fence: u64,
    running: usize,
    running_by_model: BTreeMap<String, usize>,
    waiting: VecDeque<u64>,
    next_ticket: u64,
    connections: Vec<TcpStream>,
    is_up: bool,
    beat_at: Instant,
}

/// An engine.
pub struct Engine {
    pub settings: Settings,
    state: Mutex<State>,
    freed: Condvar,
    store: Arc<Store>,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    starts: AtomicU64,
}

impl State {
    /// Returns whether a request waits for weights that are being loaded; other models are not affected.
    fn is_loading(&self, request: &Request) -> bool {
        self.loading.as_deref() == Some(request.header("model"))
    }

    fn runs_of(&self, model: &str) -> usize {
        self.running_by_model
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the version of the weights of the model that a request names.
    fn weights_of(&self, request: &Request) -> u64 {
        self.weights
            .get(request.header("model"))
            .copied()
            .unwrap_or(1)
    }
}

fn model_list(weights: &BTreeMap<String, u64>) -> String {
    let models = weights.iter().map(|(model, version)| {
        format!("{{\"name\":\"{model}\",\"version\":{version},\"adapters\":[]}}")
    });
    models.collect::<Vec<String>>().join(",")
}

fn epoch_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    /// Starts an engine, which registers itself; `runs` collects the requests that it gets.
    pub fn start(
        settings: Settings,
        store: Arc<Store>,
        record: Record,
        runs: Arc<Mutex<Vec<Run>>>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(settings.addr)?;
        let state = State {
            id: String::new(),
            software: settings.software.clone(),
            born_ms: 0,
            weights: settings
                .models
                .iter()
                .map(|model| (model.clone(), 1))
                .collect(),
            loading: None,
            orders: 0,
            fence: 0,
            running: 0,
            running_by_model: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_ticket: 0,
            connections: Vec::new(),
            is_up: false,
            beat_at: Instant::now(),
        };
        let engine = Arc::new(Engine {
            settings,
            state: Mutex::new(state),
            freed: Condvar::new(),
            store,
            record,
            runs,
            starts: AtomicU64::new(0),
        });
        engine.come_up(listener);
        Ok(engine)
    }

    fn come_up(self: &Arc<Self>, listener: TcpListener) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let id = match self.settings.keeps_id {
            true => format!("i-{}", self.settings.name),
            false => format!("i-{}-{start}", self.settings.name),
        };
        {
            let mut state = self.state.lock().unwrap();
            state.id = id.clone();
            state.born_ms = epoch_ms();
            state.is_up = true;
            state.loading = None;
            state.orders = 0;
            state.fence = 0;
            state.running = 0;
            state.running_by_model.clear();
            state.waiting.clear();
            state.connections.clear();
            state.beat_at = Instant::now();
        }
        self.record.line(format!(
            "engine {} starts as {id}, software {}",
            self.settings.name,
            self.software()
        ));
        let engine = self.clone();
        thread::spawn(move || engine.accept(listener, start));
        let engine = self.clone();
        match start {
            0 => engine.register("ready"),
            _ => drop(thread::spawn(move || engine.register("ready"))),
        }
        if !self.settings.keeps_id {
            let engine = self.clone();
            thread::spawn(move || engine.watch_entry(start, id));
        }
    }

    fn software(&self) -> String {
        self.state.lock().unwrap().software.clone()
    }

    /// Returns the version of a model's weights that the engine holds.
    pub fn version(&self, model: &str) -> u64 {
        let state = self.state.lock().unwrap();
        state.weights.get(model).copied().unwrap_or_default()
    }

    /// Stops the engine as a crash does, and starts it again with another version of its software.
    pub fn upgrade(self: &Arc<Self>, down_ms: u64, software: &str) {
        self.state.lock().unwrap().software = software.to_owned();
        let start = self.starts.load(Ordering::Relaxed).saturating_sub(1);
        self.crash(start, down_ms);
    }

    /// Returns whether the start with this number is over.
    fn is_over(&self, start: u64) -> bool {
        let state = self.state.lock().unwrap();
        !state.is_up || self.starts.load(Ordering::Relaxed) != start + 1
    }

    fn accept(self: Arc<Self>, listener: TcpListener, start: u64) {
        listener.set_nonblocking(true).unwrap();
        while !self.is_over(start) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        self.state.lock().unwrap().connections.push(clone);
                    }
                    let engine = self.clone();
                    thread::spawn(move || engine.serve(stream, start));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Removes the entry of this start after missed heartbeats.
    fn watch_entry(self: Arc<Self>, start: u64, id: String) {
        while !self.is_over(start) {
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(HEARTBEAT * MAX_MISSED_HEARTBEATS);
        self.store.remove("servers", &id);
    }

    /// Writes the entry of this engine, once the store is up.
    pub fn register(&self, state_name: &str) {
        self.store.wait_up();
        let (id, entry) = {
            let state = self.state.lock().unwrap();
            let models = match state.weights.is_empty() {
                false => format!(
                    ",\"stage\":\"unified\",\"models\":[{}]",
                    model_list(&state.weights)
                ),
                true => String::new(),
            };
            let entry = format!(
                "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
                 \"state\":\"{state_name}\",\"cold-left-ms\":0{models},\"call-seq\":{},\"born\":{}}}",
                self.settings.service,
                self.settings.addr,
                self.settings.zone,
                state.software,
                self.settings.slots,
                state.orders,
                state.born_ms,
            );
            (state.id.clone(), entry)
        };
        self.store.put("servers", &id, &entry);
    }

    /// Ends the engine as a crash does, and starts it again after a while.
    fn crash(self: &Arc<Self>, start: u64, down_ms: u64) {
        {
            let mut state = self.state.lock().unwrap();
            if !state.is_up || self.starts.load(Ordering::Relaxed) != start + 1 {
                return;
            }
            state.is_up = false;
        }
        // The listener goes before the connections, as all of a process ends at once.
        thread::sleep(Duration::from_millis(3));
        for connection in self.state.lock().unwrap().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.freed.notify_all();
        self.record
            .line(format!("engine {} crashed", self.settings.name));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(down_ms));
            loop {
                match TcpListener::bind(engine.settings.addr) {
                    Ok(listener) => return engine.come_up(listener),
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            }
        });
    }

    fn serve(self: Arc<Self>, stream: TcpStream, start: u64) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Some(request) = read_request(&mut reader) {
            if self.is_over(start) || self.answer(&request, &mut stream, start).is_err() {
                return;
            }
        }
    }

    fn answer(
        self: &Arc<Self>,
        request: &Request,
        stream: &mut TcpStream,
        start: u64,
    ) -> std::io::Result<()> {
        match (request.method.as_str(), request.path()) {
            ("GET", "/report") => {
                stream.write_all(json_answer("200 OK", &self.report()).as_bytes())
            }
            ("GET", "/kv-events") => {
                let wait_ms = request
                    .header("wait-ms")
                    .parse()
                    .unwrap_or(0_u64)
                    .min(1_000);
                thread::sleep(Duration::from_millis(wait_ms));
                let since = request.query("since").unwrap_or_else(|| "0".to_owned());
                let epoch = self.state.lock().unwrap().born_ms;
                let body =
                    format!("{{\"epoch\":{epoch},\"next\":{since},\"lost\":false,\"events\":[]}}");
                stream.write_all(json_answer("200 OK", &body).as_bytes())
            }
            ("POST", "/order") => self.order(request, stream),
            (_, "/healthz") => {
                let id = self.state.lock().unwrap().id.clone();
                let answer =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                stream.write_all(answer.as_bytes())
            }
            _ => self.run(request, stream, start),
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"unified\",\"models\":[{}],\"busy\":{},\
             \"call-seq\":{},\"waiting\":{},\"running\":{},\"kv-used\":0,\"kv-total\":200000,\"handles\":0,\"born\":{}}}",
            model_list(&state.weights),
            state.loading.is_some(),
            state.orders,
            state.waiting.len(),
            state.running,
            state.born_ms
        )
    }

    /// Carries out a load of weights once the running requests have finished.
    fn order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let body = json::parse(&String::from_utf8_lossy(&request.body));
        let number = |name| {
            body.as_ref()
                .and_then(|body| body.get(name))
                .map(|v| v.number() as u64)
        };
        let version = number("version").unwrap_or_default();
        let model = body
            .as_ref()
            .and_then(|body| body.get("model"))
            .map_or("", |model| model.text())
            .to_owned();
        let fence = number("fence").unwrap_or_default();
        let status = {
            let mut state = self.state.lock().unwrap();
            let held = state.weights.get(&model).copied().unwrap_or(0);
            let is_fenced = fence < state.fence;
            state.fence = state.fence.max(fence);
            match (
                is_fenced,
                version <= held,
                state.loading.is_some() || number("expected") != Some(state.orders),
            ) {
                (true, _, _) => "412 Precondition Failed",
                (false, true, _) => "200 OK",
                (false, false, true) => "409 Conflict",
                (false, false, false) => {
                    state.loading = Some(model.clone());
                    state.orders += 1;
                    "202 Accepted"
                }
            }
        };
        self.record.line(format!(
            "order to {}: {model} version {version} with fence {fence}: {status}",
            self.settings.name
        ));
        if status.starts_with("202") {
            self.freed.notify_all();
            let engine = self.clone();
            thread::spawn(move || engine.load(model, version));
        }
        stream.write_all(json_answer(status, "{}").as_bytes())
    }

    fn load(&self, model: String, version: u64) {
        while self.state.lock().unwrap().runs_of(&model) > 0 {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(self.settings.load_ms));
        {
            let mut state = self.state.lock().unwrap();
            state.weights.insert(model.clone(), version);
            state.loading = None;
        }
        self.record.line(format!(
            "engine {} has {model} version {version}",
            self.settings.name
        ));
        self.register("ready");
    }

    fn run(
        self: &Arc<Self>,
        request: &Request,
        stream: &mut TcpStream,
        start: u64,
    ) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").to_owned();
        let (id, weights) = {
            let state = self.state.lock().unwrap();
            (state.id.clone(), state.weights_of(request))
        };
        if request.header("expect-instance") != id {
            return stream
                .write_all(refusal("421 Misdirected Request", &attempt, &id, weights).as_bytes());
        }
        let expected = request.header("expect-version");
        if !expected.is_empty() && expected != weights.to_string() {
            return stream
                .write_all(refusal("421 Misdirected Request", &attempt, &id, weights).as_bytes());
        }
        let Some(weights) = self.take_slot(request, start) else {
            self.log_run(request, &id, false, weights);
            return stream
                .write_all(refusal("503 Service Unavailable", &attempt, &id, weights).as_bytes());
        };
        self.log_run(request, &id, true, weights);
        let result = match self.settings.work.clone() {
            Work::Plain { work_ms } => {
                thread::sleep(Duration::from_millis(work_ms));
                let body = format!("answer to {attempt}");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{attempt}\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes())
            }
            Work::Stream {
                first_ms,
                events,
                gap_ms,
                poison,
                down_ms,
            } => {
                thread::sleep(Duration::from_millis(first_ms));
                let is_poison =
                    poison.is_some_and(|part| request.header("prompt-prefix").contains(&part));
                let last = if is_poison { Some(1) } else { None };
                let result = self.stream_events(
                    request,
                    stream,
                    (&id, weights, start),
                    (events, gap_ms, last),
                );
                if is_poison {
                    thread::sleep(Duration::from_millis(5));
                    self.crash(start, down_ms);
                    return Err(std::io::ErrorKind::ConnectionReset.into());
                }
                result
            }
        };
        self.free_slot(request, start);
        result
    }

    fn stream_events(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        (id, weights, start): (&str, u64, u64),
        (events, gap_ms, stop_after): (u64, u64, Option<u64>),
    ) -> std::io::Result<()> {
        let attempt = request.header("attempt-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {id}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nWeight-Versions: {weights}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let software = self.software();
        let usage = request.header("token-usage").split(',').nth(1);
        let allowed = usage
            .and_then(|tokens| tokens.parse().ok())
            .unwrap_or(events);
        let events = events.min(allowed);
        let first: u64 = request.header("last-event-id").parse().unwrap_or(0) + 1;
        for event in first..=events {
            if self.is_over(start) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let text = format!("id: {event}\ndata: {event} by {software}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            if stop_after.is_some_and(|stop| event + 1 >= first + stop) {
                return Ok(());
            }
            if event < events {
                thread::sleep(Duration::from_millis(gap_ms));
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn log_run(&self, request: &Request, id: &str, has_run: bool, weights: u64) {
        let run = Run {
            at_ms: self.record.now_ms(),
            engine: id.to_owned(),
            attempt: request.header("attempt-id").to_owned(),
            tenant: request.header("tenant").to_owned(),
            path: request.path().to_owned(),
            prompt: request.header("prompt-prefix").to_owned(),
            salt: request.header("cache-salt").to_owned(),
            has_run,
            weights,
        };
        let what = if has_run { "runs" } else { "rejects" };
        self.record.line(format!(
            "{id} {what} {} {} tenant={} prompt={} salt={} weights={weights}",
            run.attempt, run.path, run.tenant, run.prompt, run.salt
        ));
        self.runs.lock().unwrap().push(run);
    }

    /// Waits for a slot; returns the version of the weights, or none if the queue is full or a load is due.
    fn take_slot(&self, request: &Request, start: u64) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if state.is_loading(request)
            || state.waiting.len()
                >= self.settings.queue + self.settings.slots.saturating_sub(state.running)
        {
            return None;
        }
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.waiting.push_back(ticket);
        loop {
            let is_gone = !state.is_up || self.starts.load(Ordering::Relaxed) != start + 1;
            if is_gone || state.is_loading(request) {
                state.waiting.retain(|waiting| *waiting != ticket);
                return None;
            }
            if state.running < self.settings.slots && state.waiting.front() == Some(&ticket) {
                state.waiting.pop_front();
                state.running += 1;
                let model = request.header("model").to_owned();
                *state.running_by_model.entry(model).or_default() += 1;
                self.freed.notify_all();
                return Some(state.weights_of(request));
            }
            state = self
                .freed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
    }

    fn free_slot(&self, request: &Request, start: u64) {
        let mut state = self.state.lock().unwrap();
        if state.is_up && self.starts.load(Ordering::Relaxed) == start + 1 {
            state.running = state.running.saturating_sub(1);
            if let Some(runs) = state.running_by_model.get_mut(request.header("model")) {
                *runs = runs.saturating_sub(1);
            }
        }
        drop(state);
        self.freed.notify_all();
    }
}

fn json_answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn refusal(status: &str, attempt: &str, id: &str, weights: u64) -> String {
    format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\nNot-Executed: 1\r\n\
         Weight-Versions: {weights}\r\nContent-Length: 0\r\n\r\n"
    )
}

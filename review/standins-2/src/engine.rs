//! Stand-in for an engine or an application server that registers itself in the store.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::answer;
use crate::http::serve;
use crate::http::Message;
use crate::http::Reply;
use crate::http::Server;
use crate::json::parse;
use crate::record::Record;
use crate::store::Store;

/// Interval at which an engine writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What an engine is.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Models with the versions of their weights; none for an application server.
    pub models: Vec<(String, u64)>,
    /// Time that new weights take.
    pub load: Duration,
    /// Time that a request takes.
    pub work: Duration,
    pub checks_fences: bool,
    /// Version of the software.
    pub software: String,
    /// Events of a stream, and the pause between them.
    pub events: (u32, Duration),
}

impl Settings {
    /// Returns the settings of an engine with two models, or of an application server.
    pub fn new(number: usize, models: &[&str]) -> Self {
        let service = if models.is_empty() { "desk" } else { "llm" };
        Settings {
            id: format!("i-{number}"),
            service: service.to_owned(),
            zone: ["a", "b", "c"][number % 3].to_owned(),
            models: models.iter().map(|m| ((*m).to_owned(), 1)).collect(),
            load: Duration::from_millis(270),
            work: Duration::from_millis(20),
            checks_fences: true,
            software: "v1".to_owned(),
            events: (1, Duration::ZERO),
        }
    }
}

/// An order as the engine got it.
#[derive(Clone)]
pub struct Order {
    pub holder: String,
    pub fence: u64,
    pub model: String,
    pub version: u64,
    pub status: u16,
}

/// A request of a client that reached the engine.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub has_run: bool,
}

#[derive(Default)]
struct State {
    models: Vec<(String, u64)>,
    accepted: u64,
    fence: u64,
    loading: Option<(String, u64, Instant)>,
    running: u32,
    orders: Vec<Order>,
    arrivals: Vec<Arrival>,
    writes_entry: bool,
    is_gone: bool,
}

/// An engine.
#[derive(Clone)]
pub struct Engine {
    pub settings: Settings,
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Arc<Mutex<Server>>,
    store: Store,
    record: Record,
    born_ms: u128,
}

impl Engine {
    pub fn start(
        listener: TcpListener,
        settings: Settings,
        (store, record): (&Store, &Record),
    ) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Engine {
            addr: listener.local_addr().expect("listener has an address"),
            state: Arc::new(Mutex::new(State {
                models: settings.models.clone(),
                writes_entry: true,
                ..State::default()
            })),
            settings,
            server: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            born_ms: since_epoch.unwrap_or_default().as_millis(),
        };
        let serving = engine.clone();
        let server = serve(listener, move |request| serving.handle(request));
        *engine.server.lock().expect("no thread has panicked") = server;
        let writing = engine.clone();
        thread::spawn(move || writing.write_entries());
        engine
    }

    fn write_entries(&self) {
        let mut written_at: Option<Instant> = None;
        let mut written = String::new();
        loop {
            let entry = {
                let mut state = self.state.lock().expect("no thread has panicked");
                if state.is_gone {
                    return;
                }
                self.settle(&mut state);
                state.writes_entry.then(|| self.entry(&state))
            };
            if let Some(entry) = entry {
                let is_due = written_at.is_none_or(|at| at.elapsed() >= HEARTBEAT);
                if (is_due || entry != written)
                    && self.store.put("servers", &self.settings.id, &entry)
                {
                    written_at = Some(Instant::now());
                    written = entry;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn entry(&self, state: &State) -> String {
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":32,\
             \"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"unified\",\"models\":[{}],\
             \"call-seq\":{},\"born\":{}}}",
            self.settings.service,
            self.addr,
            self.settings.zone,
            self.settings.software,
            models(state),
            state.accepted,
            self.born_ms
        )
    }

    /// Ends a load whose time has come.
    fn settle(&self, state: &mut State) {
        let is_over = |(_, _, until): &(String, u64, Instant)| Instant::now() >= *until;
        if !state.loading.as_ref().is_some_and(is_over) {
            return;
        }
        if let Some((model, version, _)) = state.loading.take() {
            for (name, held) in &mut state.models {
                if *name == model {
                    *held = version;
                }
            }
            let id = &self.settings.id;
            self.record
                .line(&format!("engine {id} has loaded {model} version {version}"));
        }
    }

    /// Stops writing the entry and removes it, and goes on serving.
    pub fn leave_silently(&self) {
        let mut state = self.state.lock().expect("no thread has panicked");
        state.writes_entry = false;
        self.store.remove("servers", &self.settings.id);
        let id = &self.settings.id;
        self.record
            .line(&format!("entry of engine {id} is removed"));
    }

    /// Exits: all that runs is cut off.
    pub fn exit(&self) {
        let mut state = self.state.lock().expect("no thread has panicked");
        state.is_gone = true;
        drop(state);
        self.record
            .line(&format!("engine {} exits", self.settings.id));
        let server = self.server.lock().expect("no thread has panicked");
        server.stop();
    }

    pub fn orders(&self) -> Vec<Order> {
        let state = self.state.lock().expect("no thread has panicked");
        state.orders.clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        let state = self.state.lock().expect("no thread has panicked");
        state.arrivals.clone()
    }

    /// Returns the version of a model's weights.
    pub fn weights(&self, model: &str) -> u64 {
        let mut state = self.state.lock().expect("no thread has panicked");
        self.settle(&mut state);
        held(&state, model)
    }

    fn handle(&self, request: &Message) -> Reply {
        {
            let mut state = self.state.lock().expect("no thread has panicked");
            if state.is_gone {
                return Reply::Close;
            }
            self.settle(&mut state);
        }
        match (request.word(0), request.path()) {
            ("GET", "/report") => self.report(),
            ("POST", "/order") => self.order(request),
            ("GET", "/healthz") => {
                let headers = [("Instance-Id", self.settings.id.as_str())];
                Reply::Bytes(answer("200 OK", &headers, b""))
            }
            ("GET", "/kv-events") => {
                let wait_ms = request.header("Wait-Ms").and_then(|ms| ms.parse().ok());
                thread::sleep(Duration::from_millis(wait_ms.unwrap_or_default()));
                let body = "{\"epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
                json("200 OK", body)
            }
            _ => self.run(request),
        }
    }

    fn report(&self) -> Reply {
        let state = self.state.lock().expect("no thread has panicked");
        let body = format!(
            "{{\"stage\":\"unified\",\"models\":[{}],\"busy\":{},\"call-seq\":{},\"waiting\":0,\
             \"running\":{},\"kv-used\":0,\"kv-total\":251640,\"handles\":0,\"born\":{}}}",
            models(&state),
            state.loading.is_some(),
            state.accepted,
            state.running,
            self.born_ms
        );
        json("200 OK", &body)
    }

    fn order(&self, request: &Message) -> Reply {
        let Some(body) = parse(&request.body) else {
            return json("400 Bad Request", "{}");
        };
        let (model, holder) = (body.text("model"), body.text("holder"));
        let version = body.number("version").unwrap_or_default();
        let fence = body.number("fence").unwrap_or_default();
        let mut state = self.state.lock().expect("no thread has panicked");
        let expected = body.number("expected").unwrap_or(state.accepted);
        let (status, text) = if self.settings.checks_fences && fence < state.fence {
            (412, "412 Precondition Failed")
        } else if state.loading.is_some() || expected != state.accepted {
            (409, "409 Conflict")
        } else if held(&state, model) == version {
            (200, "200 OK")
        } else {
            state.accepted += 1;
            let until = Instant::now() + self.settings.load;
            state.loading = Some((model.to_owned(), version, until));
            (202, "202 Accepted")
        };
        state.fence = state.fence.max(fence);
        state.orders.push(Order {
            holder: holder.to_owned(),
            fence,
            model: model.to_owned(),
            version,
            status,
        });
        let id = &self.settings.id;
        self.record.line(&format!(
            "engine {id} got an order from {holder}: {model} version {version}, fencing token \
             {fence}, answered {status}"
        ));
        json(text, "{}")
    }

    /// Runs a request of a client, or refuses it.
    fn run(&self, request: &Message) -> Reply {
        let id = request.header("Attempt-Id").unwrap_or_default().to_owned();
        let own = self.settings.id.as_str();
        let expected = request.header("Expect-Instance").unwrap_or(own);
        let model = request.header("Model").unwrap_or_default();
        let (refused, weights) = {
            let mut state = self.state.lock().expect("no thread has panicked");
            let weights = held(&state, model);
            let loads = state.loading.as_ref().is_some_and(|(m, _, _)| m == model);
            let version = request
                .header("Expect-Version")
                .and_then(|v| v.parse().ok());
            let refused = if expected != own || version.is_some_and(|v: u64| v != weights) {
                Some("421 Misdirected Request")
            } else if loads {
                Some("503 Service Unavailable")
            } else {
                state.running += 1;
                None
            };
            state.arrivals.push(Arrival {
                at: Instant::now(),
                id: id.clone(),
                has_run: refused.is_none(),
            });
            (refused, weights.to_string())
        };
        let outcome = refused.unwrap_or("run");
        self.record.line(&format!(
            "engine {own} got request {id} for {model}: {outcome}"
        ));
        let mut headers = vec![("Attempt-Id", id.as_str()), ("Instance-Id", own)];
        if !self.settings.models.is_empty() {
            headers.push(("Weight-Versions", &weights));
        }
        if let Some(status) = refused {
            headers.push(("Not-Executed", "1"));
            return Reply::Bytes(answer(status, &headers, b""));
        }
        thread::sleep(self.settings.work);
        let is_gone = {
            let mut state = self.state.lock().expect("no thread has panicked");
            state.running -= 1;
            state.is_gone
        };
        if is_gone {
            self.record
                .line(&format!("engine {own} cut request {id} off as it exited"));
            return Reply::Close;
        }
        headers.push(("Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"));
        if !self.settings.models.is_empty() {
            return self.stream(request, &headers);
        }
        Reply::Bytes(answer("200 OK", &headers, b"booked"))
    }
}

impl Engine {
    /// Answers with the events after the last one that the client has.
    fn stream(&self, request: &Message, headers: &[(&str, &str)]) -> Reply {
        let last = request
            .header("Last-Event-Id")
            .and_then(|id| id.parse().ok());
        let first: u32 = last.unwrap_or(0) + 1;
        let (events, pause) = self.settings.events;
        let (id, software) = (self.settings.id.clone(), self.settings.software.clone());
        let state = self.state.clone();
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\
                        Content-Type: text/event-stream\r\n"
            .to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        Reply::Stream(Box::new(move |writer| {
            let mut out = head;
            for number in first..=events {
                let event = format!("id: {number}\ndata: {software} {id}\n\n");
                out.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
                let is_gone = state.lock().expect("no thread has panicked").is_gone;
                if is_gone || writer.write_all(out.as_bytes()).is_err() {
                    return false;
                }
                out.clear();
                thread::sleep(pause);
            }
            writer.write_all(b"0\r\n\r\n").is_ok()
        }))
    }
}

fn held(state: &State, model: &str) -> u64 {
    let mut models = state.models.iter();
    let found = models.find(|(name, _)| name == model);
    found.map_or(0, |(_, version)| *version)
}

fn models(state: &State) -> String {
    let model = |(name, version): &(String, u64)| {
        format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
    };
    let models: Vec<String> = state.models.iter().map(model).collect();
    models.join(",")
}

fn json(status: &str, body: &str) -> Reply {
    let headers = [("Content-Type", "application/json")];
    Reply::Bytes(answer(status, &headers, body.as_bytes()))
}

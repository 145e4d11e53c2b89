//! A fake upstream with faults, and helpers that start an agent and talk to it.

#![allow(dead_code, reason = "each test binary uses a part")]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use bytes::Bytes;
use dw_admit::Fair;
use dw_admit::FairSettings;
use dw_agent::gate_for;
use dw_agent::Agent;
use dw_agent::FixedPeer;
use dw_agent::GateKind;
use dw_agent::Parts;
use dw_agent::Settings;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Salt;
use dw_base::SystemClock;
use dw_base::TokensPerS;
use dw_base::WeightsVersion;
use dw_base::Worth;
use dw_base::BLOCK_TOKENS;
use dw_config::Config;
use dw_config::ConfigSource;
use dw_config::Entry;
use dw_config::FixedConfig;
use dw_config::Object;
use dw_settings::Addr;
use dw_standin::MemoryObjects;
use dw_standin::MemoryTable;
use dw_standin::PlatformLimits;
use dw_store::VmSource;
use dw_wire::encode;
use dw_wire::Frame;
use dw_wire::FrameDecoder;
use dw_wire::RepeatRule;
use dw_wire::ResumeRequest;
use dw_wire::RunRequest;
use dw_wire::Work;
use dw_wire::PROTOCOL_VERSION;
use futures::Stream;
use futures::StreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame as BodyFrame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use serde_json::json;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// What the fake upstream knows and does.
#[derive(Debug, Default)]
pub(crate) struct Fake {
    pub(crate) incarnation: u64,
    pub(crate) weights: u64,
    pub(crate) loading: bool,
    pub(crate) checks_fence: bool,
    pub(crate) fence: u64,
    /// Tokens that each generation may emit so far.
    pub(crate) allowed: u64,
    /// Token before which the connection is cut, once.
    pub(crate) cut_at: Option<u64>,
    pub(crate) seq: u64,
    pub(crate) events: Vec<Value>,
    pub(crate) blocks: Vec<String>,
    pub(crate) capacity: u64,
    /// Prompt and length of each generation.
    pub(crate) generations: HashMap<String, (String, u64)>,
    pub(crate) cancelled: Vec<String>,
    /// Whether a cancelled generation cannot be resumed.
    pub(crate) forgets_cancelled: bool,
    pub(crate) resumed: Vec<u64>,
    pub(crate) orders: Vec<Value>,
    /// Orders refused because of their fencing number.
    pub(crate) stale_orders: u32,
    pub(crate) adapters: Vec<String>,
    pub(crate) standby: bool,
    /// Whether loads do not end until `loading` is reset.
    pub(crate) holds_loads: bool,
    pub(crate) imported: Vec<String>,
    pub(crate) executions: BTreeMap<String, u32>,
    /// Whether no call is answered.
    pub(crate) paused: bool,
    /// Whether the connection is cut after a call has run.
    pub(crate) lose_call_answers: bool,
    /// Answers about the state that still lose their connection.
    pub(crate) lost_states: u32,
    /// Answers about the state so far.
    pub(crate) states: u32,
}

/// A running fake upstream.
#[derive(Clone)]
pub(crate) struct Upstream {
    pub(crate) addr: SocketAddr,
    pub(crate) state: Arc<Mutex<Fake>>,
    pub(crate) changed: watch::Sender<u64>,
}

type Piece = Result<BodyFrame<Bytes>, io::Error>;
type Pieces = std::pin::Pin<Box<dyn Stream<Item = Piece> + Send + Sync>>;

fn lock(state: &Mutex<Fake>) -> MutexGuard<'_, Fake> {
    state.lock().expect("no test has panicked")
}

/// An answer whose connection breaks after the head.
fn cut_answer() -> Response<StreamBody<Pieces>> {
    let cut: Pieces = Box::pin(futures::stream::iter([Err(io::Error::other("cut"))]));
    Response::new(StreamBody::new(cut))
}

impl Upstream {
    /// Starts an engine with weights 1 that emits tokens without limit.
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let upstream = Upstream {
            addr: listener.local_addr().expect("is bound"),
            state: Arc::new(Mutex::new(Fake {
                incarnation: 1,
                weights: 1,
                allowed: u64::MAX,
                capacity: 100,
                checks_fence: true,
                ..Fake::default()
            })),
            changed: watch::Sender::new(0),
        };
        let served = upstream.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let upstream = served.clone();
                let service = service_fn(move |request| {
                    let upstream = upstream.clone();
                    async move { Ok::<_, Infallible>(upstream.answer(request).await) }
                });
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(socket), service);
                tokio::spawn(connection);
            }
        });
        upstream
    }

    /// Changes the state and wakes whoever waits for it.
    pub(crate) fn set(&self, change: impl FnOnce(&mut Fake)) {
        change(&mut lock(&self.state));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns once the state meets a condition.
    pub(crate) async fn until(&self, condition: impl Fn(&Fake) -> bool) {
        let mut changes = self.changed.subscribe();
        while !condition(&lock(&self.state)) {
            changes.changed().await.expect("sender lives");
        }
    }

    fn state(&self) -> Response<StreamBody<Pieces>> {
        let mut lost = false;
        self.set(|fake| {
            fake.states += 1;
            lost = fake.lost_states > 0;
            fake.lost_states = fake.lost_states.saturating_sub(1);
        });
        if lost {
            return cut_answer();
        }
        json_answer(200, &state_of(&lock(&self.state)))
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<StreamBody<Pieces>> {
        self.until(|fake| !fake.paused).await;
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let bytes = request
            .into_body()
            .collect()
            .await
            .expect("body")
            .to_bytes();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        let id = body["request_id"].as_str().unwrap_or_default().to_owned();
        match path.as_str() {
            "/v1/state" => self.state(),
            "/v1/orders" => self.order(&body),
            "/v1/generate" => self.generate(&id, &body),
            "/v1/resume" => self.resume(&id, body["from_index"].as_u64().unwrap_or(0)),
            "/v1/cancel" => {
                self.set(|fake| {
                    if fake.forgets_cancelled {
                        fake.generations.remove(&id);
                    }
                    fake.cancelled.push(id);
                });
                json_answer(200, &json!({"cancelled": true, "tokens": 0}))
            }
            "/v1/cache" => {
                let fake = lock(&self.state);
                json_answer(
                    200,
                    &json!({"capacity_blocks": fake.capacity, "hashes": fake.blocks,
                    "incarnation": fake.incarnation, "seq": fake.seq,
                    "weights_version": fake.weights}),
                )
            }
            "/v1/cache/events" => self.events(&query).await,
            "/v1/cache/export" => {
                let blocks: Vec<Value> = body["hashes"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .map(|hash| json!({"hash": hash, "size_bytes": 1_000}))
                    .collect();
                let weights = lock(&self.state).weights;
                json_answer(
                    200,
                    &json!({"blocks": blocks, "user": "org",
                    "weights_version": weights}),
                )
            }
            "/v1/cache/import" => {
                let hashes = body["blocks"]
                    .as_array()
                    .into_iter()
                    .flatten()
                    .filter_map(|block| block["hash"].as_str().map(str::to_owned));
                let hashes: Vec<String> = hashes.collect();
                let imported = hashes.len();
                self.set(|fake| fake.imported.extend(hashes));
                json_answer(200, &json!({ "imported": imported }))
            }
            "/v1/calls" => self.call(&id, &body),
            _ => json_answer(404, &json!({"error": "bad_request", "message": path})),
        }
    }

    fn order(&self, body: &Value) -> Response<StreamBody<Pieces>> {
        let mut fake = lock(&self.state);
        let fence = body["fence"].as_u64().unwrap_or(0);
        if fake.checks_fence && fence < fake.fence {
            fake.stale_orders += 1;
            return json_answer(409, &json!({"error": "stale_fence", "message": "old"}));
        }
        fake.fence = fence;
        fake.orders.push(body.clone());
        let order = &body["order"];
        if let Some(weights) = order["weights_version"].as_u64() {
            fake.weights = weights;
            fake.blocks.clear();
            fake.loading = fake.holds_loads;
        }
        if let Some(adapter) = order["adapter"].as_str() {
            fake.adapters.push(adapter.to_owned());
        }
        if let Some(role) = order["role"].as_str() {
            fake.standby = role == "standby";
        }
        let state = state_of(&fake);
        drop(fake);
        self.set(|_| {});
        json_answer(200, &state)
    }

    fn generate(&self, id: &str, body: &Value) -> Response<StreamBody<Pieces>> {
        let prompt = body["prompt"].as_str().unwrap_or_default().to_owned();
        let length = body["max_tokens"].as_u64().unwrap_or(0);
        let mut fake = lock(&self.state);
        if body["weights_version"].as_u64() != Some(fake.weights) {
            return json_answer(409, &json!({"error": "wrong_weights", "message": "differ"}));
        }
        let salt = body["cache_salt"].as_str().unwrap_or_default();
        let root: BlockHash = salt.parse().expect("salt is a hash");
        let chain = chain_from(root, &prompt);
        let hashes: Vec<String> = chain.iter().map(BlockHash::to_string).collect();
        let known = |hash: &&String| fake.blocks.contains(hash) || fake.imported.contains(hash);
        let cached = hashes.iter().take_while(known).count() as u64;
        for hash in hashes {
            if !fake.blocks.contains(&hash) {
                fake.seq += 1;
                let event = json!({"seq": fake.seq, "kind": "stored", "hashes": [hash]});
                fake.events.push(event);
                fake.blocks.push(hash);
            }
        }
        let start = json!({"type": "start", "request_id": id, "cached_tokens": cached * BLOCK_TOKENS,
            "incarnation": fake.incarnation, "prompt_tokens": prompt.len().div_ceil(4),
            "weights_version": fake.weights});
        fake.generations.insert(id.to_owned(), (prompt, length));
        drop(fake);
        self.set(|_| {});
        stream_answer(self.tokens(id.to_owned(), 0, Some(start)))
    }

    fn resume(&self, id: &str, from: u64) -> Response<StreamBody<Pieces>> {
        if !lock(&self.state).generations.contains_key(id) {
            return json_answer(404, &json!({"error": "unknown_request", "message": "none"}));
        }
        self.set(|fake| fake.resumed.push(from));
        stream_answer(self.tokens(id.to_owned(), from, None))
    }

    fn tokens(&self, id: String, from: u64, start: Option<Value>) -> Pieces {
        let upstream = self.clone();
        let life = lock(&self.state).incarnation;
        let first = futures::stream::iter(start.map(|start| event(&start)));
        let rest = futures::stream::unfold(Some(from), move |index| {
            let (upstream, id) = (upstream.clone(), id.clone());
            async move {
                let index = index?;
                upstream
                    .until(|fake| fake.allowed > index || fake.incarnation != life)
                    .await;
                let mut fake = lock(&upstream.state);
                if fake.incarnation != life || fake.cut_at == Some(index) {
                    fake.cut_at = None;
                    return Some((Err(io::Error::other("cut")), None));
                }
                let length = fake.generations.get(&id).map_or(0, |(_, length)| *length);
                if index == length {
                    let end = json!({"type": "end", "request_id": id,
                        "finish_reason": "length", "tokens": length});
                    return Some((event(&end), None));
                }
                let token = json!({"type": "token", "request_id": id,
                    "index": index, "text": format!("t{index} ")});
                Some((event(&token), Some(index + 1)))
            }
        });
        Box::pin(first.chain(rest))
    }

    async fn events(&self, query: &str) -> Response<StreamBody<Pieces>> {
        let after: u64 = query
            .split('&')
            .find_map(|part| part.strip_prefix("after=")?.parse().ok())
            .unwrap_or(0);
        let newer = |fake: &Fake| fake.seq > after;
        let wait = std::time::Duration::from_millis(50);
        let _ = tokio::time::timeout(wait, self.until(newer)).await;
        let fake = lock(&self.state);
        let is_new = |event: &&Value| event["seq"].as_u64() > Some(after);
        let events: Vec<&Value> = fake.events.iter().filter(is_new).collect();
        json_answer(
            200,
            &json!({"events": events, "incarnation": fake.incarnation,
            "last_seq": fake.seq, "weights_version": fake.weights}),
        )
    }

    fn call(&self, id: &str, body: &Value) -> Response<StreamBody<Pieces>> {
        let key = body["key"].as_str().unwrap_or(id).to_owned();
        let mut lost = false;
        self.set(|fake| {
            *fake.executions.entry(key).or_default() += 1;
            lost = fake.lose_call_answers;
        });
        if lost {
            return cut_answer();
        }
        let answer = json!({"request_id": id, "status": 201, "body": {"booked": body["body"]}});
        json_answer(200, &answer)
    }
}

fn chain_from(root: BlockHash, prompt: &str) -> Vec<BlockHash> {
    let known = Chain::new(&salt(1), prompt.as_bytes());
    let other = Chain::new(&salt(2), prompt.as_bytes());
    if known.root == root {
        known.blocks
    } else {
        other.blocks
    }
}

fn state_of(fake: &Fake) -> Value {
    json!({"adapters": fake.adapters, "checks_fence": fake.checks_fence, "fence": fake.fence,
        "incarnation": fake.incarnation, "loading": fake.loading, "max_batch": 4, "model": "m",
        "role": if fake.standby { "standby" } else { "serve" }, "weights_version": fake.weights})
}

fn event(value: &Value) -> Piece {
    Ok(BodyFrame::data(Bytes::from(format!("data: {value}\n\n"))))
}

fn json_answer(status: u16, value: &Value) -> Response<StreamBody<Pieces>> {
    let piece = Ok(BodyFrame::data(Bytes::from(value.to_string())));
    let mut response = stream_answer(Box::pin(futures::stream::iter([piece])));
    *response.status_mut() = StatusCode::from_u16(status).expect("valid status");
    response
}

fn stream_answer(pieces: Pieces) -> Response<StreamBody<Pieces>> {
    Response::new(StreamBody::new(pieces))
}

pub(crate) fn salt(weights: u64) -> Salt {
    Salt {
        org: "org".parse().expect("valid id"),
        model: "m".parse().expect("valid id"),
        weights: WeightsVersion(weights),
    }
}

/// Configuration of an engine `e` and a plain service `p`.
pub(crate) fn config(version: u64, weights: u64) -> Config {
    config_of_engines(version, weights, &["e"])
}

/// Configuration of engines and a plain service `p`.
pub(crate) fn config_of_engines(version: u64, weights: u64, engines: &[&str]) -> Config {
    let engine = |name: &&str| upstream_object(name, dw_config::UpstreamKind::Engine, "quote");
    let engines = engines.iter().map(engine);
    let others = [
        upstream_object("p", dw_config::UpstreamKind::Plain, "booking"),
        Object::Model(dw_config::Model {
            name: "m".parse().expect("valid id"),
            weights: WeightsVersion(weights),
            adapters: Vec::new(),
        }),
    ];
    let objects = engines.chain(others);
    let entries = objects.map(|object| {
        let version = ConfigVersion(version);
        (object.key(), Entry { version, object })
    });
    Config {
        version: ConfigVersion(version),
        entries: entries.collect(),
    }
}

fn upstream_object(name: &str, kind: dw_config::UpstreamKind, service: &str) -> Object {
    let speed = |value| TokensPerS::new(value).expect("valid speed");
    let is_engine = kind == dw_config::UpstreamKind::Engine;
    Object::Upstream(dw_config::Upstream {
        name: name.parse().expect("valid id"),
        kind,
        data_centre: "dc".parse().expect("valid id"),
        services: vec![service.parse().expect("valid id")],
        model: is_engine.then(|| "m".parse().expect("valid id")),
        prefill_tokens_per_s: speed(if is_engine { 10_000.0 } else { 0.0 }),
        decode_tokens_per_s: speed(if is_engine { 50.0 } else { 0.0 }),
        max_batch: 2,
        checks_fence: true,
        state: dw_config::UpstreamState::Active,
    })
}

/// The gate of the product with a batch of some size and a queue of 8.
pub(crate) fn fair(max_running: u32) -> Box<dyn dw_admit::Gate> {
    let speed = |value| TokensPerS::new(value).expect("valid speed");
    let settings = FairSettings::builder()
        .max_running(max_running)
        .max_queued(8)
        .prefill_tokens_per_s(speed(10_000.0))
        .decode_tokens_per_s(speed(50.0))
        .preempts(true)
        .build();
    Box::new(Fair::new(settings))
}

/// What an agent in a test is connected to.
pub(crate) struct Setup {
    pub(crate) upstream: Upstream,
    pub(crate) table: Arc<MemoryTable>,
    pub(crate) objects: Arc<MemoryObjects>,
    pub(crate) config: Arc<FixedConfig>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) vms: Option<Arc<dyn VmSource>>,
}

impl Setup {
    pub(crate) async fn new() -> Self {
        Setup {
            upstream: Upstream::start().await,
            table: Arc::default(),
            objects: Arc::new(MemoryObjects::new(PlatformLimits::unlimited())),
            config: Arc::new(FixedConfig::new(config(1, 1))),
            clock: Arc::new(SystemClock::new()),
            vms: None,
        }
    }

    /// Starts an agent for the upstream named `name` and waits until it is ready.
    pub(crate) async fn agent(&self, name: &str) -> Agent {
        let agent = self.unready_agent(name).await;
        while !agent.status().accepting {
            tokio::task::yield_now().await;
        }
        agent
    }

    /// Starts an agent with the gate that its settings and the configuration name.
    pub(crate) async fn unready_agent(&self, name: &str) -> Agent {
        let config = self.config.current();
        let declared = config.upstream(&name.parse().expect("valid id"));
        let settings = self.settings(name);
        let gate = gate_for(&settings, declared.expect("declared"));
        self.agent_with(name, gate).await
    }

    fn settings(&self, name: &str) -> Settings {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
        Settings {
            node: format!("agent-{name}").parse().expect("valid id"),
            data_centre: "dc".parse().expect("valid id"),
            upstream: name.parse().expect("valid id"),
            upstream_addr: Addr(self.upstream.addr),
            data_addr: Addr(any),
            control_addr: Addr(any),
            metrics_addr: Some(Addr(any)),
            peers: Vec::new(),
            gate: GateKind::Fair,
            max_queued: 8,
            resume_bytes: 1 << 16,
            resume_total_bytes: 1 << 16,
            import_bytes_per_s: 1 << 30,
        }
    }

    pub(crate) async fn agent_with(&self, name: &str, gate: Box<dyn dw_admit::Gate>) -> Agent {
        let parts = Parts::builder()
            .settings(self.settings(name))
            .config(self.config.clone())
            .peer(Arc::new(FixedPeer(ConfigVersion(1))))
            .table(self.table.clone())
            .objects(self.objects.clone())
            .clock(self.clock.clone())
            .maybe_vms(self.vms.clone())
            .gate(gate)
            .build();
        Agent::start(parts).await.expect("agent starts")
    }
}

pub(crate) fn generate_request(id: &str, prompt: &str, max_tokens: u64) -> RunRequest {
    let work = Work::Generate {
        model: "m".parse().expect("valid id"),
        weights: WeightsVersion(1),
        chain: Chain::new(&salt(1), prompt.as_bytes()),
        prompt: prompt.to_owned(),
        max_tokens,
    };
    request(id, "e", "quote", RepeatRule::Repeatable, work)
}

pub(crate) fn call_request(id: &str, key: &str, body: &str) -> RunRequest {
    let work = Work::Call {
        key: Some(key.parse().expect("valid id")),
        body: body.as_bytes().to_vec(),
    };
    // Shorter than 10 s, which a call must not be expected to take without a declared speed.
    RunRequest {
        budget_ms: DurationMs(8_000),
        ..request(id, "p", "booking", RepeatRule::AtMostOnce, work)
    }
}

fn request(id: &str, upstream: &str, service: &str, repeat: RepeatRule, work: Work) -> RunRequest {
    RunRequest {
        protocol: PROTOCOL_VERSION,
        request_id: id.parse().expect("valid id"),
        attempt: 1,
        hops: 0,
        alternative: None,
        router: "router".parse().expect("valid id"),
        upstream: upstream.parse().expect("valid id"),
        org: "org".parse().expect("valid id"),
        service: service.parse().expect("valid id"),
        priority: Priority::Normal,
        worth: Worth::new(1.0).expect("valid worth"),
        repeat,
        budget_ms: DurationMs(60_000),
        config_version: ConfigVersion(1),
        traceparent: None,
        work,
    }
}

/// An answer that is being received; dropping it closes the connection.
pub(crate) struct Receiving {
    body: Incoming,
    decoder: FrameDecoder,
    _client: Client<HttpConnector, Full<Bytes>>,
}

impl Receiving {
    pub(crate) async fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = self.decoder.next_frame().expect("valid frame") {
                return Some(frame);
            }
            let piece = self.body.frame().await?.ok()?;
            self.decoder.push(&piece.into_data().expect("data"));
        }
    }

    pub(crate) async fn all(mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        while let Some(frame) = self.next().await {
            frames.push(frame);
        }
        frames
    }
}

async fn post(addr: SocketAddr, path: &str, body: Vec<u8>) -> Receiving {
    let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
    let request = Request::post(format!("http://{addr}{path}"))
        .body(Full::new(Bytes::from(body)))
        .expect("valid request");
    let response = client.request(request).await.expect("agent answers");
    Receiving {
        body: response.into_body(),
        decoder: FrameDecoder::new(),
        _client: client,
    }
}

pub(crate) async fn run(agent: &Agent, request: &RunRequest) -> Receiving {
    run_at(agent.data_addr(), request).await
}

pub(crate) async fn run_at(addr: SocketAddr, request: &RunRequest) -> Receiving {
    post(addr, "/v1/run", encode(request).expect("encodes")).await
}

pub(crate) async fn resume(agent: &Agent, id: &str, from_seq: u64) -> Receiving {
    let request = ResumeRequest {
        protocol: PROTOCOL_VERSION,
        request_id: id.parse().expect("valid id"),
        attempt: 1,
        from_seq,
    };
    post(
        agent.data_addr(),
        "/v1/resume",
        encode(&request).expect("encodes"),
    )
    .await
}

/// Returns the state that the agent reports on its control path.
pub(crate) async fn node_state(agent: &Agent) -> Value {
    let client = dw_wire::connect_control(agent.control_addr())
        .await
        .expect("connects");
    let state = client.node_state(tarpc::context::current()).await;
    serde_json::from_str(&state.expect("answers")).expect("JSON")
}

/// Returns the text of the chunks, after a check of their numbers.
pub(crate) fn text_of(frames: &[Frame], first_seq: u64) -> String {
    let mut expected = first_seq;
    let mut all = String::new();
    for frame in frames {
        if let Frame::Chunk { seq, text, .. } = frame {
            assert_eq!(*seq, expected, "chunk out of order");
            expected += 1;
            all.push_str(text);
        }
    }
    all
}

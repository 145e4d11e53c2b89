//! A router with fake agents on loopback ports.

#![allow(dead_code, reason = "each test binary uses a part of the module")]

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::vms::Vm;
use dw_api::vms::VmList;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::RequestId;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::WeightsVersion;
use dw_base::Worth;
use dw_config::Config;
use dw_config::Entry;
use dw_config::FixedConfig;
use dw_config::Model;
use dw_config::Object;
use dw_config::Organisation;
use dw_config::Service;
use dw_config::ServiceKind;
use dw_config::Upstream;
use dw_config::UpstreamKind;
use dw_config::UpstreamState;
use dw_place::RoundRobin;
use dw_router::FixedVms;
use dw_router::Parts;
use dw_router::Router;
use dw_router::Settings;
use dw_wire::decode;
use dw_wire::encode_frame;
use dw_wire::serve_control;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use dw_wire::ControlHandler;
use dw_wire::Frame;
use dw_wire::Hello;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use dw_wire::Refusal;
use dw_wire::RefusalReason;
use dw_wire::RepeatRule;
use dw_wire::ResumeRequest;
use dw_wire::RunRequest;
use dw_wire::Status;
use dw_wire::StreamEnd;
use dw_wire::StreamStart;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use sha2::Digest;
use sha2::Sha256;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Semaphore;

/// One part of a fake answer.
#[derive(Clone)]
pub(crate) enum Part {
    Send(Box<Frame>),
    /// Waits for a permit.
    Gate(Arc<Semaphore>),
    /// Breaks the connection.
    Cut,
}

impl Part {
    pub(crate) fn send(frame: Frame) -> Part {
        Part::Send(Box::new(frame))
    }
}

/// What arrived at a fake agent.
#[derive(Clone, Debug)]
pub(crate) enum Seen {
    Run(Box<RunRequest>),
    Resume(ResumeRequest),
}

type Script = dyn Fn(&Seen, usize) -> Vec<Part> + Send + Sync;

/// A fake agent that answers by a script.
pub(crate) struct Agent {
    pub(crate) name: String,
    pub(crate) data_addr: SocketAddr,
    pub(crate) control_addr: SocketAddr,
    pub(crate) seen: Arc<Mutex<Vec<Seen>>>,
    pub(crate) hellos: Arc<Mutex<Vec<Hello>>>,
}

struct Control(String, Arc<Mutex<Vec<Hello>>>);

#[async_trait]
impl ControlHandler for Control {
    async fn hello(&self, hello: Hello) -> Hello {
        self.1.lock().expect("not poisoned").push(hello);
        Hello {
            node: id(&format!("agent-{}", self.0)),
            incarnation: Incarnation(1),
            config_version: ConfigVersion(1),
            leaving: false,
            status: Some(status(&self.0)),
        }
    }

    async fn offer_config(&self, _: ConfigUpdate) -> ConfigAck {
        ConfigAck {
            node: id("agent"),
            in_force: ConfigVersion(1),
        }
    }

    async fn newer_config(&self, _: ConfigVersion) -> Option<ConfigUpdate> {
        None
    }

    async fn borrow(&self, _: LoanRequest) -> Result<Loan, LoanDenied> {
        Err(LoanDenied::NoLimit)
    }

    async fn explain(&self, _: RequestId) -> Option<String> {
        None
    }

    async fn node_state(&self) -> String {
        "{}".to_owned()
    }
}

impl Agent {
    pub(crate) async fn start(
        name: &str,
        script: impl Fn(&Seen, usize) -> Vec<Part> + Send + Sync + 'static,
    ) -> Agent {
        let data = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let control = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let agent = Agent {
            name: name.to_owned(),
            data_addr: data.local_addr().expect("bound"),
            control_addr: control.local_addr().expect("bound"),
            seen: Arc::default(),
            hellos: Arc::default(),
        };
        let handler = Arc::new(Control(name.to_owned(), agent.hellos.clone()));
        tokio::spawn(serve_control(control, handler, std::future::pending()));
        tokio::spawn(serve(data, agent.seen.clone(), Arc::new(script)));
        agent
    }

    pub(crate) fn runs(&self) -> Vec<RunRequest> {
        let seen = self.seen.lock().expect("not poisoned");
        let run = |seen: &Seen| match seen {
            Seen::Run(request) => Some(*request.clone()),
            Seen::Resume(_) => None,
        };
        seen.iter().filter_map(run).collect()
    }
}

async fn serve(listener: TcpListener, seen: Arc<Mutex<Vec<Seen>>>, script: Arc<Script>) {
    loop {
        let (stream, _) = listener.accept().await.expect("accepted");
        let (seen, script) = (seen.clone(), script.clone());
        let service = service_fn(move |request| reply(request, seen.clone(), script.clone()));
        tokio::spawn(
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}

async fn reply(
    request: Request<Incoming>,
    seen: Arc<Mutex<Vec<Seen>>>,
    script: Arc<Script>,
) -> Result<Response<impl hyper::body::Body<Data = Bytes, Error = io::Error>>, Infallible> {
    let run = request.uri().path() == "/v1/run";
    let body = request
        .into_body()
        .collect()
        .await
        .expect("body")
        .to_bytes();
    let one = match run {
        true => Seen::Run(decode(&body).expect("run request")),
        false => Seen::Resume(decode(&body).expect("resume request")),
    };
    let index = {
        let mut seen = seen.lock().expect("not poisoned");
        seen.push(one.clone());
        seen.len() - 1
    };
    let parts = script(&one, index).into_iter();
    let stream = futures::stream::unfold(parts, |mut parts| async move {
        loop {
            match parts.next()? {
                Part::Send(frame) => {
                    let bytes = encode_frame(&frame).expect("encodes");
                    return Some((Ok(hyper::body::Frame::data(bytes)), parts));
                }
                Part::Gate(gate) => gate.acquire().await.expect("open").forget(),
                Part::Cut => {
                    // The pause lets the frames before the cut leave first.
                    tokio::task::yield_now().await;
                    return Some((Err(io::Error::other("cut")), parts));
                }
            }
        }
    });
    Ok(Response::new(StreamBody::new(stream)))
}

pub(crate) fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid id")
}

pub(crate) fn status(upstream: &str) -> Status {
    Status {
        node: id(&format!("agent-{upstream}")),
        upstream: id(upstream),
        agent_incarnation: Incarnation(1),
        upstream_incarnation: Incarnation(1),
        report_seq: 1,
        queue_wait_ms: [DurationMs::ZERO; 3],
        running: 0,
        queued: 0,
        prefill_tokens_per_s: speed(1_000.0),
        decode_tokens_per_s: speed(50.0),
        weights: WeightsVersion(1),
        config_version: ConfigVersion(1),
        accepting: true,
        leaving: false,
        warm_depth: 0,
        recent: Vec::new(),
    }
}

fn speed(value: f64) -> TokensPerS {
    TokensPerS::new(value).expect("valid")
}

pub(crate) fn request_id(seen: &Seen) -> RequestId {
    match seen {
        Seen::Run(request) => request.request_id.clone(),
        Seen::Resume(request) => request.request_id.clone(),
    }
}

/// Returns the frames of a complete answer of `chunks` chunks.
pub(crate) fn frames(request_id: &RequestId, upstream: &str, chunks: u64) -> Vec<Frame> {
    let start = Frame::Start(StreamStart {
        request_id: request_id.clone(),
        prompt_tokens: 7,
        cached_tokens: 3,
        imported_tokens: 0,
        queued_ms: DurationMs::ZERO,
        status: status(upstream),
    });
    let chunk = |seq| Frame::Chunk {
        seq,
        text: format!("<{seq}>"),
        tokens: 1,
    };
    let end = Frame::End(StreamEnd {
        request_id: request_id.clone(),
        chunks,
        tokens: chunks,
        finish_reason: "stop".to_owned(),
        status: status(upstream),
    });
    std::iter::once(start)
        .chain((0..chunks).map(chunk))
        .chain([end])
        .collect()
}

pub(crate) fn send(frames: Vec<Frame>) -> Vec<Part> {
    frames.into_iter().map(Part::send).collect()
}

pub(crate) fn refused(
    seen: &Seen,
    upstream: &str,
    reason: RefusalReason,
    better: Option<&str>,
) -> Vec<Part> {
    vec![Part::send(Frame::Refused(Refusal {
        request_id: request_id(seen),
        reason,
        retry_after_ms: Some(DurationMs(20)),
        better: better.map(id),
        status: Some(status(upstream)),
    }))]
}

/// Returns a bound port that refuses connections. It stays bound, because a port that is free
/// again can be given to a parallel test.
pub(crate) fn closed_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("socket");
    socket
        .bind("127.0.0.1:0".parse().expect("address"))
        .expect("bound");
    socket
}

/// A script that always answers completely.
pub(crate) fn good(upstream: &'static str) -> impl Fn(&Seen, usize) -> Vec<Part> + Send + Sync {
    move |seen, _| send(frames(&request_id(seen), upstream, 3))
}

fn service(name: &str, kind: ServiceKind, repeat: RepeatRule) -> Object {
    Object::Service(Service {
        name: id(name),
        kind,
        repeat,
        priority: dw_base::Priority::Normal,
        worth: Worth::new(1.0).expect("valid"),
        deadline_ms: DurationMs(60_000),
        max_prompt_tokens: Tokens(10_000),
    })
}

fn config(agents: &[&Agent]) -> Config {
    let mut objects = vec![
        Object::Organisation(Organisation {
            name: id("planner"),
            token_sha256: vec![hex::encode(Sha256::digest(b"secret"))],
            share: 1.0,
        }),
        Object::Model(Model {
            name: id("arch-1"),
            weights: WeightsVersion(1),
            adapters: Vec::new(),
        }),
        service("quote", ServiceKind::Generate, RepeatRule::Repeatable),
        service("deposit", ServiceKind::Call, RepeatRule::AtMostOnce),
        service("order-status", ServiceKind::Call, RepeatRule::Idempotent),
    ];
    for agent in agents {
        objects.push(Object::Upstream(Upstream {
            name: id(&agent.name),
            kind: UpstreamKind::Engine,
            data_centre: id("ikeja"),
            services: vec![id("quote"), id("deposit"), id("order-status")],
            model: Some(id("arch-1")),
            prefill_tokens_per_s: speed(1_000.0),
            decode_tokens_per_s: speed(50.0),
            max_batch: 8,
            checks_fence: true,
            state: UpstreamState::Active,
        }));
    }
    let version = ConfigVersion(1);
    let entries: BTreeMap<_, _> = objects
        .into_iter()
        .map(|object| (object.key(), Entry { version, object }))
        .collect();
    Config { version, entries }
}

fn vms(agents: &[&Agent]) -> VmList {
    let vm = |agent: &&Agent| Vm {
        name: format!("agent-{}", agent.name),
        role: VmRole::Agent,
        state: VmState::Live,
        data_centre: "ikeja".to_owned(),
        data_addr: agent.data_addr.to_string(),
        control_addr: agent.control_addr.to_string(),
        upstream: Some(agent.name.clone()),
    };
    VmList {
        as_of_ms: 0,
        seq: 1,
        vms: agents.iter().map(vm).collect(),
    }
}

pub(crate) fn settings() -> Settings {
    let text = "{node: router-1, data_centre: ikeja, listen: '127.0.0.1:0', \
                control: '127.0.0.1:0', admin: '127.0.0.1:0', max_body_bytes: 65536}";
    dw_settings::from_text("test", text).expect("valid settings")
}

pub(crate) fn parts(agents: &[&Agent]) -> Parts {
    Parts::builder()
        .settings(settings())
        .config(Arc::new(FixedConfig::new(config(agents))))
        .vms(Arc::new(FixedVms(vms(agents))))
        .policy(Box::new(RoundRobin::default()))
        .seed(1)
        .build()
}

pub(crate) async fn start(agents: &[&Agent]) -> Router {
    Router::start(parts(agents)).await.expect("started")
}

/// A request to a router.
pub(crate) struct Ask {
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

pub(crate) const CHAT: &str =
    r#"{"model":"arch-1","messages":[{"role":"user","content":"arch"}],"stream":false}"#;
pub(crate) const STREAM: &str =
    r#"{"model":"arch-1","messages":[{"role":"user","content":"arch"}],"stream":true}"#;

impl Ask {
    pub(crate) fn new(path: &str, body: &str) -> Self {
        Ask {
            path: path.to_owned(),
            headers: Vec::new(),
            body: body.to_owned(),
        }
        .with("authorization", "Bearer secret")
    }

    pub(crate) fn chat(body: &str) -> Self {
        Ask::new("/v1/chat/completions", body).with("x-service", "quote")
    }

    pub(crate) fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub(crate) fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    pub(crate) async fn open(self, addr: SocketAddr) -> Response<Incoming> {
        let mut request = Request::post(format!("http://{addr}{}", self.path));
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::from(self.body));
        let client = Client::builder(TokioExecutor::new()).build_http();
        let request = request.body(body).expect("request");
        client.request(request).await.expect("response")
    }

    pub(crate) async fn send(self, addr: SocketAddr) -> (StatusCode, HeaderMap, String) {
        let response = self.open(addr).await;
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("body").to_bytes();
        let text = String::from_utf8(body.to_vec()).expect("text");
        (head.status, head.headers, text)
    }
}

pub(crate) async fn get(addr: SocketAddr, path: &str) -> (StatusCode, String) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{addr}{path}").parse().expect("URI");
    let (head, body) = client.get(uri).await.expect("response").into_parts();
    let body = body.collect().await.expect("body").to_bytes();
    (head.status, String::from_utf8(body.to_vec()).expect("text"))
}

/// Joins the text of all chat events.
pub(crate) fn streamed_text(events: &str) -> String {
    events
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: {"))
        .filter_map(|json| {
            let value: serde_json::Value = serde_json::from_str(&format!("{{{json}")).ok()?;
            let content = &value["choices"][0]["delta"]["content"];
            content.as_str().map(str::to_owned)
        })
        .collect()
}

//! The router's part of the latency and of the CPU of streams.
//!
//! The same streams take three paths in turn: from the engine directly, through its agent, and
//! through router and agent. The engine notes when it handed the first token to the connection, so
//! that the latency of each path counts from there, whatever the engine computed before.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use dw_api::callers::CompletionChunk;
use dw_api::callers::CompletionRequest;
use dw_api::engine::GenerateEvent;
use dw_api::engine::GenerateRequest;
use dw_base::Chain;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Salt;
use dw_base::WeightsVersion;
use dw_base::Worth;
use dw_local::Cluster;
use dw_local::ClusterSettings;
use dw_local::TOKEN;
use dw_standin::Engine;
use dw_wire::encode;
use dw_wire::Frame;
use dw_wire::FrameDecoder;
use dw_wire::RepeatRule;
use dw_wire::RunRequest;
use dw_wire::Work;
use dw_wire::PROTOCOL_VERSION;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;

use crate::cpu::thread_time;
use crate::report::Latency;
use crate::sse::SseParser;

/// Streams that run at the same time.
const LEVELS: [usize; 3] = [1, 10, 100];

/// Fewest streams of a path in a round.
const MIN_STREAMS: usize = 10;

/// Rounds in which the paths take turns, so that a disturbance meets all of them.
const ROUNDS: usize = 8;

const TOKENS: u64 = 20;

/// Names of the threads that run the routers and the agents.
const ROUTER_THREADS: &str = "dw-router";
const AGENT_THREADS: &str = "dw-agent";

/// One fast engine, whose decode step of 10 ms is long against the time of a hop.
const FLEET: &str = "
deployment: streaming
weight_loads: 1
engines:
  - name: engine-1
    data_centre: local
    services: [text]
    engine:
      model: text
      prefill_tokens_per_s: 1000000
      decode_ms_per_token: 10
      max_batch: 128
";

/// How a stream reaches its caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Hop {
    /// From the engine directly.
    Engine,
    /// Through the agent.
    Agent,
    /// Through router and agent.
    Router,
}

/// Figures of one path.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PathFigures {
    /// From the engine's sending of the first token to its arrival.
    pub first_chunk: Latency,
    /// From the sending of the request to the end of the stream.
    pub total: Latency,
    /// Streams that did not arrive whole.
    pub failed: u64,
    /// CPU time of the whole process, with engine and caller, per token.
    pub process_us_per_token: f64,
    /// CPU time of the router per token.
    pub router_us_per_token: f64,
    /// CPU time of the agent per token.
    pub agent_us_per_token: f64,
}

/// Figures of one number of concurrent streams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StreamLevel {
    /// Streams at the same time.
    pub streams: usize,
    /// Figures by path.
    pub paths: BTreeMap<Hop, PathFigures>,
    /// Median total time through the router less that of the engine directly.
    pub added_ms: f64,
    /// Median total time through the router divided by that of the engine directly.
    pub time_ratio: f64,
    /// CPU time of the process per token through the router divided by that of the engine directly.
    pub cpu_ratio: f64,
    /// CPU time of the router per token divided by the process's for the engine directly.
    pub router_cpu_ratio: f64,
}

/// Figures of all numbers of streams; displays as a table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StreamingReport {
    /// Figures by number of streams.
    pub levels: Vec<StreamLevel>,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Bench {
    cluster: Cluster,
    client: HttpClient,
    engine: Arc<Engine>,
    engine_addr: SocketAddr,
    agent_addr: SocketAddr,
    router_addr: SocketAddr,
}

/// One stream as its caller saw it.
struct Seen {
    engine_id: String,
    first: Instant,
    total: Duration,
}

fn runtime(name: &str) -> eyre::Result<Runtime> {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().div_ceil(4));
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

/// Measures all paths.
///
/// # Errors
///
/// Returns an error if the cluster does not start.
pub(crate) fn measure_streaming() -> eyre::Result<StreamingReport> {
    let routers = runtime(ROUTER_THREADS)?;
    let agents = runtime(AGENT_THREADS)?;
    let settings = ClusterSettings::builder()
        .description(FLEET)
        .router_runtime(routers.handle().clone())
        .agent_runtime(agents.handle().clone())
        .build();
    runtime("dw-load")?.block_on(async move {
        let bench = Arc::new(Bench::new(Cluster::start_with(settings).await?)?);
        let mut report = StreamingReport::default();
        for streams in LEVELS {
            report.levels.push(bench.level(streams).await);
        }
        if let Some(bench) = Arc::into_inner(bench) {
            bench.cluster.shutdown().await;
        }
        Ok(report)
    })
}

impl Bench {
    fn new(cluster: Cluster) -> eyre::Result<Bench> {
        let started = cluster.fleet().engines.values().next();
        let started = started.ok_or_else(|| eyre::eyre!("the fleet has no engine"))?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Ok(Bench {
            client: Client::builder(TokioExecutor::new()).build(connector),
            engine: Arc::clone(&started.state),
            engine_addr: started.running.addr(),
            agent_addr: cluster.agents()[0].data_addr(),
            router_addr: cluster.router().callers_addr(),
            cluster,
        })
    }

    async fn level(self: &Arc<Self>, streams: usize) -> StreamLevel {
        let mut level = StreamLevel {
            streams,
            ..StreamLevel::default()
        };
        let hops = [Hop::Engine, Hop::Agent, Hop::Router];
        let mut seen: BTreeMap<Hop, Vec<(Duration, Duration)>> = BTreeMap::new();
        let per_round = (2 * streams).max(MIN_STREAMS);
        for round in 0..=ROUNDS {
            for hop in hops {
                let before = cpu_times();
                let found = self.round(hop, streams, per_round, round).await;
                let used = cpu_times().map_with(before);
                // The first round opens the connections and is not counted.
                if round == 0 {
                    continue;
                }
                let figures = level.paths.entry(hop).or_default();
                figures.failed += (per_round - found.len()) as u64;
                figures.process_us_per_token += used.process;
                figures.router_us_per_token += used.router;
                figures.agent_us_per_token += used.agent;
                seen.entry(hop).or_default().extend(found);
            }
        }
        for (hop, figures) in &mut level.paths {
            let seen = seen.get(hop).map(Vec::as_slice).unwrap_or_default();
            let tokens = (seen.len() as u64 * TOKENS).max(1) as f64;
            figures.first_chunk = Latency::of(seen.iter().map(|(first, _)| *first));
            figures.total = Latency::of(seen.iter().map(|(_, total)| *total));
            figures.process_us_per_token /= tokens;
            figures.router_us_per_token /= tokens;
            figures.agent_us_per_token /= tokens;
        }
        level.compare();
        level
    }

    /// Returns the time of the first chunk since its sending, and the total, of each whole stream.
    async fn round(
        self: &Arc<Self>,
        hop: Hop,
        streams: usize,
        count: usize,
        round: usize,
    ) -> Vec<(Duration, Duration)> {
        let mut running = JoinSet::new();
        for worker in 0..streams {
            let bench = Arc::clone(self);
            let share = count / streams + usize::from(worker < count % streams);
            running.spawn(async move {
                let mut found = Vec::new();
                for number in 0..share {
                    let name = format!("{streams}-{round}-{worker}-{number}");
                    found.extend(bench.stream(hop, &name).await.ok());
                }
                found
            });
        }
        let seen: Vec<Seen> = running.join_all().await.into_iter().flatten().collect();
        let timed = seen.iter().filter_map(|seen| {
            let sent = self.engine.first_token_sent(&seen.engine_id)?;
            Some((seen.first.saturating_duration_since(sent), seen.total))
        });
        timed.collect()
    }

    async fn stream(&self, hop: Hop, name: &str) -> eyre::Result<Seen> {
        let started = Instant::now();
        let mut response = self.client.request(self.request(hop, name)?).await?;
        eyre::ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        let header = response.headers().get("x-request-id");
        let request_id = header.and_then(|id| id.to_str().ok()).unwrap_or(name);
        let engine_id = match hop {
            Hop::Engine => engine_name(name),
            // The agent numbers attempts from 1 and rounds from 0.
            Hop::Agent => format!("{}.1.0", agent_name(name)),
            Hop::Router => format!("{request_id}.1.0"),
        };
        let mut reader = Reader::new(hop);
        let mut first = None;
        while let Some(frame) = response.body_mut().frame().await {
            if let Some(data) = frame?.data_ref() {
                reader.push(data)?;
                if reader.tokens > 0 {
                    first.get_or_insert_with(Instant::now);
                }
            }
        }
        eyre::ensure!(reader.tokens == TOKENS, "{} tokens", reader.tokens);
        Ok(Seen {
            engine_id,
            first: first.unwrap_or(started),
            total: started.elapsed(),
        })
    }

    fn request(&self, hop: Hop, name: &str) -> eyre::Result<Request<Full<Bytes>>> {
        let prompt = format!("stream {name}");
        let (url, body) = match hop {
            Hop::Engine => {
                let request = GenerateRequest {
                    cache_salt: salt()?.root().to_string(),
                    max_tokens: TOKENS,
                    model: "text".to_owned(),
                    priority: 1,
                    prompt,
                    request_id: engine_name(name),
                    user: "example".to_owned(),
                    weights_version: None,
                };
                let url = format!("http://{}/v1/generate", self.engine_addr);
                (url, serde_json::to_vec(&request)?)
            }
            Hop::Agent => {
                let url = format!("http://{}/v1/run", self.agent_addr);
                (url, encode(&run_request(name, prompt)?)?)
            }
            Hop::Router => {
                let request = CompletionRequest {
                    max_tokens: Some(TOKENS),
                    model: "text".to_owned(),
                    prompt,
                    stream: Some(true),
                };
                let url = format!("http://{}/v1/completions", self.router_addr);
                (url, serde_json::to_vec(&request)?)
            }
        };
        Ok(Request::post(url)
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("x-service", "text")
            .body(Full::new(Bytes::from(body)))?)
    }
}

fn engine_name(name: &str) -> String {
    format!("direct-{name}")
}

fn agent_name(name: &str) -> String {
    format!("agent-{name}")
}

fn salt() -> eyre::Result<Salt> {
    Ok(Salt {
        org: "example".parse()?,
        model: "text".parse()?,
        weights: WeightsVersion(1),
    })
}

fn run_request(name: &str, prompt: String) -> eyre::Result<RunRequest> {
    Ok(RunRequest {
        protocol: PROTOCOL_VERSION,
        request_id: agent_name(name).parse()?,
        attempt: 1,
        hops: 0,
        alternative: None,
        router: "streaming".parse()?,
        upstream: "engine-1".parse()?,
        org: "example".parse()?,
        service: "text".parse()?,
        priority: Priority::Normal,
        worth: Worth::new(1.0)?,
        repeat: RepeatRule::Repeatable,
        budget_ms: DurationMs(30_000),
        config_version: ConfigVersion(1),
        traceparent: None,
        work: Work::Generate {
            model: "text".parse()?,
            weights: WeightsVersion(1),
            chain: Chain::new(&salt()?, prompt.as_bytes()),
            prompt,
            max_tokens: TOKENS,
        },
    })
}

/// Counts the tokens of a stream in the format of its path.
struct Reader {
    hop: Hop,
    events: SseParser,
    frames: FrameDecoder,
    tokens: u64,
}

impl Reader {
    fn new(hop: Hop) -> Self {
        Reader {
            hop,
            events: SseParser::default(),
            frames: FrameDecoder::new(),
            tokens: 0,
        }
    }

    fn push(&mut self, data: &[u8]) -> eyre::Result<()> {
        if self.hop == Hop::Agent {
            self.frames.push(data);
            while let Some(frame) = self.frames.next_frame()? {
                if let Frame::Chunk { tokens, .. } = frame {
                    self.tokens += u64::from(tokens);
                }
            }
            return Ok(());
        }
        for (_, event) in self.events.push(data) {
            if event == "[DONE]" {
                continue;
            }
            self.tokens += match self.hop {
                Hop::Engine => {
                    let event: GenerateEvent = serde_json::from_str(&event)?;
                    u64::from(matches!(event, GenerateEvent::Token { .. }))
                }
                _ => {
                    let chunk: CompletionChunk = serde_json::from_str(&event)?;
                    let texts = chunk.choices.iter().map(|choice| choice.text.len());
                    texts.sum::<usize>() as u64 / dw_base::BYTES_PER_TOKEN
                }
            };
        }
        Ok(())
    }
}

/// CPU times in microseconds.
#[derive(Clone, Copy, Debug)]
struct CpuTimes {
    process: f64,
    router: f64,
    agent: f64,
}

fn cpu_times() -> CpuTimes {
    let us = |prefix| thread_time(prefix).as_secs_f64() * 1e6;
    CpuTimes {
        process: us(""),
        router: us(ROUTER_THREADS),
        agent: us(AGENT_THREADS),
    }
}

impl CpuTimes {
    fn map_with(self, before: CpuTimes) -> CpuTimes {
        CpuTimes {
            process: self.process - before.process,
            router: self.router - before.router,
            agent: self.agent - before.agent,
        }
    }
}

impl StreamLevel {
    fn compare(&mut self) {
        let (Some(direct), Some(routed)) =
            (self.paths.get(&Hop::Engine), self.paths.get(&Hop::Router))
        else {
            return;
        };
        self.added_ms = routed.total.p50_ms - direct.total.p50_ms;
        self.time_ratio = routed.total.p50_ms / direct.total.p50_ms;
        self.cpu_ratio = routed.process_us_per_token / direct.process_us_per_token;
        self.router_cpu_ratio = routed.router_us_per_token / direct.process_us_per_token;
    }
}

impl fmt::Display for StreamingReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:>8} {:<8}{:>12}{:>12}{:>12}{:>12}{:>8}{:>14}{:>14}{:>14}",
            "streams",
            "path",
            "first p50",
            "first p99",
            "total p50",
            "total p99",
            "failed",
            "us/token",
            "router us",
            "agent us"
        )?;
        for level in &self.levels {
            for (hop, figures) in &level.paths {
                writeln!(
                    f,
                    "{:>8} {:<8}{:>12.3}{:>12.3}{:>12.1}{:>12.1}{:>8}{:>14.2}{:>14.2}{:>14.2}",
                    level.streams,
                    format!("{hop:?}").to_lowercase(),
                    figures.first_chunk.p50_ms,
                    figures.first_chunk.p99_ms,
                    figures.total.p50_ms,
                    figures.total.p99_ms,
                    figures.failed,
                    figures.process_us_per_token,
                    figures.router_us_per_token,
                    figures.agent_us_per_token
                )?;
            }
            writeln!(
                f,
                "{:>8} added {:.2} ms a request; through the router / directly: time {:.3}, CPU of \
                 the process {:.2}, CPU of the router alone {:.2}",
                level.streams,
                level.added_ms,
                level.time_ratio,
                level.cpu_ratio,
                level.router_cpu_ratio
            )?;
        }
        Ok(())
    }
}

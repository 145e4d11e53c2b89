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

use crate::cpu::thread_cpu_time;
use crate::report::LatencySummary;
use crate::sse::SseParser;

/// Streams that run at the same time.
const CONCURRENCY_LEVELS: [usize; 3] = [1, 10, 100];

/// Fewest streams of a path in a round.
const MIN_STREAMS_PER_ROUND: usize = 10;

/// Rounds in which the paths take turns, so that a disturbance meets all of them.
const ROUNDS: usize = 8;

const TOKENS_PER_STREAM: u64 = 20;

/// Names of the threads that run the routers and the agents.
const ROUTER_THREAD_NAME: &str = "dw-router";
const AGENT_THREAD_NAME: &str = "dw-agent";

/// One fast engine, whose decode step of 10 ms is long against the time of a hop.
const FLEET_YAML: &str = "
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
pub enum StreamPath {
    /// From the engine directly.
    Engine,
    /// Through the agent.
    Agent,
    /// Through router and agent.
    Router,
}

/// Figures of one path.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PathStatistics {
    /// From the engine's sending of the first token to its arrival.
    pub first_chunk: LatencySummary,
    /// From the sending of the request to the end of the stream.
    pub total: LatencySummary,
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
    pub paths: BTreeMap<StreamPath, PathStatistics>,
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

struct Benchmark {
    cluster: Cluster,
    client: HttpClient,
    engine: Arc<Engine>,
    engine_addr: SocketAddr,
    agent_addr: SocketAddr,
    router_addr: SocketAddr,
}

/// One stream as its caller saw it.
struct StreamTiming {
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
    let routers = runtime(ROUTER_THREAD_NAME)?;
    let agents = runtime(AGENT_THREAD_NAME)?;
    let settings = ClusterSettings::builder()
        .description(FLEET_YAML)
        .router_runtime(routers.handle().clone())
        .agent_runtime(agents.handle().clone())
        .build();
    runtime("dw-load")?.block_on(async move {
        let benchmark = Arc::new(Benchmark::new(Cluster::start_with(settings).await?)?);
        let mut report = StreamingReport::default();
        for streams in CONCURRENCY_LEVELS {
            report.levels.push(benchmark.measure_level(streams).await);
        }
        if let Some(benchmark) = Arc::into_inner(benchmark) {
            benchmark.cluster.shutdown().await;
        }
        Ok(report)
    })
}

impl Benchmark {
    fn new(cluster: Cluster) -> eyre::Result<Benchmark> {
        let started = cluster.fleet().engines.values().next();
        let started = started.ok_or_else(|| eyre::eyre!("the fleet has no engine"))?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Ok(Benchmark {
            client: Client::builder(TokioExecutor::new()).build(connector),
            engine: Arc::clone(&started.state),
            engine_addr: started.running.addr(),
            agent_addr: cluster.agents()[0].data_addr(),
            router_addr: cluster.router().callers_addr(),
            cluster,
        })
    }

    async fn measure_level(self: &Arc<Self>, streams: usize) -> StreamLevel {
        let mut level = StreamLevel {
            streams,
            ..StreamLevel::default()
        };
        let paths = [StreamPath::Engine, StreamPath::Agent, StreamPath::Router];
        let mut seen: BTreeMap<StreamPath, Vec<(Duration, Duration)>> = BTreeMap::new();
        let per_round = (2 * streams).max(MIN_STREAMS_PER_ROUND);
        for round in 0..=ROUNDS {
            for path in paths {
                let before = cpu_times();
                let found = self.run_round(path, streams, per_round, round).await;
                let used = cpu_times().since(before);
                // The first round opens the connections and is not counted.
                if round == 0 {
                    continue;
                }
                let figures = level.paths.entry(path).or_default();
                figures.failed += (per_round - found.len()) as u64;
                figures.process_us_per_token += used.process;
                figures.router_us_per_token += used.router;
                figures.agent_us_per_token += used.agent;
                seen.entry(path).or_default().extend(found);
            }
        }
        for (path, figures) in &mut level.paths {
            let seen = seen.get(path).map(Vec::as_slice).unwrap_or_default();
            let tokens = (seen.len() as u64 * TOKENS_PER_STREAM).max(1) as f64;
            figures.first_chunk =
                LatencySummary::from_durations(seen.iter().map(|(first, _)| *first));
            figures.total = LatencySummary::from_durations(seen.iter().map(|(_, total)| *total));
            figures.process_us_per_token /= tokens;
            figures.router_us_per_token /= tokens;
            figures.agent_us_per_token /= tokens;
        }
        level.compute_ratios();
        level
    }

    /// Returns the time of the first chunk since its sending, and the total, of each whole stream.
    async fn run_round(
        self: &Arc<Self>,
        path: StreamPath,
        streams: usize,
        count: usize,
        round: usize,
    ) -> Vec<(Duration, Duration)> {
        let mut running = JoinSet::new();
        for worker in 0..streams {
            let benchmark = Arc::clone(self);
            let share = count / streams + usize::from(worker < count % streams);
            running.spawn(async move {
                let mut found = Vec::new();
                for number in 0..share {
                    let name = format!("{streams}-{round}-{worker}-{number}");
                    found.extend(benchmark.run_stream(path, &name).await.ok());
                }
                found
            });
        }
        let seen: Vec<StreamTiming> = running.join_all().await.into_iter().flatten().collect();
        let timed = seen.iter().filter_map(|seen| {
            let sent = self.engine.first_token_sent(&seen.engine_id)?;
            Some((seen.first.saturating_duration_since(sent), seen.total))
        });
        timed.collect()
    }

    async fn run_stream(&self, path: StreamPath, name: &str) -> eyre::Result<StreamTiming> {
        let started = Instant::now();
        let mut response = self.client.request(self.build_request(path, name)?).await?;
        eyre::ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        let header = response.headers().get("x-request-id");
        let request_id = header.and_then(|id| id.to_str().ok()).unwrap_or(name);
        let engine_id = match path {
            StreamPath::Engine => engine_request_id(name),
            // The agent numbers attempts from 1 and rounds from 0.
            StreamPath::Agent => format!("{}.1.0", agent_request_id(name)),
            StreamPath::Router => format!("{request_id}.1.0"),
        };
        let mut counter = TokenCounter::new(path);
        let mut first = None;
        while let Some(frame) = response.body_mut().frame().await {
            if let Some(data) = frame?.data_ref() {
                counter.push(data)?;
                if counter.tokens > 0 {
                    first.get_or_insert_with(Instant::now);
                }
            }
        }
        eyre::ensure!(
            counter.tokens == TOKENS_PER_STREAM,
            "{} tokens",
            counter.tokens
        );
        Ok(StreamTiming {
            engine_id,
            first: first.unwrap_or(started),
            total: started.elapsed(),
        })
    }

    fn build_request(&self, path: StreamPath, name: &str) -> eyre::Result<Request<Full<Bytes>>> {
        let prompt = format!("stream {name}");
        let (url, body) = match path {
            StreamPath::Engine => {
                let request = GenerateRequest {
                    cache_salt: example_salt()?.root().to_string(),
                    max_tokens: TOKENS_PER_STREAM,
                    model: "text".to_owned(),
                    priority: 1,
                    prompt,
                    request_id: engine_request_id(name),
                    user: "example".to_owned(),
                    weights_version: None,
                };
                let url = format!("http://{}/v1/generate", self.engine_addr);
                (url, serde_json::to_vec(&request)?)
            }
            StreamPath::Agent => {
                let url = format!("http://{}/v1/run", self.agent_addr);
                (url, encode(&run_request(name, prompt)?)?)
            }
            StreamPath::Router => {
                let request = CompletionRequest {
                    max_tokens: Some(TOKENS_PER_STREAM),
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

fn engine_request_id(name: &str) -> String {
    format!("direct-{name}")
}

fn agent_request_id(name: &str) -> String {
    format!("agent-{name}")
}

fn example_salt() -> eyre::Result<Salt> {
    Ok(Salt {
        org: "example".parse()?,
        model: "text".parse()?,
        weights: WeightsVersion(1),
    })
}

fn run_request(name: &str, prompt: String) -> eyre::Result<RunRequest> {
    Ok(RunRequest {
        protocol: PROTOCOL_VERSION,
        request_id: agent_request_id(name).parse()?,
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
            chain: Chain::new(&example_salt()?, prompt.as_bytes()),
            prompt,
            max_tokens: TOKENS_PER_STREAM,
        },
    })
}

/// Counts the tokens of a stream in the format of its path.
struct TokenCounter {
    path: StreamPath,
    events: SseParser,
    frames: FrameDecoder,
    tokens: u64,
}

impl TokenCounter {
    fn new(path: StreamPath) -> Self {
        TokenCounter {
            path,
            events: SseParser::default(),
            frames: FrameDecoder::new(),
            tokens: 0,
        }
    }

    fn push(&mut self, data: &[u8]) -> eyre::Result<()> {
        if self.path == StreamPath::Agent {
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
            self.tokens += match self.path {
                StreamPath::Engine => {
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
    let us = |prefix| thread_cpu_time(prefix).as_secs_f64() * 1e6;
    CpuTimes {
        process: us(""),
        router: us(ROUTER_THREAD_NAME),
        agent: us(AGENT_THREAD_NAME),
    }
}

impl CpuTimes {
    fn since(self, before: CpuTimes) -> CpuTimes {
        CpuTimes {
            process: self.process - before.process,
            router: self.router - before.router,
            agent: self.agent - before.agent,
        }
    }
}

impl StreamLevel {
    fn compute_ratios(&mut self) {
        let (Some(direct), Some(routed)) = (
            self.paths.get(&StreamPath::Engine),
            self.paths.get(&StreamPath::Router),
        ) else {
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
            for (path, figures) in &level.paths {
                writeln!(
                    f,
                    "{:>8} {:<8}{:>12.3}{:>12.3}{:>12.1}{:>12.1}{:>8}{:>14.2}{:>14.2}{:>14.2}",
                    level.streams,
                    format!("{path:?}").to_lowercase(),
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

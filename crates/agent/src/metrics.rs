//! Metrics of an agent, and the address that serves them.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::Priority;
use dw_telem::Metrics;
use dw_wire::RefusalReason;
use http::header::CONTENT_TYPE;
use http::StatusCode;
use oxhttp::model::Body;
use oxhttp::model::Request;
use oxhttp::model::Response;
use oxhttp::Server;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;

use crate::shared::lock;
use crate::shared::Shared;

/// Longest wait for a client that neither sends nor reads.
const IO_WAIT: Duration = Duration::from_secs(30);

/// Most connections at the same time; each has a thread.
const MAX_CONNECTIONS: usize = 16;

/// Attempts to find a free port when the settings name none.
const PORT_ATTEMPTS: usize = 16;

type Label = [(&'static str, String); 1];
type Speed = Gauge<f64, AtomicU64>;

/// Metrics of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    registry: Metrics,
    queued: Gauge,
    running: Gauge,
    expected_wait_ms: Family<Label, Gauge>,
    waited_ms: Family<Label, Histogram>,
    prefill_tokens_per_s: Speed,
    decode_tokens_per_s: Speed,
    cached_blocks: Gauge,
    cache_synchronised: Gauge,
    kept_answer_bytes: Gauge,
    known_pieces: Gauge,
    refusals: Family<Label, Counter>,
    outcomes: Family<Label, Counter>,
    /// Cache events received.
    pub(crate) cache_events: Counter,
    /// Gaps found in the cache events.
    pub(crate) cache_gaps: Counter,
    /// Snapshots of the cache that were applied.
    pub(crate) cache_resyncs: Counter,
    /// Pieces imported from the KV store.
    pub(crate) imported_pieces: Counter,
    /// Pieces exported to the KV store.
    pub(crate) exported_pieces: Counter,
    /// Lookups in the KV store.
    pub(crate) kv_lookups: Counter,
    /// Running requests that made room for urgent ones.
    pub(crate) preemptions: Counter,
}

fn wait_buckets() -> Histogram {
    Histogram::new(exponential_buckets(1.0, 2.0, 17))
}

impl AgentMetrics {
    pub(crate) fn new() -> Self {
        let registry = Metrics::new();
        let counter = |name, help| registry.add(name, help, Counter::default());
        let gauge = |name, help| registry.add(name, help, Gauge::default());
        let speed = |name, help| registry.add(name, help, Speed::default());
        let waits = Family::new_with_constructor(wait_buckets as fn() -> Histogram);
        AgentMetrics {
            queued: gauge("queued_requests", "Requests that wait"),
            running: gauge("running_requests", "Requests that run"),
            expected_wait_ms: registry.add(
                "expected_wait_ms",
                "Expected queue wait of a new request",
                Family::default(),
            ),
            waited_ms: registry.add("waited_ms", "Queue wait of started requests", waits),
            prefill_tokens_per_s: speed("prefill_tokens_per_s", "Measured prefill speed"),
            decode_tokens_per_s: speed("decode_tokens_per_s", "Measured speed of one stream"),
            cached_blocks: gauge("cached_blocks", "Blocks in the cache index"),
            cache_synchronised: gauge("cache_synchronised", "1 if no cache event is missing"),
            kept_answer_bytes: gauge("kept_answer_bytes", "Memory of answers kept for resuming"),
            known_pieces: gauge("known_pieces", "Pieces remembered for the KV store"),
            refusals: registry.add("refusals", "Refused requests", Family::default()),
            outcomes: registry.add("outcome_records", "Records written", Family::default()),
            cache_events: counter("cache_events", "Cache events received"),
            cache_gaps: counter("cache_gaps", "Gaps found in the cache events"),
            cache_resyncs: counter("cache_resyncs", "Snapshots of the cache applied"),
            imported_pieces: counter("imported_pieces", "Pieces imported from the KV store"),
            exported_pieces: counter("exported_pieces", "Pieces exported to the KV store"),
            kv_lookups: counter("kv_lookups", "Lookups in the KV store"),
            preemptions: counter("preemptions", "Requests that made room for urgent ones"),
            registry,
        }
    }

    /// Counts a refusal.
    pub(crate) fn refused(&self, reason: RefusalReason) {
        let label = [("reason", format!("{reason:?}"))];
        self.refusals.get_or_create(&label).inc();
    }

    /// Counts a record that was written.
    pub(crate) fn recorded(&self, state: &str) {
        let label = [("state", state.to_owned())];
        self.outcomes.get_or_create(&label).inc();
    }

    /// Counts a request that has got its slot.
    pub(crate) fn waited(&self, priority: Priority, wait_ms: DurationMs) {
        let label = [("priority", priority.to_string())];
        let waited = self.waited_ms.get_or_create(&label);
        waited.observe(wait_ms.0 as f64);
    }

    /// Takes over the present state and returns all metrics as text.
    fn render(&self, shared: &Shared) -> String {
        let (load, wait_ms) = shared.queue.load();
        self.queued.set(i64::from(load.queued));
        self.running.set(i64::from(load.running));
        for (priority, wait_ms) in Priority::ALL.iter().zip(wait_ms) {
            let label = [("priority", priority.to_string())];
            let expected = self.expected_wait_ms.get_or_create(&label);
            expected.set(to_i64(wait_ms.0));
        }
        self.prefill_tokens_per_s
            .set(load.prefill_tokens_per_s.get());
        self.decode_tokens_per_s.set(load.decode_tokens_per_s.get());
        let (blocks, synchronised) = shared.feed.state();
        self.cached_blocks.set(to_i64(blocks as u64));
        self.cache_synchronised.set(i64::from(synchronised));
        self.kept_answer_bytes
            .set(to_i64(shared.memory.total_bytes() as u64));
        let known = lock(&shared.exchange).known_blocks();
        self.known_pieces.set(to_i64(known as u64));
        self.registry.render()
    }
}

fn to_i64(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Serves the metrics and returns the address. The server has no shutdown, so its handler holds
/// the agent weakly and answers 503 once the agent is gone.
pub(crate) fn serve(addr: SocketAddr, shared: &Arc<Shared>) -> io::Result<SocketAddr> {
    let mut failure = io::Error::other("no free port for the metrics");
    for _ in 0..PORT_ATTEMPTS {
        let addr = concrete(addr)?;
        let weak = Arc::downgrade(shared);
        let server = Server::new(move |request| match weak.upgrade() {
            Some(shared) => answer(&shared, request),
            None => response(StatusCode::SERVICE_UNAVAILABLE, "the agent has stopped\n"),
        });
        let server = server
            .bind(addr)
            .with_global_timeout(IO_WAIT)
            .with_max_concurrent_connections(MAX_CONNECTIONS);
        match server.spawn() {
            Ok(_) => return Ok(addr),
            Err(e) => failure = e,
        }
    }
    Err(failure)
}

/// Replaces port 0 by a free port, because the server does not tell which port it has bound.
fn concrete(addr: SocketAddr) -> io::Result<SocketAddr> {
    if addr.port() != 0 {
        return Ok(addr);
    }
    TcpListener::bind((addr.ip(), 0))?.local_addr()
}

fn answer(shared: &Shared, request: &mut Request<Body>) -> Response<Body> {
    match (request.method().as_str(), request.uri().path()) {
        ("GET", "/metrics") => {
            let mut response = response(StatusCode::OK, shared.metrics.render(shared));
            let value = http::HeaderValue::from_static(Metrics::CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, value);
            response
        }
        _ => response(StatusCode::NOT_FOUND, "use GET /metrics\n"),
    }
}

fn response(status: StatusCode, body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response
}

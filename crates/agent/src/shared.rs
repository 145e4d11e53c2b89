//! State that all tasks of an agent share.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use dw_base::Chain;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::RequestId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_cache::Exchange;
use dw_cache::RecentChains;
use dw_config::Config;
use dw_config::ConfigSource;
use dw_config::Upstream;
use dw_config::UpstreamState;
use dw_order::HeldLease;
use dw_store::Objects;
use dw_store::Table;
use dw_wire::Frame;
use dw_wire::Refusal;
use dw_wire::RefusalReason;
use dw_wire::Status;
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::client::UpstreamClient;
use crate::engine::Engine;
use crate::feed::Feed;
use crate::live::Live;
use crate::memory::Memory;
use crate::metrics::AgentMetrics;
use crate::parts::ConfigPeer;
use crate::queue::Queue;
use crate::settings::Settings;
use crate::writer::Writer;

/// Requests whose record is kept for `explain`.
const MAX_EXPLAINED: usize = 1_024;

/// What is known about the upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamView {
    /// Incarnation as last seen.
    pub(crate) incarnation: Incarnation,
    /// Loaded weights as last seen.
    pub(crate) weights: WeightsVersion,
    /// Whether new work may be sent.
    pub(crate) ready: bool,
    /// Lease for a weight load that is held.
    pub(crate) lease: Option<HeldLease>,
}

/// Record of one request for `explain`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Explained {
    pub(crate) request_id: RequestId,
    pub(crate) attempt: u32,
    pub(crate) arrived: TimeMs,
    pub(crate) warm_depth: usize,
    pub(crate) imported_pieces: u64,
    pub(crate) cached_tokens: Option<u64>,
    pub(crate) queued_ms: Option<DurationMs>,
    pub(crate) result: String,
}

/// State that all tasks of an agent share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) config: Arc<dyn ConfigSource>,
    pub(crate) peer: Arc<dyn ConfigPeer>,
    pub(crate) table: Arc<dyn Table>,
    pub(crate) objects: Arc<dyn Objects>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) incarnation: Incarnation,
    pub(crate) queue: Queue,
    pub(crate) feed: Feed,
    pub(crate) engine: Engine,
    pub(crate) plain: UpstreamClient,
    pub(crate) writer: Writer,
    pub(crate) exchange: Mutex<Exchange>,
    pub(crate) tasks: TaskTracker,
    pub(crate) killed: CancellationToken,
    pub(crate) upstream: Mutex<UpstreamView>,
    pub(crate) calls: Mutex<HashMap<(RequestId, u32), Arc<Live>>>,
    pub(crate) memory: Arc<Memory>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) explained: Mutex<VecDeque<Explained>>,
    pub(crate) recent: Mutex<RecentChains>,
    pub(crate) leaving: AtomicBool,
    pub(crate) next_ticket: AtomicU64,
    pub(crate) next_report: AtomicU64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Shared {
    /// Starts a task that a graceful shutdown waits for.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let killed = self.killed.clone();
        self.tasks.spawn(async move {
            killed.run_until_cancelled_owned(task).await;
        });
    }

    /// Returns the configuration.
    pub(crate) fn config(&self) -> Arc<Config> {
        self.config.current()
    }

    /// Returns what is known about the upstream.
    pub(crate) fn upstream(&self) -> UpstreamView {
        *lock(&self.upstream)
    }

    /// Learns incarnation and weights from an answer of the engine.
    pub(crate) fn observe(&self, incarnation: Incarnation, weights: WeightsVersion) {
        let mut view = lock(&self.upstream);
        if incarnation < view.incarnation {
            return;
        }
        view.incarnation = incarnation;
        view.weights = weights;
        drop(view);
        self.feed.observe(incarnation, weights);
    }

    /// Returns whether new work is refused for good.
    pub(crate) fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns whether the configuration drains the upstream.
    pub(crate) fn draining(&self, config: &Config) -> bool {
        self.declared(config)
            .is_some_and(|upstream| upstream.state == UpstreamState::Draining)
    }

    /// Returns the declaration of the upstream.
    pub(crate) fn declared<'a>(&self, config: &'a Config) -> Option<&'a Upstream> {
        config.upstream(&self.settings.upstream)
    }

    /// Returns the state of the agent, with the warm depth of a chain.
    pub(crate) fn status(&self, chain: Option<&Chain>) -> Status {
        let config = self.config();
        let view = self.upstream();
        let (load, queue_wait_ms) = self.queue.load();
        let leaving = self.leaving() || self.draining(&config);
        let depth = chain.map_or(0, |chain| self.feed.predict(chain).depth);
        Status {
            node: self.settings.node.clone(),
            upstream: self.settings.upstream.clone(),
            agent_incarnation: self.incarnation,
            upstream_incarnation: view.incarnation,
            report_seq: self.next_report.fetch_add(1, Ordering::SeqCst) + 1,
            queue_wait_ms,
            running: load.running,
            queued: load.queued,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
            decode_tokens_per_s: load.decode_tokens_per_s,
            weights: view.weights,
            config_version: config.version,
            accepting: view.ready && !leaving && !self.peer.isolated(),
            leaving,
            warm_depth: u32::try_from(depth).unwrap_or(u32::MAX),
            recent: Vec::new(),
        }
    }

    /// Returns the state for a router, with what it has not been told of the cache.
    pub(crate) fn status_for(&self, router: &NodeId, chain: Option<&Chain>) -> Status {
        let mut status = self.status(chain);
        status.recent = lock(&self.recent).take_unreported(router);
        status
    }

    /// Creates a refusal.
    pub(crate) fn refusal(
        &self,
        request_id: &RequestId,
        reason: RefusalReason,
        retry_after_ms: Option<DurationMs>,
        chain: Option<&Chain>,
    ) -> Frame {
        self.metrics.refused(reason);
        Frame::Refused(Refusal {
            request_id: request_id.clone(),
            reason,
            retry_after_ms,
            better: None,
            status: Some(self.status(chain)),
        })
    }

    /// Keeps the record of a request for `explain`.
    pub(crate) fn explain(&self, record: Explained) {
        log::info!(
            "event=request_ended request_id={} attempt={} result={}",
            record.request_id,
            record.attempt,
            record.result
        );
        let mut explained = lock(&self.explained);
        if explained.len() == MAX_EXPLAINED {
            explained.pop_front();
        }
        explained.push_back(record);
    }
}

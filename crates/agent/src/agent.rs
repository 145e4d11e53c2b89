//! Start and shutdown of an agent.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dw_base::Incarnation;
use dw_cache::Exchange;
use dw_net::listen;
use dw_net::BindError;
use dw_store::VmSource;
use dw_wire::Status;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::client::UpstreamClient;
use crate::control;
use crate::engine::Engine;
use crate::feed::Feed;
use crate::kv;
use crate::memory::Memory;
use crate::metrics;
use crate::metrics::AgentMetrics;
use crate::orders::Orders;
use crate::parts::Parts;
use crate::queue::Queue;
use crate::server;
use crate::shared::Shared;
use crate::shared::UpstreamView;
use crate::writer::Writer;

/// Time between two looks at the queue for requests that have become too late.
const POLL_QUEUE_EVERY: Duration = Duration::from_millis(20);

/// Queue looks between two sweeps of kept answers.
const SWEEP_EVERY: u32 = 50;

/// An agent cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// A thread cannot be started.
    #[error("the cache thread cannot be started: {0}; raise the limit on threads")]
    Thread(std::io::Error),
}

/// A running agent; dropping it stops it like a crash.
pub struct Agent {
    shared: Arc<Shared>,
    vms: Option<Arc<dyn VmSource>>,
    data_addr: SocketAddr,
    control_addr: SocketAddr,
    metrics_addr: Option<SocketAddr>,
    stop_serving: CancellationToken,
    server: Option<JoinHandle<()>>,
}

impl Agent {
    /// Binds the addresses and starts all tasks.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or a thread cannot be started.
    pub async fn start(parts: Parts) -> Result<Self, StartError> {
        let (data, data_addr) = listen("data", parts.settings.data_addr.0).await?;
        let (control, control_addr) = listen("control", parts.settings.control_addr.0).await?;
        let vms = parts.vms.clone();
        let metrics_addr = parts.settings.metrics_addr;
        let shared = shared(parts)?;
        let metrics_addr = metrics_addr
            .map(|addr| {
                let served = metrics::serve(addr.0, &shared);
                served.map_err(|source| BindError {
                    what: "metrics",
                    addr: addr.0,
                    source,
                })
            })
            .transpose()?;
        let stop_serving = CancellationToken::new();
        let serving = server::serve(Arc::clone(&shared), data, stop_serving.clone());
        let server = spawn_until_killed(&shared, serving);
        spawn_until_killed(&shared, control::serve(Arc::clone(&shared), control));
        spawn_until_killed(&shared, shared.feed.clone().poll(shared.engine.clone()));
        spawn_until_killed(&shared, poll_queue(Arc::clone(&shared)));
        spawn_until_killed(&shared, kv::export_waiting(Arc::clone(&shared)));
        let counting = kv::count_agents(Arc::clone(&shared), vms.clone());
        spawn_until_killed(&shared, counting);
        let orders = Orders::new(Arc::clone(&shared));
        spawn_until_killed(&shared, orders.run());
        Ok(Agent {
            shared,
            vms,
            data_addr,
            control_addr,
            metrics_addr,
            stop_serving,
            server: Some(server),
        })
    }

    /// Returns the address of the data path.
    pub fn data_addr(&self) -> SocketAddr {
        self.data_addr
    }

    /// Returns the address of the control path.
    pub fn control_addr(&self) -> SocketAddr {
        self.control_addr
    }

    /// Returns the address of the metrics, if the settings name one.
    pub fn metrics_addr(&self) -> Option<SocketAddr> {
        self.metrics_addr
    }

    /// Returns the state as routers see it.
    pub fn status(&self) -> Status {
        self.shared.status(None)
    }

    /// Refuses new work, notifies the routers, finishes all work, and stops.
    pub async fn shutdown(mut self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
        log::info!("event=leaving node={}", self.shared.settings.node);
        control::send_leaving_notices(&self.shared, self.vms.as_ref()).await;
        self.shared.tasks.close();
        self.shared.tasks.wait().await;
        self.stop_serving.cancel();
        if let Some(server) = self.server.take() {
            let _ = server.await;
        }
        log::info!("event=stopped node={}", self.shared.settings.node);
    }

    /// Stops all tasks at once, as a crash of the process would.
    pub fn kill(self) {}
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.shared.killed.cancel();
    }
}

fn shared(parts: Parts) -> Result<Arc<Shared>, StartError> {
    let metrics = AgentMetrics::new();
    let resume_total_bytes = parts.settings.resume_total_bytes;
    let url = format!("http://{}", parts.settings.upstream_addr);
    let clock = parts.clock;
    let started = clock.now();
    let incarnation = parts.incarnation.unwrap_or(Incarnation(started.0));
    Ok(Arc::new(Shared {
        queue: Queue::new(parts.gate, Arc::clone(&clock)),
        feed: Feed::spawn(Arc::clone(&clock), metrics.clone()).map_err(StartError::Thread)?,
        engine: Engine::new(&url),
        plain: UpstreamClient::unpooled(&url),
        writer: Writer::spawn(
            Arc::clone(&parts.table),
            Arc::clone(&clock),
            parts.settings.upstream.clone(),
        ),
        settings: parts.settings,
        config: parts.config,
        peer: parts.peer,
        table: parts.table,
        objects: parts.objects,
        clock,
        incarnation,
        exchange: Mutex::new(Exchange::new(started)),
        tasks: TaskTracker::new(),
        killed: CancellationToken::new(),
        upstream: Mutex::new(UpstreamView::default()),
        calls: Mutex::new(HashMap::new()),
        metrics,
        memory: Arc::new(Memory::new(resume_total_bytes)),
        explained: Mutex::new(VecDeque::new()),
        recent: Mutex::default(),
        leaving: AtomicBool::new(false),
        next_ticket: AtomicU64::new(1),
        next_report: AtomicU64::new(0),
    }))
}

fn spawn_until_killed(
    shared: &Shared,
    task: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    let killed = shared.killed.clone();
    tokio::spawn(async move {
        killed.run_until_cancelled_owned(task).await;
    })
}

async fn poll_queue(shared: Arc<Shared>) {
    let mut polls = 0u32;
    loop {
        tokio::time::sleep(POLL_QUEUE_EVERY).await;
        if shared.queue.load().0.queued > 0 {
            shared.queue.poll();
        }
        polls = polls.wrapping_add(1);
        if polls.is_multiple_of(SWEEP_EVERY) {
            server::sweep(&shared);
        }
    }
}

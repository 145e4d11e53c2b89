//! Runs the engine in real time.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dw_api::engine::LoadReport;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::engine::audit::Audit;
use crate::engine::block_registry::BlockRegistry;
use crate::engine::core::EngineCore;
use crate::engine::first_token_log::FirstTokenLog;
use crate::engine::settings::EngineFaults;
use crate::engine::settings::EngineSettings;
use crate::engine::weight_load::WeightLoadTracker;
use crate::server::serve;
use crate::server::ServerHandle;

/// Interval of cache eviction while the engine is idle, on the engine's clock.
const IDLE_EVICTION_INTERVAL_MS: f64 = 100.0;

/// Longest delay that is caught up by running steps without a pause; after a longer one, the missed
/// steps are skipped.
const MAX_STEP_LAG: Duration = Duration::from_millis(100);

/// A simulated model engine: it computes nothing, but takes as long as a real engine would.
#[derive(Debug)]
pub struct Engine {
    core: Mutex<EngineCore>,
    disconnect: Mutex<CancellationToken>,
    load_samples: Mutex<VecDeque<LoadReport>>,
    pub(crate) wake: Notify,
    pub(crate) weight_loads: Arc<WeightLoadTracker>,
    pub(crate) first_tokens: Arc<FirstTokenLog>,
    started_at: Instant,
    speedup: f64,
}

impl Engine {
    /// Creates an idle engine for a deployment with a single engine.
    pub fn new(settings: EngineSettings, weight_loads: Arc<WeightLoadTracker>) -> Self {
        Self::with_shared_state(settings, weight_loads, Arc::default())
    }

    /// Creates an idle engine; the engines of a deployment share `weight_loads` and `registry`.
    pub fn with_shared_state(
        settings: EngineSettings,
        weight_loads: Arc<WeightLoadTracker>,
        registry: Arc<BlockRegistry>,
    ) -> Self {
        let speedup = settings.speedup;
        let core = EngineCore::new(settings, registry);
        Engine {
            speedup,
            load_samples: Mutex::new(VecDeque::from([core.current_load(0.0)])),
            core: Mutex::new(core),
            disconnect: Mutex::default(),
            wake: Notify::new(),
            weight_loads,
            first_tokens: Arc::default(),
            started_at: Instant::now(),
        }
    }

    /// Returns the audit of cache use so far.
    pub fn audit(&self) -> Audit {
        self.core().audit.clone()
    }

    /// Returns the request ids of all accepted generations, including those before a crash.
    pub fn accepted_requests(&self) -> Vec<String> {
        self.core().accepted_requests.clone()
    }

    /// Returns when the first token of a recent generation was passed to its connection.
    pub fn first_token_sent_at(&self, request_id: &str) -> Option<std::time::Instant> {
        self.first_tokens.sent_at(request_id)
    }

    /// Returns the current incarnation, which grows with each crash.
    pub fn incarnation(&self) -> u64 {
        self.core().incarnation
    }

    /// Replaces all fault switches and executes the one-time ones.
    pub fn set_faults(&self, mut faults: EngineFaults) {
        let now_ms = self.now_ms();
        let disconnect = faults.cut || faults.crash;
        {
            let mut core = self.core();
            if std::mem::take(&mut faults.evict_all) {
                core.evict_all(now_ms);
            }
            if std::mem::take(&mut faults.crash) {
                core.crash(now_ms);
                *self.load_samples() = VecDeque::from([core.current_load(now_ms)]);
            }
            faults.cut = false;
            core.faults = faults;
        }
        if disconnect {
            self.close_connections();
        }
        self.wake.notify_one();
    }

    /// Closes the connections with unfinished responses.
    fn close_connections(&self) {
        let mut current = self
            .disconnect
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *current).cancel();
    }

    /// Returns the token that is cancelled when the connections are closed by a fault.
    pub(crate) fn disconnect_token(&self) -> CancellationToken {
        self.disconnect
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, EngineCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load_samples(&self) -> MutexGuard<'_, VecDeque<LoadReport>> {
        self.load_samples
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0 * self.speedup
    }

    /// Records a load sample after a change.
    pub(crate) fn record_load_sample(&self) {
        let now_ms = self.now_ms();
        let (sample, cutoff_ms) = {
            let core = self.core();
            (core.current_load(now_ms), core.load_cutoff_ms(now_ms))
        };
        let mut load_samples = self.load_samples();
        load_samples.push_back(sample);
        drop_superseded(&mut load_samples, cutoff_ms);
    }

    /// Returns the newest load sample that is at least as old as the configured lag.
    pub(crate) fn load_report(&self) -> LoadReport {
        let now_ms = self.now_ms();
        let cutoff_ms = self.core().load_cutoff_ms(now_ms);
        let mut load_samples = self.load_samples();
        drop_superseded(&mut load_samples, cutoff_ms);
        load_samples
            .front()
            .cloned()
            .unwrap_or_else(|| self.core().current_load(now_ms))
    }

    async fn run(self: Arc<Self>) {
        loop {
            if self.core().has_work() {
                self.run_batch().await;
            } else {
                let idle = self.core().settings.wall_time(IDLE_EVICTION_INTERVAL_MS);
                tokio::select! {
                    () = self.wake.notified() => {}
                    () = sleep(idle) => self.core().purge_expired(self.now_ms()),
                }
            }
        }
    }

    async fn run_batch(&self) {
        let mut next = Instant::now();
        while self.core().has_work() {
            let step = {
                let core = self.core();
                core.settings
                    .wall_time(core.settings.decode_ms_per_token * core.faults.slow_factor)
            };
            next += step;
            if next + MAX_STEP_LAG < Instant::now() {
                next = Instant::now();
            }
            sleep_until(next).await;
            let crashed = self.core().step(self.now_ms());
            if crashed {
                self.close_connections();
            }
            self.record_load_sample();
        }
    }
}

/// Removes the samples that are superseded by a newer one taken at or before `cutoff_ms`.
fn drop_superseded(load_samples: &mut VecDeque<LoadReport>, cutoff_ms: u64) {
    while load_samples
        .get(1)
        .is_some_and(|s| s.sampled_ms <= cutoff_ms)
    {
        load_samples.pop_front();
    }
}

/// Starts the engine on `addr`.
pub async fn start_engine(addr: SocketAddr, engine: Arc<Engine>) -> io::Result<ServerHandle> {
    let server = serve(addr, Arc::new(Arc::clone(&engine))).await?;
    server.spawn_background(engine.run());
    Ok(server)
}

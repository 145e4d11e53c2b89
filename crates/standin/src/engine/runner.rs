//! Runs the engine's batch in real time.

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
use crate::engine::core::Core;
use crate::engine::holders::Holders;
use crate::engine::load_gate::LoadGate;
use crate::engine::send_log::SendLog;
use crate::engine::settings::EngineFaults;
use crate::engine::settings::EngineSettings;
use crate::server::serve;
use crate::server::Running;

/// Time between evictions by age while the engine is idle.
const IDLE_STEP_MS: f64 = 100.0;

/// Longest delay of the process that is made up for; the steps of a longer one are given up.
const MAX_LATE: Duration = Duration::from_millis(100);

/// A model engine that computes nothing and takes the time that an engine would take.
#[derive(Debug)]
pub struct Engine {
    core: Mutex<Core>,
    cut: Mutex<CancellationToken>,
    samples: Mutex<VecDeque<LoadReport>>,
    pub(crate) wake: Notify,
    pub(crate) gate: Arc<LoadGate>,
    pub(crate) sent: Arc<SendLog>,
    origin: Instant,
    speedup: f64,
}

impl Engine {
    /// Creates an idle engine that is the only one of its deployment.
    pub fn new(settings: EngineSettings, gate: Arc<LoadGate>) -> Self {
        Self::in_fleet(settings, gate, Arc::default())
    }

    /// Creates an idle engine; the engines of a deployment share `gate` and `holders`.
    pub fn in_fleet(settings: EngineSettings, gate: Arc<LoadGate>, holders: Arc<Holders>) -> Self {
        let speedup = settings.speedup;
        let core = Core::new(settings, holders);
        Engine {
            speedup,
            samples: Mutex::new(VecDeque::from([core.load(0.0)])),
            core: Mutex::new(core),
            cut: Mutex::default(),
            wake: Notify::new(),
            gate,
            sent: Arc::default(),
            origin: Instant::now(),
        }
    }

    /// Returns the uses of cached blocks so far.
    pub fn audit(&self) -> Audit {
        self.core().audit.clone()
    }

    /// Returns the request ids of all generations accepted so far; they outlast a crash.
    pub fn accepted(&self) -> Vec<String> {
        self.core().accepted.clone()
    }

    /// Returns when the first token of a recent generation was handed to its connection.
    pub fn first_token_sent(&self, request_id: &str) -> Option<std::time::Instant> {
        self.sent.first_token(request_id)
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> u64 {
        self.core().incarnation
    }

    /// Replaces all fault switches and carries out those that act once.
    pub fn set_faults(&self, mut faults: EngineFaults) {
        let now_ms = self.now_ms();
        let cut = faults.cut || faults.crash;
        {
            let mut core = self.core();
            if std::mem::take(&mut faults.evict_all) {
                core.evict_all(now_ms);
            }
            if std::mem::take(&mut faults.crash) {
                core.crash(now_ms);
                *self.samples() = VecDeque::from([core.load(now_ms)]);
            }
            faults.cut = false;
            core.faults = faults;
        }
        if cut {
            let mut current = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *current).cancel();
        }
        self.wake.notify_one();
    }

    /// Returns the token that is cancelled when connections are cut.
    pub(crate) fn cut(&self) -> CancellationToken {
        self.cut
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn samples(&self) -> MutexGuard<'_, VecDeque<LoadReport>> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now_ms(&self) -> f64 {
        self.origin.elapsed().as_secs_f64() * 1000.0 * self.speedup
    }

    /// Records the load after a change.
    pub(crate) fn sample(&self) {
        let now_ms = self.now_ms();
        let (sample, visible_ms) = {
            let core = self.core();
            (core.load(now_ms), core.load_visible_ms(now_ms))
        };
        let mut samples = self.samples();
        samples.push_back(sample);
        drop_superseded(&mut samples, visible_ms);
    }

    /// Returns the newest load report that is at least as old as the lag.
    pub(crate) fn load_report(&self) -> LoadReport {
        let now_ms = self.now_ms();
        let visible_ms = self.core().load_visible_ms(now_ms);
        let mut samples = self.samples();
        drop_superseded(&mut samples, visible_ms);
        samples
            .front()
            .cloned()
            .unwrap_or_else(|| self.core().load(now_ms))
    }

    async fn run(self: Arc<Self>) {
        loop {
            if self.core().has_work() {
                self.run_batch().await;
            } else {
                let idle = self.core().settings.real(IDLE_STEP_MS);
                tokio::select! {
                    () = self.wake.notified() => {}
                    () = sleep(idle) => self.core().housekeep(self.now_ms()),
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
                    .real(core.settings.decode_ms_per_token * core.faults.slow_factor)
            };
            next += step;
            if next + MAX_LATE < Instant::now() {
                next = Instant::now();
            }
            sleep_until(next).await;
            self.core().step(self.now_ms());
            self.sample();
        }
    }
}

/// Removes the samples that a newer visible one has replaced.
fn drop_superseded(samples: &mut VecDeque<LoadReport>, visible_ms: u64) {
    while samples.get(1).is_some_and(|s| s.sampled_ms <= visible_ms) {
        samples.pop_front();
    }
}

/// Starts the engine on `addr`.
pub async fn start_engine(addr: SocketAddr, engine: Arc<Engine>) -> io::Result<Running> {
    let running = serve(addr, Arc::new(Arc::clone(&engine))).await?;
    running.background(engine.run());
    Ok(running)
}

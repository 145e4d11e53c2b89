//! Publication times of weights, which the platform's table keeps across restarts of this process.

use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_port::DeclarationTimes;
use dw_port::DeclaredWeights;
use tokio::sync::mpsc;

use crate::gossip::request_announcement;
use crate::shared::Shared;

/// Timeout for one call to the table.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Pause before a call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Maximum number of calls for one task.
const MAX_ATTEMPTS: u32 = 5;

enum Task {
    /// Records that weights were published at a time.
    Record(ModelId, WeightsVersion, TimeMs),
    Restore,
}

/// Queue of the task that records and reads publication times.
pub(crate) struct DeclarationTimeQueue(mpsc::UnboundedSender<Task>);

impl DeclarationTimeQueue {
    /// Starts the task.
    pub(crate) fn start(shared: Rc<Shared>, times: Box<dyn DeclarationTimes>) -> Self {
        let (sender, tasks) = mpsc::unbounded_channel();
        tokio::task::spawn_local(run_tasks(shared, times, tasks));
        DeclarationTimeQueue(sender)
    }

    /// Records that weights were published now.
    pub(crate) fn record(&self, declared: &DeclaredWeights, now: TimeMs) {
        self.record_at(&declared.model, declared.weights, now);
    }

    /// Records when weights were published.
    pub(crate) fn record_at(&self, model: &ModelId, weights: WeightsVersion, published: TimeMs) {
        // The task ends only with the process.
        let _ = self.0.send(Task::Record(model.clone(), weights, published));
    }

    /// Reads the recorded publication times.
    pub(crate) fn restore(&self) {
        let _ = self.0.send(Task::Restore);
    }
}

async fn run_tasks(
    shared: Rc<Shared>,
    mut times: Box<dyn DeclarationTimes>,
    mut tasks: mpsc::UnboundedReceiver<Task>,
) {
    while let Some(task) = tasks.recv().await {
        for _ in 0..MAX_ATTEMPTS {
            let result = match &task {
                Task::Record(model, weights, published) => {
                    let age_ms = shared.now().since(*published);
                    let recorded = times.record(model, *weights, age_ms, ANSWER_TIMEOUT_MS);
                    recorded.await
                }
                Task::Restore => restore(&shared, times.as_mut()).await,
            };
            match result {
                Ok(()) => break,
                Err(e) => {
                    log::warn!(error:% = e; "cannot read or record publication times of weights")
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn restore(
    shared: &Shared,
    times: &mut dyn DeclarationTimes,
) -> Result<(), dw_port::FeedError> {
    let stored_times = times.read(ANSWER_TIMEOUT_MS).await?;
    let now = shared.now();
    for time in stored_times {
        log::info!(
            model:% = time.model, weights:% = time.weights, age_ms = time.age_ms.0;
            "read publication time of weights"
        );
        let mut weights = shared.weights.borrow_mut();
        weights
            .declarations
            .restore(&time.model, time.weights, now - time.age_ms);
    }
    request_announcement(shared);
    Ok(())
}

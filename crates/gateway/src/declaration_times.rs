//! Times of namings, which outlast this process in the platform's table.

use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::WeightsVersion;
use dw_port::DeclarationTimes;
use dw_port::DeclaredWeights;
use tokio::sync::mpsc;

use crate::gossip::request_announcement;
use crate::shared::Shared;

/// Longest wait for one answer of the table.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Pause before a call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// Calls for one record or one read.
const MAX_ATTEMPTS: u32 = 5;

enum Task {
    Record(ModelId, WeightsVersion),
    Restore,
}

/// Hands namings to the task that records and reads their times.
pub(crate) struct DeclarationTimeQueue(mpsc::UnboundedSender<Task>);

impl DeclarationTimeQueue {
    /// Starts the task.
    pub(crate) fn start(shared: Rc<Shared>, times: Box<dyn DeclarationTimes>) -> Self {
        let (sender, tasks) = mpsc::unbounded_channel();
        tokio::task::spawn_local(run_tasks(shared, times, tasks));
        DeclarationTimeQueue(sender)
    }

    /// Records that weights were named just now.
    pub(crate) fn record(&self, declared: &DeclaredWeights) {
        // The task ends only with the process.
        let _ = self
            .0
            .send(Task::Record(declared.model.clone(), declared.weights));
    }

    /// Reads when weights were named.
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
                Task::Record(model, weights) => {
                    times.record(model, *weights, ANSWER_TIMEOUT_MS).await
                }
                Task::Restore => restore(&shared, times.as_mut()).await,
            };
            match result {
                Ok(()) => break,
                Err(e) => log::warn!(error:% = e; "times of namings are not available"),
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
            "time of a naming is read"
        );
        let mut weights = shared.weights.borrow_mut();
        weights
            .declarations
            .restore(&time.model, time.weights, now - time.age_ms);
    }
    request_announcement(shared);
    Ok(())
}

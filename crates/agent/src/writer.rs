//! Writes outcome records in batches.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use dw_api::table::Check;
use dw_api::table::TxnRequest;
use dw_api::table::Write;
use dw_base::Clock;
use dw_outcome::Batcher;
use dw_outcome::Event;
use dw_store::StoreError;
use dw_store::Table;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Writes that may wait for the writer; more are refused as unavailable.
const MAX_WAITING: usize = 1_024;

struct Job {
    key: String,
    value: serde_json::Value,
    expected: u64,
    reply: oneshot::Sender<Event>,
}

/// Handle of the writer task.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl Writer {
    /// Starts the task; it ends when all handles are dropped.
    pub(crate) fn spawn(table: Arc<dyn Table>, clock: Arc<dyn Clock>) -> Self {
        let (jobs, receiver) = mpsc::channel(MAX_WAITING);
        tokio::spawn(run(receiver, table, clock));
        Writer { jobs }
    }

    /// Writes a record if the key has the expected version.
    pub(crate) async fn write(
        &self,
        key: String,
        value: serde_json::Value,
        expected: u64,
    ) -> Event {
        let (reply, answer) = oneshot::channel();
        let job = Job {
            key,
            value,
            expected,
            reply,
        };
        if self.jobs.try_send(job).is_err() {
            return Event::Unavailable;
        }
        answer.await.unwrap_or(Event::Unknown)
    }
}

async fn run(mut jobs: mpsc::Receiver<Job>, table: Arc<dyn Table>, clock: Arc<dyn Clock>) {
    let mut batcher = Batcher::new();
    loop {
        let wait = batcher.due().map(|due| due.since(clock.now()));
        let job = match wait {
            None => jobs.recv().await,
            Some(wait) => match tokio::time::timeout(Duration::from(wait), jobs.recv()).await {
                Ok(job) => job,
                Err(_) => {
                    spawn_commit(&table, batcher.take());
                    continue;
                }
            },
        };
        match job {
            Some(job) => {
                if let Some(batch) = batcher.push(job, clock.now()) {
                    spawn_commit(&table, batch);
                }
            }
            None => {
                spawn_commit(&table, batcher.take());
                return;
            }
        }
    }
}

fn spawn_commit(table: &Arc<dyn Table>, batch: Vec<Job>) {
    if !batch.is_empty() {
        tokio::spawn(commit(Arc::clone(table), batch));
    }
}

/// Commits the batch, leaving out the records whose condition does not hold.
async fn commit(table: Arc<dyn Table>, mut batch: Vec<Job>) {
    while !batch.is_empty() {
        let (now, later) = distinct(batch);
        batch = later;
        let request = TxnRequest {
            checks: now.iter().map(check).collect(),
            writes: now.iter().map(write).collect(),
        };
        match table.transact(&request).await {
            Ok(answer) if answer.committed => {
                let version = answer.version;
                reply_all(now, &Event::Committed { version });
            }
            Ok(answer) => {
                let lost: HashSet<String> = answer.conflicts.into_iter().map(|c| c.key).collect();
                let (lost, rest): (Vec<_>, Vec<_>) =
                    now.into_iter().partition(|job| lost.contains(&job.key));
                if lost.is_empty() {
                    reply_all(rest, &Event::Unavailable);
                } else {
                    reply_all(lost, &Event::Conflict);
                    batch.extend(rest);
                }
            }
            Err(StoreError::UnknownOutcome { .. }) => reply_all(now, &Event::Unknown),
            Err(error) => {
                log::warn!(
                    "event=outcome_write_failed records={} error={error:?}",
                    now.len()
                );
                reply_all(now, &Event::Unavailable);
            }
        }
    }
}

/// Splits off jobs whose key occurs twice, because one transaction writes a key once.
fn distinct(batch: Vec<Job>) -> (Vec<Job>, Vec<Job>) {
    let mut keys = HashSet::new();
    batch
        .into_iter()
        .partition(|job| keys.insert(job.key.clone()))
}

fn check(job: &Job) -> Check {
    Check {
        key: job.key.clone(),
        version: job.expected,
    }
}

fn write(job: &Job) -> Write {
    Write {
        key: job.key.clone(),
        value: Some(job.value.clone()),
    }
}

fn reply_all(jobs: Vec<Job>, event: &Event) {
    for job in jobs {
        let _ = job.reply.send(event.clone());
    }
}

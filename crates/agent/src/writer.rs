//! Writes outcome records in batches.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dw_api::table::Check;
use dw_api::table::ReadRequest;
use dw_api::table::TxnRequest;
use dw_api::table::Write;
use dw_base::Clock;
use dw_base::UpstreamId;
use dw_outcome::deletions;
use dw_outcome::index_key;
use dw_outcome::index_prefix;
use dw_outcome::BatchIndex;
use dw_outcome::Batcher;
use dw_outcome::Event;
use dw_outcome::Expiry;
use dw_outcome::IndexRow;
use dw_outcome::MAX_ROWS;
use dw_store::StoreError;
use dw_store::Table;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::shared::lock;

/// Writes that may wait for the writer; more are refused as unavailable.
const MAX_WAITING: usize = 1_024;

struct Job {
    key: String,
    value: serde_json::Value,
    expected: u64,
    reply: oneshot::Sender<Event>,
}

/// Table and what is needed to write to it.
struct Store {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    upstream: UpstreamId,
    expiry: Mutex<Expiry>,
}

/// Writes outcome records of one upstream in batches, and deletes them after their retention time.
#[derive(Clone, Debug)]
pub struct Writer {
    jobs: mpsc::Sender<Job>,
}

impl Writer {
    /// Starts the task; it ends when all handles are dropped.
    pub fn spawn(table: Arc<dyn Table>, clock: Arc<dyn Clock>, upstream: UpstreamId) -> Self {
        let (jobs, receiver) = mpsc::channel(MAX_WAITING);
        let store = Store {
            table,
            clock,
            upstream,
            expiry: Mutex::default(),
        };
        tokio::spawn(run(receiver, Arc::new(store)));
        Writer { jobs }
    }

    /// Writes a record if the key has the expected version.
    pub async fn write(&self, key: String, value: serde_json::Value, expected: u64) -> Event {
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

async fn run(mut jobs: mpsc::Receiver<Job>, store: Arc<Store>) {
    let mut batcher = Batcher::new();
    let clock = Arc::clone(&store.clock);
    loop {
        let wait = batcher.due().map(|due| due.since(clock.now()));
        let job = match wait {
            None => jobs.recv().await,
            Some(wait) => match tokio::time::timeout(Duration::from(wait), jobs.recv()).await {
                Ok(job) => job,
                Err(_) => {
                    spawn_commit(&store, batcher.take());
                    continue;
                }
            },
        };
        match job {
            Some(job) => {
                if let Some(batch) = batcher.push(job, clock.now()) {
                    spawn_commit(&store, batch);
                }
            }
            None => {
                spawn_commit(&store, batcher.take());
                return;
            }
        }
    }
}

fn spawn_commit(store: &Arc<Store>, batch: Vec<Job>) {
    if batch.is_empty() {
        return;
    }
    let store = Arc::clone(store);
    tokio::spawn(async move {
        commit(&store, batch).await;
        delete_expired(&store).await;
    });
}

/// Commits the batch, leaving out the records whose condition does not hold.
async fn commit(store: &Store, mut batch: Vec<Job>) {
    while !batch.is_empty() {
        let (now, later) = distinct(batch);
        batch = later;
        let request = TxnRequest {
            checks: now.iter().map(check).collect(),
            writes: now
                .iter()
                .map(write)
                .chain(index_row(store, &now))
                .collect(),
        };
        match store.table.transact(&request).await {
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

/// Returns the row by which the batch is found when its retention time has passed.
fn index_row(store: &Store, jobs: &[Job]) -> Option<Write> {
    let at = store.clock.now();
    let index = BatchIndex {
        at,
        keys: jobs.iter().map(|job| job.key.clone()).collect(),
    };
    Some(Write {
        key: index_key(&store.upstream, at, rand::random()),
        value: Some(serde_json::to_value(&index).ok()?),
    })
}

/// Deletes the oldest records if they have expired; what fails is found again later.
async fn delete_expired(store: &Store) {
    if !lock(&store.expiry).due(store.clock.now()) {
        return;
    }
    let oldest = ReadRequest {
        after: None,
        keys: Vec::new(),
        limit: Some(MAX_ROWS as u64),
        prefix: Some(index_prefix(&store.upstream)),
    };
    let Ok(oldest) = store.table.read(&oldest).await else {
        return;
    };
    let oldest = oldest.items.into_iter().filter_map(|item| {
        Some(IndexRow {
            key: item.key,
            version: item.version,
            index: serde_json::from_value(item.value).ok()?,
        })
    });
    let expired = lock(&store.expiry).select_expired(oldest.collect(), store.clock.now());
    if expired.is_empty() {
        return;
    }
    let records = ReadRequest {
        after: None,
        keys: expired
            .iter()
            .flat_map(|row| row.index.keys.clone())
            .collect(),
        limit: None,
        prefix: None,
    };
    let Ok(records) = store.table.read(&records).await else {
        return;
    };
    let version = |key: &str| {
        let item = records.items.iter().find(|item| item.key == key);
        item.map(|item| item.version)
    };
    let deleted = deletions(&expired, version);
    let request = TxnRequest {
        checks: deleted
            .iter()
            .map(|(key, version)| Check {
                key: key.clone(),
                version: *version,
            })
            .collect(),
        writes: deleted
            .into_iter()
            .map(|(key, _)| Write { key, value: None })
            .collect(),
    };
    if let Err(error) = store.table.transact(&request).await {
        log::info!("event=outcome_delete_failed error={:?}", error.to_string());
    }
}

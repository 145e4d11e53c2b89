//! Keeps the cache index current: a polling task and a thread that applies the events.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crossbeam::channel::bounded;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use dw_api::engine::CacheEventKind;
use dw_api::engine::CacheEvents;
use dw_api::engine::CacheSnapshot;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::Clock;
use dw_base::Incarnation;
use dw_base::WeightsVersion;
use dw_cache::Action;
use dw_cache::Batch;
use dw_cache::Event;
use dw_cache::Index;
use dw_cache::Kind;
use dw_cache::Prediction;
use dw_cache::Snapshot;
use tokio::sync::oneshot;

use crate::engine::Engine;
use crate::metrics::AgentMetrics;

/// Messages that may wait for the thread. Reports beyond it are dropped; they are hints.
const MAX_WAITING: usize = 1_024;

/// Time for which the engine holds a poll that finds no event.
const POLL_WAIT_MS: u64 = 500;

/// Pause after a failed poll.
const RETRY_AFTER: Duration = Duration::from_millis(200);

enum Message {
    Batch(Batch, oneshot::Sender<Progress>),
    Snapshot(Snapshot, oneshot::Sender<Progress>),
    Observe(Incarnation, WeightsVersion),
    Report(Chain, Prediction, usize),
}

/// Where the index stands after a message.
#[derive(Clone, Copy, Debug)]
struct Progress {
    applied_seq: u64,
    resync: bool,
}

/// The cache index of the agent's engine.
#[derive(Clone, Debug)]
pub(crate) struct Feed {
    index: Arc<Mutex<Index>>,
    messages: Sender<Message>,
}

impl Feed {
    /// Starts the thread that applies messages; it ends when all handles are dropped.
    pub(crate) fn spawn(clock: Arc<dyn Clock>, metrics: AgentMetrics) -> std::io::Result<Self> {
        let index = Arc::new(Mutex::new(Index::new()));
        let (messages, receiver) = bounded(MAX_WAITING);
        let shared = Arc::clone(&index);
        thread::Builder::new()
            .name("cache-feed".to_owned())
            .spawn(move || apply_all(&receiver, &shared, clock.as_ref(), &metrics))?;
        Ok(Feed { index, messages })
    }

    /// Returns the warm depth of a chain with the moment it holds for.
    pub(crate) fn predict(&self, chain: &Chain) -> Prediction {
        lock(&self.index).predict(chain)
    }

    /// Passes on the incarnation and weights seen in an answer.
    pub(crate) fn observe(&self, incarnation: Incarnation, weights: WeightsVersion) {
        let _ = self
            .messages
            .try_send(Message::Observe(incarnation, weights));
    }

    /// Passes on how many pieces the engine found in its cache.
    pub(crate) fn report(&self, chain: Chain, predicted: Prediction, found: usize) {
        let _ = self
            .messages
            .try_send(Message::Report(chain, predicted, found));
    }

    /// Returns the number of indexed blocks and whether the index is synchronised.
    pub(crate) fn state(&self) -> (usize, bool) {
        let index = lock(&self.index);
        (index.len(), index.is_synchronised())
    }

    /// Polls the engine for ever.
    pub(crate) async fn poll(self, engine: Engine) {
        let mut progress = Progress {
            applied_seq: 0,
            resync: true,
        };
        loop {
            match self.poll_once(&engine, progress).await {
                Some(next) => progress = next,
                None => tokio::time::sleep(RETRY_AFTER).await,
            }
        }
    }

    async fn poll_once(&self, engine: &Engine, progress: Progress) -> Option<Progress> {
        let (reply, answer) = oneshot::channel();
        let message = if progress.resync {
            let snapshot = engine.snapshot().await.ok()?;
            Message::Snapshot(snapshot_of(&snapshot), reply)
        } else {
            let events = engine
                .events(progress.applied_seq, POLL_WAIT_MS)
                .await
                .ok()?;
            Message::Batch(batch_of(&events), reply)
        };
        self.messages.try_send(message).ok()?;
        answer.await.ok()
    }
}

fn apply_all(
    messages: &Receiver<Message>,
    index: &Mutex<Index>,
    clock: &dyn Clock,
    metrics: &AgentMetrics,
) {
    for message in messages {
        let mut index = lock(index);
        match message {
            Message::Batch(batch, reply) => {
                let (life, synchronised) = (index.generation(), index.is_synchronised());
                let action = index.apply_batch(&batch, clock.now());
                let is_gap = synchronised && action.is_some() && life == index.generation();
                metrics.cache_gaps.inc_by(u64::from(is_gap));
                metrics.cache_events.inc_by(batch.events.len() as u64);
                let _ = reply.send(progress(&index, action));
            }
            Message::Snapshot(snapshot, reply) => {
                let action = index.apply_snapshot(&snapshot);
                metrics.cache_resyncs.inc();
                let _ = reply.send(progress(&index, action));
            }
            // The next poll finds the index unsynchronised and fetches a snapshot.
            Message::Observe(incarnation, weights) => {
                index.observe(incarnation, weights);
            }
            Message::Report(chain, predicted, found) => {
                index.record_reported(&chain, predicted, found)
            }
        }
    }
}

fn progress(index: &Index, action: Option<Action>) -> Progress {
    Progress {
        applied_seq: index.applied_seq(),
        resync: action.is_some(),
    }
}

fn lock(index: &Mutex<Index>) -> std::sync::MutexGuard<'_, Index> {
    index
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Skips hashes that are not of this release's form; they can never match a chain.
fn hashes(texts: &[String]) -> Vec<BlockHash> {
    texts.iter().filter_map(|text| text.parse().ok()).collect()
}

fn batch_of(events: &CacheEvents) -> Batch {
    Batch {
        incarnation: Incarnation(events.incarnation),
        weights: WeightsVersion(events.weights_version),
        last_seq: events.last_seq,
        events: events
            .events
            .iter()
            .map(|event| Event {
                seq: event.seq,
                kind: match event.kind {
                    CacheEventKind::Stored => Kind::Stored,
                    CacheEventKind::Evicted => Kind::Evicted,
                    CacheEventKind::Cleared => Kind::Cleared,
                },
                hashes: hashes(&event.hashes),
            })
            .collect(),
    }
}

fn snapshot_of(snapshot: &CacheSnapshot) -> Snapshot {
    Snapshot {
        incarnation: Incarnation(snapshot.incarnation),
        weights: WeightsVersion(snapshot.weights_version),
        seq: snapshot.seq,
        capacity_blocks: usize::try_from(snapshot.capacity_blocks).unwrap_or(usize::MAX),
        hashes: hashes(&snapshot.hashes),
    }
}

//! Follows the contents of the KV stores for the routers of the data centre.
//!
//! A store has hundreds of changes per second, and every router needs them. A relay reads them once
//! for its data centre; a router that misses some asks the store itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_cache::KvPage;
use dw_port::KvError;
use dw_port::KvIndex;
use dw_wire::send_to_all;
use dw_wire::Datagram;
use dw_wire::KvSpan;
use dw_wire::KvUpdate;
use tokio::task::spawn_local;

use crate::sidecar::Shared;

/// Maximum wait of a call; shorter waits would lead to as many calls as probes do.
const POLL_WAIT_MS: DurationMs = DurationMs(250);

/// Time beyond the wait after which a store counts as unreachable.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(500);

/// Pause between calls, so that one call returns several changes.
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Pause between checks for new stores, and between checks for subscribed routers.
const IDLE_PAUSE: Duration = Duration::from_millis(1_000);

/// Maximum number of changes in one datagram.
const MAX_CHANGES: usize = 900;

/// Follows all configured stores while this sidecar is a relay, until the task is aborted.
pub(crate) async fn follow_stores(
    shared: Rc<Shared>,
    connect: Box<dyn Fn(SocketAddr) -> Box<dyn KvIndex>>,
) {
    let mut followed: Vec<SocketAddr> = Vec::new();
    loop {
        let stores = shared.stores.borrow().clone();
        for store in stores {
            if !followed.contains(&store) {
                followed.push(store);
                spawn_local(follow_store(shared.clone(), store, connect(store)));
            }
        }
        tokio::time::sleep(IDLE_PAUSE).await;
    }
}

/// Returns whether routers have subscribed here; those of a data centre subscribe to one relay.
fn has_subscribers(shared: &Shared) -> bool {
    shared.is_relay() && !shared.relay.borrow().aggregate.subscribers().is_empty()
}

async fn follow_store(shared: Rc<Shared>, store: SocketAddr, mut index: Box<dyn KvIndex>) {
    let mut progress = StoreProgress::default();
    loop {
        if !has_subscribers(&shared) {
            tokio::time::sleep(IDLE_PAUSE).await;
            continue;
        }
        let since = progress.next;
        match index
            .changes(since, POLL_WAIT_MS, POLL_WAIT_MS + ANSWER_TIMEOUT_MS)
            .await
        {
            Ok(page) => {
                if let Some(update) = progress.apply_page(store, page) {
                    send_update(&shared, update).await;
                }
            }
            Err(KvError::Busy) => {}
            Err(KvError::Unreachable(detail)) => {
                log::debug!(store:%, detail = detail.as_str(); "KV store does not answer");
                send_update(&shared, progress.unreachable_update(store)).await;
            }
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
}

async fn send_update(shared: &Shared, update: KvUpdate) {
    let routers = shared.relay.borrow().aggregate.subscribers();
    let bytes = send_to_all(&shared.socket, &routers, &Datagram::Kv(update)).await;
    shared.metrics.record_sent("kv", bytes, routers.len());
}

/// Position up to which a store was read, and the span that was sent last.
#[derive(Default)]
struct StoreProgress {
    epoch: u64,
    next: u64,
    last_span: Option<KvSpan>,
}

impl StoreProgress {
    /// Returns the update for a store that does not answer, which has no spans.
    fn unreachable_update(&self, store: SocketAddr) -> KvUpdate {
        KvUpdate {
            store,
            epoch: self.epoch,
            spans: Vec::new(),
        }
    }

    /// Returns the update for a page, or nothing if the page is too long or does not continue the
    /// last one.
    ///
    /// The update repeats the previous span if it fits, as a datagram may be lost.
    fn apply_page(&mut self, store: SocketAddr, page: KvPage) -> Option<KvUpdate> {
        let is_contiguous = page.epoch == self.epoch && !page.incomplete;
        self.epoch = page.epoch;
        self.next = page.next;
        let before = self.last_span.take();
        if !is_contiguous || page.changes.len() > MAX_CHANGES {
            return None;
        }
        let changes = page.changes.into_iter();
        let span = KvSpan {
            since: page.since,
            next: page.next,
            changes: changes.map(|change| (change.key, change.tokens)).collect(),
        };
        let room = MAX_CHANGES - span.changes.len();
        let before = before.filter(|before| before.changes.len() <= room);
        self.last_span = Some(span.clone());
        Some(KvUpdate {
            store,
            epoch: page.epoch,
            spans: before.into_iter().chain([span]).collect(),
        })
    }
}

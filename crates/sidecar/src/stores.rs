//! Reads what the stores of kept KV cache hold, for the routers of the data centre.
//!
//! Load pattern: a store tells of hundreds of changes a second, and every router needs them. Relays
//! read them once for each data centre. A router that misses some asks the store itself.

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

/// Longest wait of a call; with shorter ones there would be as many calls as with probes.
const WAIT_MS: DurationMs = DurationMs(250);

/// Time beyond the wait after which a store counts as down.
const ANSWER_MS: DurationMs = DurationMs(500);

/// Pause between calls, so that changes come together.
const PAUSE: Duration = Duration::from_millis(500);

/// Pause between looks for stores, and while no router listens.
const LOOK_PAUSE: Duration = Duration::from_millis(1_000);

/// Changes in one datagram.
const MOST_CHANGES: usize = 900;

/// Follows all stores in the configuration while this sidecar is a relay, until the task is aborted.
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
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Returns whether routers listen to this sidecar; those of a data centre listen to one relay.
fn has_listeners(shared: &Shared) -> bool {
    shared.is_relay() && !shared.relay.borrow().aggregate.subscribers().is_empty()
}

async fn follow_store(shared: Rc<Shared>, store: SocketAddr, mut index: Box<dyn KvIndex>) {
    let mut told = Told::default();
    loop {
        if !has_listeners(&shared) {
            tokio::time::sleep(LOOK_PAUSE).await;
            continue;
        }
        let since = told.next;
        match index.changes(since, WAIT_MS, WAIT_MS + ANSWER_MS).await {
            Ok(page) => {
                if let Some(news) = told.take(store, page) {
                    tell(&shared, news).await;
                }
            }
            Err(KvError::Busy) => {}
            Err(KvError::Unreachable(detail)) => {
                log::debug!(store:%, detail = detail.as_str(); "store of KV cache does not answer");
                tell(&shared, told.lost(store)).await;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn tell(shared: &Shared, news: KvUpdate) {
    let routers = shared.relay.borrow().aggregate.subscribers();
    let bytes = send_to_all(&shared.socket, &routers, &Datagram::Kv(news)).await;
    shared.measures.told("kv", bytes, routers.len());
}

/// What was told last of a store.
#[derive(Default)]
struct Told {
    epoch: u64,
    next: u64,
    last: Option<KvSpan>,
}

impl Told {
    /// Returns what to tell of a store that does not answer.
    fn lost(&self, store: SocketAddr) -> KvUpdate {
        KvUpdate {
            store,
            epoch: self.epoch,
            spans: Vec::new(),
        }
    }

    /// Returns what to tell after a page, with the span before it, as a datagram may be lost; nothing
    /// if the page does not follow on what was told or is too long.
    fn take(&mut self, store: SocketAddr, page: KvPage) -> Option<KvUpdate> {
        let follows = page.epoch == self.epoch && !page.incomplete;
        self.epoch = page.epoch;
        self.next = page.next;
        let before = self.last.take();
        if !follows || page.changes.len() > MOST_CHANGES {
            return None;
        }
        let changes = page.changes.into_iter();
        let span = KvSpan {
            since: page.since,
            next: page.next,
            changes: changes.map(|change| (change.key, change.tokens)).collect(),
        };
        let room = MOST_CHANGES - span.changes.len();
        let before = before.filter(|before| before.changes.len() <= room);
        self.last = Some(span.clone());
        Some(KvUpdate {
            store,
            epoch: page.epoch,
            spans: before.into_iter().chain([span]).collect(),
        })
    }
}

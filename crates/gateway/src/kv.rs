//! What the store of kept KV cache holds, from its events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_base::PrefixKey;
use dw_base::PromptPart;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_cache::Inflow;
use dw_platform::KvEvents;
use dw_port::KvError;
use dw_port::KvIndex;
use dw_port::KvPage;

use crate::shared::Shared;

/// Longest wait of one call for events. A store serves a few such calls at once, and all routers
/// follow it.
const WAIT_MS: DurationMs = DurationMs(250);

/// Time beyond the wait after which the store counts as down.
const ANSWER_MS: DurationMs = DurationMs(500);

/// Pause between calls, so that events are fetched together and calls of routers rarely meet.
const PAUSE: Duration = Duration::from_millis(600);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Pause between looks for a first store, which comes with the configuration.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Contents of one store.
#[derive(Default)]
pub(crate) struct KvContents {
    held: HashMap<PrefixKey, Tokens>,
    epoch: u64,
    next: u64,
    is_up: bool,
    inflow: Inflow,
}

fn key(salt: &str, part: u64) -> PrefixKey {
    let part = PromptPart {
        id: part,
        tokens: Tokens(0),
    };
    PrefixKey::root(salt).with(&part)
}

impl KvContents {
    /// Returns whether the store answers.
    pub(crate) fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the tokens of the leading parts that are held under a salt.
    pub(crate) fn leading(&self, salt: &str, parts: &[PromptPart]) -> Tokens {
        let held = |part: &&PromptPart| {
            let tokens = self.held.get(&key(salt, part.id));
            // The store keeps whole blocks, so the last few tokens of a part may be missing.
            tokens.is_some_and(|tokens| tokens.0 * 2 >= part.tokens.0)
        };
        let leading = parts.iter().take_while(held);
        Tokens(leading.map(|part| part.tokens.0).sum())
    }

    /// Returns the share of the store's room that is filled anew before parts are used again.
    pub(crate) fn pressure(&self, capacity: Tokens, now: TimeMs) -> f64 {
        self.inflow.pressure(capacity, now)
    }

    fn lost(&mut self) -> bool {
        std::mem::replace(&mut self.is_up, false)
    }

    fn apply(&mut self, page: KvPage, now: TimeMs) {
        if page.epoch != self.epoch || page.lost {
            self.held.clear();
        }
        self.epoch = page.epoch;
        self.next = page.next;
        self.is_up = true;
        for change in page.changes {
            self.inflow.came(change.tokens, now);
            let key = key(&change.salt, change.part);
            match change.tokens {
                Tokens(0) => drop(self.held.remove(&key)),
                tokens => drop(self.held.insert(key, tokens)),
            }
        }
    }
}

/// Follows the events of all stores in the configuration.
pub(crate) async fn follow_all(shared: Rc<Shared>) {
    let mut followed: Vec<SocketAddr> = Vec::new();
    loop {
        if let Some(routes) = shared.routes() {
            for store in routes.kv_stores() {
                if !followed.contains(&store.addr) {
                    followed.push(store.addr);
                    tokio::task::spawn_local(follow(shared.clone(), store.addr));
                }
            }
        }
        let pause = if followed.is_empty() {
            FIRST_PAUSE
        } else {
            RETRY_PAUSE
        };
        tokio::time::sleep(pause).await;
    }
}

async fn follow(shared: Rc<Shared>, store: SocketAddr) {
    let mut events = KvEvents::new(store);
    loop {
        let since = {
            let mut kv = shared.kv.borrow_mut();
            kv.entry(store).or_default().next
        };
        let result = events.changes(since, WAIT_MS, WAIT_MS + ANSWER_MS).await;
        let now = shared.now();
        let pause = {
            let mut kv = shared.kv.borrow_mut();
            let contents = kv.entry(store).or_default();
            match result {
                Ok(page) => {
                    if !contents.is_up {
                        log::info!(store:%, epoch = page.epoch; "store of kept KV cache answers");
                    }
                    contents.apply(page, now);
                    PAUSE
                }
                // A busy store is up; what it tells later is complete all the same.
                Err(KvError::Busy) => PAUSE,
                Err(e) => {
                    if contents.lost() {
                        log::warn!(store:%, error:% = e; "store of kept KV cache is lost");
                    }
                    RETRY_PAUSE
                }
            }
        };
        tokio::time::sleep(pause).await;
    }
}

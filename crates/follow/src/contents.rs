//! Follows the contents of a KV cache holder: an engine or a store of saved KV cache.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use dw_base::Clock;
use dw_base::DurationMs;
use dw_cache::Contents;
use dw_port::KvError;
use dw_port::KvIndex;

/// Time allowed for a response in addition to the wait for changes.
const RESPONSE_TIMEOUT_MS: DurationMs = DurationMs(500);

/// Pause before the next call after a failed one.
const RETRY_PAUSE_MS: DurationMs = DurationMs(1_000);

/// Settings for polling a holder for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ContentsPollSettings {
    /// Longest wait for changes in one call.
    pub wait_ms: DurationMs,
    /// Pause between calls, so that one call returns several changes.
    pub pause_ms: DurationMs,
}

/// Keeps `contents` up to date until the task is aborted. The holder is not polled while another
/// process relays its changes.
pub async fn follow_contents(
    holder: SocketAddr,
    mut index: Box<dyn KvIndex>,
    contents: Rc<RefCell<Contents>>,
    settings: ContentsPollSettings,
    clock: Arc<dyn Clock>,
) {
    loop {
        if contents.borrow().is_fresh(clock.now()) {
            tokio::time::sleep(settings.pause_ms.into()).await;
            continue;
        }
        let since = contents.borrow().next_position();
        let timeout_ms = settings.wait_ms + RESPONSE_TIMEOUT_MS;
        let result = index.changes(since, settings.wait_ms, timeout_ms).await;
        let pause_ms = match result {
            Ok(page) => {
                if !contents.borrow().is_reachable() {
                    log::info!(holder:%, epoch = page.epoch; "KV cache holder is reachable");
                }
                contents.borrow_mut().apply(page, clock.now());
                settings.pause_ms
            }
            // A busy holder is reachable, and a later call still returns all changes.
            Err(KvError::Busy) => settings.pause_ms,
            Err(e) => {
                if contents.borrow_mut().mark_unreachable() {
                    log::warn!(holder:%, error:% = e; "KV cache holder is unreachable");
                }
                RETRY_PAUSE_MS
            }
        };
        tokio::time::sleep(pause_ms.into()).await;
    }
}

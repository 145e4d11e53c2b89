//! Follows what an engine or a store of kept KV cache holds.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use dw_base::Clock;
use dw_base::DurationMs;
use dw_cache::Contents;
use dw_port::KvError;
use dw_port::KvIndex;

/// Time beyond the wait after which the holder counts as down.
const ANSWER_MS: DurationMs = DurationMs(500);

/// Pause after a failed call.
const RETRY_MS: DurationMs = DurationMs(1_000);

/// How often a holder is asked for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ContentsPollSettings {
    /// Longest wait of one call.
    pub wait_ms: DurationMs,
    /// Pause between calls, so that changes come together.
    pub pause_ms: DurationMs,
}

/// Keeps `contents` up to date until the task is aborted. The holder is not asked while another
/// process tells its changes.
pub async fn follow_contents(
    holder: SocketAddr,
    mut index: Box<dyn KvIndex>,
    contents: Rc<RefCell<Contents>>,
    pace: ContentsPollSettings,
    clock: Arc<dyn Clock>,
) {
    loop {
        if contents.borrow().is_fresh(clock.now()) {
            tokio::time::sleep(pace.pause_ms.into()).await;
            continue;
        }
        let since = contents.borrow().next_position();
        let timeout_ms = pace.wait_ms + ANSWER_MS;
        let result = index.changes(since, pace.wait_ms, timeout_ms).await;
        let pause_ms = match result {
            Ok(page) => {
                if !contents.borrow().is_reachable() {
                    log::info!(holder:%, epoch = page.epoch; "holder of KV cache answers");
                }
                contents.borrow_mut().apply(page, clock.now());
                pace.pause_ms
            }
            // A busy holder is up; what it tells later is complete all the same.
            Err(KvError::Busy) => pace.pause_ms,
            Err(e) => {
                if contents.borrow_mut().mark_unreachable() {
                    log::warn!(holder:%, error:% = e; "holder of KV cache is lost");
                }
                RETRY_MS
            }
        };
        tokio::time::sleep(pause_ms.into()).await;
    }
}

//! Follows the contents of the engine's cache.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_follow::follow_contents;
use dw_follow::ContentsPollSettings;
use dw_port::KvIndex;

use crate::sidecar::Shared;

/// Calls with a wait below 200 ms count as probes.
const POLL_SETTINGS: ContentsPollSettings = ContentsPollSettings {
    wait_ms: DurationMs(250),
    pause_ms: DurationMs(100),
};

/// Follows the contents of the engine's cache until the task is aborted.
pub(crate) async fn follow_cache(shared: Rc<Shared>, index: Box<dyn KvIndex>) {
    let (engine, contents) = {
        let state = shared.state.borrow();
        (state.engine(), state.contents.clone())
    };
    follow_contents(engine, index, contents, POLL_SETTINGS, shared.clock.clone()).await;
}

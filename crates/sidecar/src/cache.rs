//! Follows what the engine has cached.

use std::rc::Rc;

use dw_base::DurationMs;
use dw_follow::follow_contents;
use dw_follow::ContentsPollSettings;
use dw_port::KvIndex;

use crate::sidecar::Shared;

/// Calls that wait shorter than 200 ms count as probes.
const PACE: ContentsPollSettings = ContentsPollSettings {
    wait_ms: DurationMs(250),
    pause_ms: DurationMs(100),
};

/// Follows the cache of the engine until the task is aborted.
pub(crate) async fn follow_cache(shared: Rc<Shared>, index: Box<dyn KvIndex>) {
    let (engine, contents) = {
        let state = shared.state.borrow();
        (state.engine(), state.contents.clone())
    };
    follow_contents(engine, index, contents, PACE, shared.clock.clone()).await;
}

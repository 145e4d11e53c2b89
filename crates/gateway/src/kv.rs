//! Follows the contents of the KV stores.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dw_base::DurationMs;
use dw_follow::follow_contents;
use dw_follow::ContentsPollSettings;
use dw_platform::KvEvents;

use crate::shared::Shared;

/// A store serves only a few concurrent calls for events, and all routers follow it. Short waits
/// and longer pauses make it rare that the calls of several routers coincide.
const POLL_SETTINGS: ContentsPollSettings = ContentsPollSettings {
    wait_ms: DurationMs(250),
    pause_ms: DurationMs(600),
};

/// Interval between checks of the configuration for new stores.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between checks while no store is known, so that the first one is followed soon after
/// the configuration is read.
const FIRST_STORE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Follows all KV stores in the configuration until the task is aborted.
pub(crate) async fn follow_all(shared: Rc<Shared>) {
    let mut followed: Vec<SocketAddr> = Vec::new();
    loop {
        if let Some(routes) = shared.routes() {
            for store in routes.kv_stores() {
                if !followed.contains(&store.addr) {
                    followed.push(store.addr);
                    follow(&shared, store.addr);
                }
            }
        }
        let pause = match followed.is_empty() {
            true => FIRST_STORE_CHECK_INTERVAL,
            false => STORE_CHECK_INTERVAL,
        };
        tokio::time::sleep(pause).await;
    }
}

fn follow(shared: &Rc<Shared>, store: SocketAddr) {
    let contents = shared.kv.borrow_mut().entry(store).or_default().clone();
    let index = Box::new(KvEvents::new(store));
    let clock = shared.clock.clone();
    tokio::task::spawn_local(follow_contents(
        store,
        index,
        contents,
        POLL_SETTINGS,
        clock,
    ));
}

//! Heartbeats of idle pairs, and leaving notices.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dw_wire::Hello;
use futures::StreamExt;

use crate::control::heard;
use crate::shared::Shared;

/// Pause between two rounds of heartbeats.
const ROUND: Duration = Duration::from_millis(500);

/// Heartbeats in one round. An exchange is about 250 bytes, so that 8 a second stay below 2 KB/s
/// of the 6 KB/s that a node may spend on control.
const PER_ROUND: usize = 4;

/// Leaving notices that are sent at the same time.
const NOTICES_AT_ONCE: usize = 64;

/// Exchanges state with one node.
async fn exchange(shared: &Shared, addr: SocketAddr) -> Option<Hello> {
    let hello = shared.hello();
    let answer = shared.pool.call(addr, |client, context| async move {
        client.hello(context, hello).await
    });
    answer.await.ok()
}

/// Sends heartbeats to suspect nodes and to the agents that were silent for longest.
pub(crate) async fn heartbeats(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(ROUND).await;
        let now = shared.clock.now();
        let idle = shared.settings.heartbeat.0;
        let silent = shared.members.silent(idle, PER_ROUND, now);
        let calls = silent.into_iter().map(|(node, addr)| {
            let shared = &shared;
            async move {
                match exchange(shared, addr).await {
                    Some(answer) => heard(shared, &answer),
                    None => shared.members.failed(&node, shared.clock.now()),
                }
            }
        });
        futures::future::join_all(calls).await;
    }
}

/// Tells all nodes that this one is leaving.
pub(crate) async fn leaving(shared: &Shared) {
    let notices = shared
        .members
        .control_addrs()
        .into_iter()
        .map(|addr| exchange(shared, addr));
    let sent = futures::stream::iter(notices)
        .buffer_unordered(NOTICES_AT_ONCE)
        .filter(|answer| std::future::ready(answer.is_some()))
        .count()
        .await;
    log::info!(confirmed = sent; "leaving notice sent");
}

//! Which relays of a data centre a process uses.
//!
//! Load pattern: a relay is killed, frozen, cut off or removed while engines load weights. Every
//! process replaces it by the next one in an order that all share, without asking anyone.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Relays of a data centre that are used at once, so that the loss of one is not noticed.
const RELAYS: usize = 2;

/// Time without a datagram from a relay that is told something, after which the next one is used. An
/// idle relay tells twice in it.
const SILENT_MS: DurationMs = DurationMs(1_200);

/// Time after which a silent relay is tried again.
const RETRY_MS: DurationMs = DurationMs(5_000);

/// Which relays answer.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// First time that a relay was told something since its last datagram.
    told_since: HashMap<IpAddr, TimeMs>,
}

impl Relays {
    /// Records that a relay is told something.
    pub fn record_sent(&mut self, relay: SocketAddr, now: TimeMs) {
        self.told_since.entry(relay.ip()).or_insert(now);
    }

    /// Records a datagram from a process, which may be a relay.
    pub fn record_received(&mut self, from: IpAddr) {
        self.told_since.remove(&from);
    }

    /// Returns the relays to use, from all in their order.
    pub fn select(&mut self, order: &[SocketAddr], now: TimeMs) -> Vec<SocketAddr> {
        self.told_since
            .retain(|_, since| now.since(*since) < RETRY_MS);
        let answers = |relay: &&SocketAddr| {
            let since = self.told_since.get(&relay.ip());
            since.is_none_or(|since| now.since(*since) < SILENT_MS)
        };
        order.iter().filter(answers).take(RELAYS).copied().collect()
    }
}

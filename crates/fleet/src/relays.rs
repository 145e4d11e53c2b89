//! Selects the relays of a data centre that a process uses.
//!
//! Load pattern: a relay is killed, frozen, disconnected or removed while engines load weights.
//! Every process replaces it by the next one in a shared order, without coordination.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Relays of a data centre that are used at once, so that announcements survive the loss of one.
const ACTIVE_RELAYS: usize = 2;

/// Time since the first unanswered datagram to a relay after which the next relay is used. An idle
/// relay announces twice within this time.
const RELAY_TIMEOUT_MS: DurationMs = DurationMs(1_200);

/// Time since the first unanswered datagram after which an unresponsive relay is tried again.
const RELAY_RETRY_MS: DurationMs = DurationMs(5_000);

/// Tracks which relays respond.
#[derive(Clone, Debug, Default)]
pub struct Relays {
    /// Time of the first datagram to a relay since the last one received from it.
    unanswered_since: HashMap<IpAddr, TimeMs>,
}

impl Relays {
    /// Records a datagram sent to a relay.
    pub fn record_sent(&mut self, relay: SocketAddr, now: TimeMs) {
        self.unanswered_since.entry(relay.ip()).or_insert(now);
    }

    /// Records a datagram received from a process, which may be a relay.
    pub fn record_received(&mut self, from: IpAddr) {
        self.unanswered_since.remove(&from);
    }

    /// Returns the relays to use, from all relays in order of preference.
    pub fn select(&mut self, order: &[SocketAddr], now: TimeMs) -> Vec<SocketAddr> {
        self.unanswered_since
            .retain(|_, since| now.since(*since) < RELAY_RETRY_MS);
        let is_responsive = |relay: &&SocketAddr| {
            let since = self.unanswered_since.get(&relay.ip());
            since.is_none_or(|since| now.since(*since) < RELAY_TIMEOUT_MS)
        };
        order
            .iter()
            .filter(is_responsive)
            .take(ACTIVE_RELAYS)
            .copied()
            .collect()
    }
}

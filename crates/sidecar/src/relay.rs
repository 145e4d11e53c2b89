//! What a relay knows and passes on.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_fleet::Aggregate;
use dw_fleet::ForwardingPolicy;

/// Time in which this sidecar is a relay after a datagram from a process that uses it as one.
pub(crate) const RELAY_MS: DurationMs = DurationMs(3_000);

/// What a relay knows and passes on.
#[derive(Default)]
pub(crate) struct Relay {
    pub(crate) aggregate: Aggregate,
    pub(crate) pass_on: ForwardingPolicy,
    used: Option<TimeMs>,
    /// Relays of other data centres that have told this one something lately.
    callers: BTreeMap<SocketAddr, TimeMs>,
}

impl Relay {
    /// Records that a process of the data centre uses this sidecar as a relay.
    pub(crate) fn used(&mut self, now: TimeMs) {
        self.used = Some(now);
    }

    /// Records that a relay of another data centre uses this sidecar.
    ///
    /// That alone makes it no relay: two sidecars that are not used by their own data centres would
    /// keep one another at it.
    pub(crate) fn called(&mut self, from: SocketAddr, now: TimeMs) {
        self.callers.insert(from, now);
    }

    /// Adds the relays that use this one, so that they do not take it for silent.
    pub(crate) fn add_callers(&mut self, relays: &mut Vec<SocketAddr>, now: TimeMs) {
        self.callers.retain(|_, at| now.since(*at) < RELAY_MS);
        for caller in self.callers.keys() {
            if !relays.contains(caller) {
                relays.push(*caller);
            }
        }
    }

    /// Returns whether a process has used this sidecar as a relay lately.
    pub(crate) fn is_used(&self, now: TimeMs) -> bool {
        self.used.is_some_and(|used| now.since(used) < RELAY_MS)
    }
}

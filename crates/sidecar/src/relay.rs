//! State of a sidecar as a relay of its data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::TimeMs;
use dw_fleet::Aggregate;
use dw_fleet::ForwardingPolicy;
use dw_permit::UpstreamLimits;
use dw_quarantine::Suspects;

/// Time after the last datagram from a process of the data centre for which this sidecar stays a
/// relay.
pub(crate) const RELAY_TIMEOUT_MS: DurationMs = DurationMs(3_000);

/// State of a sidecar as a relay, which collects and forwards the announcements of its data centre.
pub(crate) struct Relay {
    pub(crate) aggregate: Aggregate,
    /// Prompt parts under which upstreams ended, in all data centres.
    pub(crate) suspects: Suspects<ModelPart>,
    /// Requests under which upstreams ended, in all data centres.
    pub(crate) suspect_requests: Suspects<RequestDigest>,
    /// Request limits of upstreams, in all data centres.
    pub(crate) limits: UpstreamLimits,
    pub(crate) forwarding: ForwardingPolicy,
    last_used: Option<TimeMs>,
    /// Relays of other data centres that have sent announcements lately, with the time of the last
    /// one.
    remote_senders: BTreeMap<SocketAddr, TimeMs>,
}

impl Default for Relay {
    fn default() -> Self {
        Relay {
            aggregate: Aggregate::default(),
            suspects: Suspects::relay(),
            suspect_requests: Suspects::relay(),
            limits: UpstreamLimits::relay(),
            forwarding: ForwardingPolicy::default(),
            last_used: None,
            remote_senders: BTreeMap::new(),
        }
    }
}

impl Relay {
    /// Records that a process of the data centre uses this sidecar as a relay.
    pub(crate) fn record_use(&mut self, now: TimeMs) {
        self.last_used = Some(now);
    }

    /// Records an announcement from a relay of another data centre.
    ///
    /// This does not make the sidecar a relay: otherwise two sidecars that their own data centres
    /// do not use would keep each other relays for ever.
    pub(crate) fn record_remote_sender(&mut self, from: SocketAddr, now: TimeMs) {
        self.remote_senders.insert(from, now);
    }

    /// Adds the remote relays that have sent announcements lately, so that they get datagrams from
    /// this sidecar and do not treat it as unreachable.
    pub(crate) fn add_remote_senders(&mut self, relays: &mut Vec<SocketAddr>, now: TimeMs) {
        self.remote_senders
            .retain(|_, at| now.since(*at) < RELAY_TIMEOUT_MS);
        for sender in self.remote_senders.keys() {
            if !relays.contains(sender) {
                relays.push(*sender);
            }
        }
    }

    /// Returns whether a process of the data centre has used this sidecar as a relay lately.
    pub(crate) fn is_used(&self, now: TimeMs) -> bool {
        self.last_used
            .is_some_and(|used| now.since(used) < RELAY_TIMEOUT_MS)
    }
}

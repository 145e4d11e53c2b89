//! Decides which states of other data centres a relay forwards, and to which receivers.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_wire::DataCentreState;

/// Time without a state from the preferred relay of a data centre, after which another relay is
/// preferred.
const PREFERRED_TIMEOUT_MS: DurationMs = DurationMs(700);

/// Shortest time between two states of the same data centre that are forwarded to sidecars, unless
/// engines have changed.
const SIDECAR_INTERVAL_MS: DurationMs = DurationMs(500);

/// Receivers of a state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Receivers {
    /// Routers of the local data centre that are subscribed to this relay.
    pub routers: bool,
    /// Sidecars of the local data centre.
    pub sidecars: bool,
}

#[derive(Clone, Debug)]
struct Source {
    preferred: SocketAddr,
    received_at: TimeMs,
    sidecars_sent_at: Option<TimeMs>,
}

/// Preferred relay of each other data centre, and what was last forwarded from it.
#[derive(Clone, Debug, Default)]
pub struct ForwardingPolicy {
    sources: HashMap<DataCentreId, Source>,
}

impl ForwardingPolicy {
    /// Returns the receivers of a state that a relay of another data centre has announced.
    ///
    /// States without loads announce changed engines and are forwarded from every relay. States with
    /// loads are forwarded from the preferred relay only.
    pub fn decide(&mut self, from: SocketAddr, state: &DataCentreState, now: TimeMs) -> Receivers {
        let source = self
            .sources
            .entry(state.data_centre.clone())
            .or_insert_with(|| Source {
                preferred: from,
                received_at: now,
                sidecars_sent_at: None,
            });
        if state.loads.is_none() {
            return Receivers {
                routers: true,
                sidecars: true,
            };
        }
        if source.preferred != from && now.since(source.received_at) < PREFERRED_TIMEOUT_MS {
            return Receivers::default();
        }
        source.preferred = from;
        source.received_at = now;
        let last_sent = source.sidecars_sent_at;
        let is_due = last_sent.is_none_or(|at| now.since(at) >= SIDECAR_INTERVAL_MS);
        let sidecars = !state.engines.is_empty() && is_due;
        if sidecars {
            source.sidecars_sent_at = Some(now);
        }
        Receivers {
            routers: true,
            sidecars,
        }
    }

    /// Returns whether a relay is the preferred one of its data centre.
    pub fn is_preferred(&self, from: SocketAddr, data_centre: &DataCentreId) -> bool {
        let source = self.sources.get(data_centre);
        source.is_none_or(|source| source.preferred == from)
    }
}

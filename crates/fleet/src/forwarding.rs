//! Which states of other data centres a relay passes on, and to whom.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_wire::DataCentreState;

/// Silence of the preferred relay of a data centre after which another one is preferred.
const SILENT_MS: DurationMs = DurationMs(700);

/// Time between two states of a data centre without news that sidecars get.
const SIDECARS_MS: DurationMs = DurationMs(500);

/// Who gets a state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Receivers {
    /// Routers of the own data centre that listen to this relay.
    pub routers: bool,
    /// Sidecars of the own data centre.
    pub sidecars: bool,
}

#[derive(Clone, Debug)]
struct Source {
    preferred: SocketAddr,
    heard: TimeMs,
    sidecars_at: Option<TimeMs>,
}

/// What was passed on of each data centre.
#[derive(Clone, Debug, Default)]
pub struct ForwardingPolicy {
    sources: HashMap<DataCentreId, Source>,
}

impl ForwardingPolicy {
    /// Decides on a state that a relay of another data centre has told.
    ///
    /// News of engines are passed on from each relay, loads from the preferred one only.
    pub fn decide(&mut self, from: SocketAddr, state: &DataCentreState, now: TimeMs) -> Receivers {
        let source = self
            .sources
            .entry(state.data_centre.clone())
            .or_insert_with(|| Source {
                preferred: from,
                heard: now,
                sidecars_at: None,
            });
        if state.loads.is_none() {
            return Receivers {
                routers: true,
                sidecars: true,
            };
        }
        if source.preferred != from && now.since(source.heard) < SILENT_MS {
            return Receivers::default();
        }
        source.preferred = from;
        source.heard = now;
        let told = source.sidecars_at;
        let is_due = told.is_none_or(|at| now.since(at) >= SIDECARS_MS);
        let sidecars = !state.engines.is_empty() && is_due;
        if sidecars {
            source.sidecars_at = Some(now);
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

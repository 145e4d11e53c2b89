//! Routes and their destinations.

use dw_base::DurationMs;
use dw_base::ServiceId;

/// Whether a request may be retried, and the form of its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request must be executed at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another execution may continue after the last received event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may already have been executed can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
    /// Service.
    pub service: ServiceId,
    /// Weight relative to the other destinations.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Retry semantics and response form.
    pub kind: Kind,
    /// Timeout of a request.
    pub timeout_ms: DurationMs,
    /// Latency objective: time within which a response has its full value.
    pub objective_ms: DurationMs,
    /// Priority, 0 being the highest.
    pub priority: u8,
    /// Maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub anonymous: bool,
    /// Weighted services; none if the route is closed, as what the configuration says of it cannot be read.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// Returns whether the route is closed: its requests are refused.
    pub fn is_closed(&self) -> bool {
        self.destinations.is_empty()
    }

    /// Returns the weighted choice of a service for `point`, a uniform random value in `0..=u32::MAX`.
    pub fn destination(&self, point: u32) -> Option<&ServiceId> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut remaining = (u64::from(point) * total) >> 32;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if remaining < weight {
                return Some(&destination.service);
            }
            remaining -= weight;
        }
        self.destinations.first().map(|d| &d.service)
    }
}

//! One route.

use dw_base::DurationMs;
use dw_base::ServiceId;

/// What may be repeated, and how the answer looks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Must run at most once.
    AtMostOnce,
    /// Answers with events.
    Stream {
        /// Whether another run may continue after the last event that was received.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Returns whether the answer is a sequence of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Destination {
    /// Service.
    pub service: ServiceId,
    /// Share, relative to the other destinations.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host.
    pub host: String,
    /// Start of the paths; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller may be kept waiting.
    pub timeout_ms: DurationMs,
    /// Time within which an answer has its full worth.
    pub objective_ms: DurationMs,
    /// Priority, 0 first.
    pub priority: u8,
    /// Upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Services, at least one.
    pub destinations: Vec<Destination>,
}

impl Route {
    /// Returns the destination for `point`, which is uniform in `0..=u32::MAX`.
    pub fn destination(&self, point: u32) -> Option<&ServiceId> {
        let total: u64 = self.destinations.iter().map(|d| u64::from(d.weight)).sum();
        let mut left = (u64::from(point) * total) >> 32;
        for destination in &self.destinations {
            let weight = u64::from(destination.weight);
            if left < weight {
                return Some(&destination.service);
            }
            left -= weight;
        }
        self.destinations.first().map(|d| &d.service)
    }
}

//! Limits of upstreams as one process knows them.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_base::TimeMs;
use dw_wire::UpstreamStart;

/// Time after which a limit about which nothing was learned is dropped.
const RETENTION_MS: DurationMs = DurationMs(60_000);

/// Change of the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Upstream.
    pub upstream: UpstreamStart,
    /// Limit before; absent if there was none.
    pub before: Option<RequestsPerS>,
    /// Limit now; absent if there is none any more.
    pub after: Option<RequestsPerS>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Option<RequestsPerS>,
    /// When the request was sent whose answer named the limit, or named none.
    sent_at: TimeMs,
    /// When the last answer or announcement about the upstream was received.
    received_at: TimeMs,
}

/// Limits of upstreams as one process knows them.
///
/// Answers carry no time, and they overtake each other. An answer counts as of the time at which its
/// request was sent, so a late answer does not bring back a limit that a later request's answer has
/// withdrawn.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    known: HashMap<UpstreamStart, Known>,
}

impl UpstreamLimits {
    /// Returns the limit of an upstream, if it has one.
    pub fn get(&self, upstream: UpstreamStart) -> Option<RequestsPerS> {
        self.known.get(&upstream)?.limit
    }

    /// Records what the answer to a request says about a limit; returns the change that it makes.
    pub fn record_answer(
        &mut self,
        upstream: UpstreamStart,
        limit: Option<RequestsPerS>,
        (sent_at, now): (TimeMs, TimeMs),
    ) -> Option<LimitChange> {
        let known = self.known.get(&upstream);
        let is_outdated = known.is_some_and(|known| sent_at < known.sent_at);
        if is_outdated || (known.is_none() && limit.is_none()) {
            return None;
        }
        let before = known.and_then(|known| known.limit);
        let known = Known {
            limit,
            sent_at,
            received_at: now,
        };
        self.known.insert(upstream, known);
        (before != limit).then_some(LimitChange {
            upstream,
            before,
            after: limit,
        })
    }

    /// Removes upstreams about which nothing was learned for long.
    pub fn expire(&mut self, now: TimeMs) {
        self.known
            .retain(|_, known| now.since(known.received_at) < RETENTION_MS);
    }
}

//! Grants whose answers may have been lost.
//!
//! Load pattern: a link loses every fifth datagram, and routers repeat questions that were granted.

use std::collections::HashMap;
use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;

/// Time within which a router repeats or withdraws a question.
const REPEAT_MS: DurationMs = DurationMs(1_000);

/// Maximum number of grants; above it a repeated question counts twice.
const MAX_GRANTS: usize = 16_384;

/// Numbers of the questions that were granted lately, by router.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentGrants {
    granted_at: HashMap<(SocketAddr, u32), TimeMs>,
}

impl RecentGrants {
    pub(crate) const GRANT_BYTES: usize = size_of::<((SocketAddr, u32), TimeMs)>();

    pub(crate) fn insert(&mut self, router: SocketAddr, number: u32, now: TimeMs) {
        if self.granted_at.len() < MAX_GRANTS {
            self.granted_at.insert((router, number), now);
        }
    }

    pub(crate) fn contains(&self, router: SocketAddr, number: u32) -> bool {
        self.granted_at.contains_key(&(router, number))
    }

    /// Removes a grant; returns whether it was there.
    pub(crate) fn remove(&mut self, router: SocketAddr, number: u32) -> bool {
        self.granted_at.remove(&(router, number)).is_some()
    }

    pub(crate) fn expire(&mut self, now: TimeMs) {
        self.granted_at
            .retain(|_, granted_at| now.since(*granted_at) < REPEAT_MS);
    }
}

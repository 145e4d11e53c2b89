//! Processes that pass calls on to the tables.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Addresses of processes that pass calls on to the tables, the preferred ones first. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ProxyList(Arc<Mutex<Vec<SocketAddr>>>);

impl ProxyList {
    /// Replaces the addresses.
    pub fn set(&self, addrs: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addrs;
    }

    /// Returns up to `count` addresses from the place `at` on; after the last one come the first ones again.
    pub(crate) fn next(&self, at: usize, count: usize) -> Vec<SocketAddr> {
        let addrs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = count.min(addrs.len());
        let start = at.checked_rem(addrs.len()).unwrap_or_default();
        addrs
            .iter()
            .cycle()
            .skip(start)
            .take(count)
            .copied()
            .collect()
    }
}

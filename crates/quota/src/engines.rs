//! Registered engines, from whose sidecars a router selects the one that counts for an organisation.
//!
//! Load pattern: hundreds of engines, and requests of thousands of organisations, of which a router seldom sees
//! two of the same. Each request selects anew, so that the names are kept and only those that come first are
//! checked for being live.

use std::net::SocketAddr;

use dw_base::rendezvous_hash;
use dw_base::OrgId;
use dw_base::PrefixKey;

/// Selections one by one, after which all engines are checked for being live.
const MAX_SELECTIONS: usize = 4;

/// Registered engines with the names by which they are hashed.
#[derive(Clone, Debug, Default)]
pub struct Engines(Vec<(SocketAddr, String)>);

impl Engines {
    /// Replaces the engines.
    pub fn set(&mut self, registered: impl Iterator<Item = SocketAddr> + Clone) {
        let known = self.0.iter().map(|(addr, _)| *addr);
        if !known.eq(registered.clone()) {
            self.0 = registered.map(|addr| (addr, addr.to_string())).collect();
        }
    }

    /// Returns the engine beside the sidecar that counts for an organisation, as
    /// [`first_counter`](crate::first_counter) does for the live ones.
    pub fn first_live(
        &self,
        org: &OrgId,
        is_live: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let key = u128::from(PrefixKey::root(org.as_str()).0);
        let hashed = self.0.iter();
        let hashed = hashed.map(|(addr, name)| (rendezvous_hash(key, name), *addr));
        let mut last = None;
        for _ in 0..MAX_SELECTIONS {
            let is_next = |next: &(u64, SocketAddr)| last.is_none_or(|last| *next < last);
            let first = hashed.clone().filter(is_next).max()?;
            if is_live(first.1) {
                return Some(first.1);
            }
            last = Some(first);
        }
        let live = hashed.filter(|(_, addr)| is_live(*addr));
        live.max().map(|(_, addr)| addr)
    }
}

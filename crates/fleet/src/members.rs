//! Registered engines, from the roster that routers announce.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use dw_base::rendezvous_score;
use dw_base::DataCentreId;
use dw_base::NodeId;
use dw_base::PrefixKey;
use dw_wire::Roster;
use dw_wire::RosterEntry;

/// Rendezvous hashing key for the order of relays; ASCII of "relays".
const RELAY_KEY: u128 = 0x7265_6c61_7973;

/// Registered engines with their data centres and services.
#[derive(Clone, Debug, Default)]
pub struct Members {
    roster: Roster,
    /// All engines in the order in which they are preferred as relays.
    by_preference: Vec<RosterEntry>,
}

impl Members {
    /// Updates the roster unless the known one has engines and is as new; returns whether its
    /// content has changed.
    pub fn update(&mut self, roster: Roster) -> bool {
        if roster.version <= self.roster.version && !self.roster.engines.is_empty() {
            return false;
        }
        self.replace(roster)
    }

    /// Replaces the roster; returns whether its content has changed.
    pub fn replace(&mut self, roster: Roster) -> bool {
        let is_changed = roster.engines != self.roster.engines
            || roster.data_centres != self.roster.data_centres
            || roster.services != self.roster.services;
        self.roster = roster;
        if is_changed {
            self.by_preference = sort_by_preference(&self.roster.engines);
        }
        is_changed
    }

    /// Returns the roster, to announce it.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns all engines.
    pub fn engines(&self) -> BTreeSet<SocketAddr> {
        let engines = self.roster.engines.iter();
        engines.map(|entry| entry.engine).collect()
    }

    /// Returns the data centres with engines.
    pub fn data_centres(&self) -> &[DataCentreId] {
        &self.roster.data_centres
    }

    /// Returns the data centre of the engine on a VM.
    pub fn data_centre_of(&self, ip: IpAddr) -> Option<&DataCentreId> {
        let mut engines = self.roster.engines.iter();
        let entry = engines.find(|entry| entry.engine.ip() == ip)?;
        self.data_centre(entry)
    }

    fn data_centre(&self, entry: &RosterEntry) -> Option<&DataCentreId> {
        self.roster.data_centres.get(usize::from(entry.data_centre))
    }

    /// Returns the engines of a data centre.
    pub fn engines_in<'a>(
        &'a self,
        data_centre: &'a DataCentreId,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let is_in = move |entry: &&RosterEntry| self.data_centre(entry) == Some(data_centre);
        let entries = self.roster.engines.iter().filter(is_in);
        entries.map(|entry| entry.engine)
    }

    /// Returns the other engines of the service of an engine.
    pub fn service_peers(&self, engine: SocketAddr) -> Vec<SocketAddr> {
        let engines = &self.roster.engines;
        let own_entry = engines.iter().find(|entry| entry.engine == engine);
        let service = own_entry.map(|entry| entry.service);
        let same = |entry: &&RosterEntry| entry.engine != engine && Some(entry.service) == service;
        let others = engines.iter().filter(same);
        others.map(|entry| entry.engine).collect()
    }

    /// Returns the engines whose sidecars pass a process's calls to the platform's tables on, the preferred ones
    /// first: those of its own data centre, then the others. Each process prefers others, so that their calls
    /// spread.
    pub fn proxy_order(&self, node: &NodeId, data_centre: &DataCentreId) -> Vec<SocketAddr> {
        let key = u128::from(PrefixKey::root(node.as_str()).0);
        let mut order: Vec<&RosterEntry> = self.roster.engines.iter().collect();
        order.sort_by_cached_key(|entry| {
            let is_local = self.data_centre(entry) == Some(data_centre);
            let score = rendezvous_score(key, &entry.engine.to_string(), 1.0);
            Reverse((is_local, score.to_bits()))
        });
        order.into_iter().map(|entry| entry.engine).collect()
    }

    /// Returns the engines whose sidecars may be relays of a data centre, the preferred ones first:
    /// the engines in that data centre, or all engines if it has none.
    pub fn relay_order(&self, data_centre: &DataCentreId) -> Vec<SocketAddr> {
        let is_in = |entry: &&RosterEntry| self.data_centre(entry) == Some(data_centre);
        let local: Vec<SocketAddr> = self
            .by_preference
            .iter()
            .filter(is_in)
            .map(|e| e.engine)
            .collect();
        match local.is_empty() {
            true => self
                .by_preference
                .iter()
                .map(|entry| entry.engine)
                .collect(),
            false => local,
        }
    }
}

fn sort_by_preference(engines: &[RosterEntry]) -> Vec<RosterEntry> {
    let mut order = engines.to_vec();
    order.sort_by_cached_key(|entry| {
        let score = rendezvous_score(RELAY_KEY, &entry.engine.to_string(), 1.0);
        Reverse(score.to_bits())
    });
    order
}

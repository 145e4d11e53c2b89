//! The list of registered model engines that routers announce to relays.

use std::collections::BTreeSet;

use dw_wire::Roster;
use dw_wire::RosterEntry;

use crate::shared::Shared;

/// Returns the registered model engines. Routers with the same registrations return equal rosters.
pub(crate) fn roster(shared: &Shared) -> Roster {
    let directory = shared.directory.borrow();
    let engines = || directory.engines();
    let data_centres = sorted_names(engines().map(|entry| &entry.registration.data_centre));
    let services = sorted_names(engines().map(|entry| &entry.registration.service));
    let entries = engines().map(|entry| RosterEntry {
        engine: entry.registration.addr,
        data_centre: index_of(&data_centres, &entry.registration.data_centre),
        service: index_of(&services, &entry.registration.service),
    });
    let entries: BTreeSet<RosterEntry> = entries.collect();
    Roster {
        version: shared.registrations_version.get(),
        engines: entries.into_iter().collect(),
        data_centres,
        services,
    }
}

fn sorted_names<'a, T: Clone + Ord + 'a>(all: impl Iterator<Item = &'a T>) -> Vec<T> {
    let names: BTreeSet<&T> = all.collect();
    names.into_iter().cloned().collect()
}

fn index_of<T: Ord>(names: &[T], name: &T) -> u8 {
    let at = names.binary_search(name).unwrap_or_default();
    u8::try_from(at).unwrap_or(u8::MAX)
}

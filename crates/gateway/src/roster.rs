//! The list of registered model engines that routers tell relays.

use std::collections::BTreeSet;

use dw_wire::Roster;
use dw_wire::RosterEntry;

use crate::shared::Shared;

/// Returns the registered model engines; routers with the same registrations return the same.
pub(crate) fn roster(shared: &Shared) -> Roster {
    let directory = shared.directory.borrow();
    let engines = || directory.engines();
    let data_centres = names(engines().map(|entry| &entry.registration.data_centre));
    let services = names(engines().map(|entry| &entry.registration.service));
    let entries = engines().map(|entry| RosterEntry {
        engine: entry.registration.addr,
        data_centre: position(&data_centres, &entry.registration.data_centre),
        service: position(&services, &entry.registration.service),
    });
    let entries: BTreeSet<RosterEntry> = entries.collect();
    Roster {
        version: shared.listed_version.get(),
        engines: entries.into_iter().collect(),
        data_centres,
        services,
    }
}

fn names<'a, T: Clone + Ord + 'a>(all: impl Iterator<Item = &'a T>) -> Vec<T> {
    let names: BTreeSet<&T> = all.collect();
    names.into_iter().cloned().collect()
}

fn position<T: Ord>(names: &[T], name: &T) -> u8 {
    let at = names.binary_search(name).unwrap_or_default();
    u8::try_from(at).unwrap_or(u8::MAX)
}

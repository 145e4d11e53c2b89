//! Progress of the platform's tables as read by a few routers, so that the others need not poll.
//!
//! Load pattern: with hundreds of routers, every changed registration would wake each of them,
//! though few changes concern them. In each data centre a few routers read all changes and
//! announce the latest versions; the others read the tables once a newer version is announced. If no
//! recent announcement shows that the tables respond, every router polls them itself.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_wire::RouterLoads;
use dw_wire::TableProgress;

use crate::aggregate::router_hash;

/// Routers of a data centre that read all changes.
const READERS: usize = 2;

/// Age at which received progress expires.
const HINT_EXPIRY_MS: DurationMs = DurationMs(1_500);

/// Merges two progress reports: the later versions and the lower age.
pub(crate) fn latest(a: TableProgress, b: TableProgress) -> TableProgress {
    TableProgress {
        config_version: a.config_version.max(b.config_version),
        registrations: a.registrations.max(b.registrations),
        age_ms: a.age_ms.min(b.age_ms),
    }
}

/// Returns whether a router has to read all changes. The first few routers that a relay lists do,
/// and so does a router that is not listed.
pub fn is_reader(router: &NodeId, loads: &RouterLoads) -> bool {
    let own_hash = router_hash(router);
    let is_listed = loads.heard.iter().any(|(hash, _)| *hash == own_hash);
    let before = loads.heard.iter().filter(|(hash, _)| *hash < own_hash);
    !is_listed || before.count() < READERS
}

/// Table progress received from other routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableHints {
    progress: Option<(TableProgress, TimeMs)>,
}

impl TableHints {
    /// Merges the progress announced by a data centre; returns whether a version is newer than the
    /// known one.
    pub fn update(&mut self, announced: TableProgress, now: TimeMs) -> bool {
        let known = self.known(now);
        let progress = known.map_or(announced, |known| latest(known, announced));
        self.progress = Some((progress, now));
        known.is_none_or(|known| {
            progress.config_version > known.config_version
                || progress.registrations > known.registrations
        })
    }

    fn known(&self, now: TimeMs) -> Option<TableProgress> {
        let (progress, at) = self.progress?;
        let age_ms = progress.age_ms + now.since(at);
        Some(TableProgress { age_ms, ..progress })
    }

    /// Returns whether a newer configuration than this one was announced recently.
    ///
    /// Load pattern: the tables refuse some routers while an operator adds keys and routes. Such a
    /// router must not treat keys and routes that it does not know as nonexistent.
    pub fn is_behind(&self, config_version: ConfigVersion, now: TimeMs) -> bool {
        let recent = self
            .progress
            .filter(|(_, at)| now.since(*at) < HINT_EXPIRY_MS);
        recent.is_some_and(|(progress, _)| progress.config_version > config_version)
    }

    /// Returns the latest versions of the tables, if a recent announcement shows that the tables
    /// responded less than `max_age_ms` ago.
    pub fn fresh(&self, max_age_ms: DurationMs, now: TimeMs) -> Option<TableProgress> {
        let (_, at) = self.progress?;
        let known = self.known(now)?;
        let is_fresh = now.since(at) < HINT_EXPIRY_MS && known.age_ms < max_age_ms;
        is_fresh.then_some(known)
    }
}

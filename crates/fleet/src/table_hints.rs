//! Progress of the platform's tables as read by a few routers, so that the others need not poll.
//!
//! Load pattern: with hundreds of routers, every changed registration would wake each of them,
//! though few changes concern them. In each data centre a few routers read all changes and
//! announce the latest versions; the others read the tables once a newer version is announced. If no
//! recent announcement shows that a router follows the tables, every router polls them itself, early
//! enough that a change which no reader has announced still takes effect in time ([`HintTiming`]).

use std::collections::HashMap;
use std::net::IpAddr;

use dw_base::ConfigVersion;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_wire::RouterLoads;
use dw_wire::TableProgress;

use crate::aggregate::router_hash;
use crate::pace::RELAY_MIN_PAUSE_MS;
use crate::pace::RELAY_ROUND_PAUSE_MS;
use crate::pace::ROUTER_MAX_PAUSE_MS;
use crate::pace::ROUTER_MIN_PAUSE_MS;

/// Routers of a data centre that read all changes.
const READERS: usize = 2;

/// Age at which what a relay has announced is forgotten.
const SOURCE_EXPIRY_MS: DurationMs = DurationMs(60_000);

/// Age at which received progress expires.
const HINT_EXPIRY_MS: DurationMs = DurationMs(1_500);

/// Longest age of a router's own announcement, as a relay sends its time back, while both are in time.
const ECHO_MAX_AGE_MS: DurationMs = DurationMs(
    ROUTER_MIN_PAUSE_MS.0 + ROUTER_MAX_PAUSE_MS.0 + RELAY_MIN_PAUSE_MS.0 + RELAY_ROUND_PAUSE_MS.0,
);

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
#[derive(Clone, Debug, Default)]
pub struct TableHints {
    positions: TableProgress,
    updated_at: Option<TimeMs>,
    /// When the routers of a data centre last followed the tables, as each relay knows it.
    followed_at: HashMap<(IpAddr, DataCentreId), TimeMs>,
    /// For each relay, how late it read the router's own announcements, and when that was seen.
    lags_ms: HashMap<IpAddr, (DurationMs, TimeMs)>,
}

impl TableHints {
    /// Merges the progress of a data centre that a relay announced; returns whether a version is newer
    /// than the known one. The versions only grow. The age counts as the relay announced it last: routers
    /// may find out late that the tables no longer answer them.
    pub fn update(
        &mut self,
        (relay, data_centre): (IpAddr, &DataCentreId),
        announced: TableProgress,
        now: TimeMs,
    ) -> bool {
        let known = self.updated_at.map(|_| self.positions.positions());
        self.positions = latest(self.positions, announced);
        self.updated_at = Some(now);
        let followed_at = now - announced.age_ms;
        self.followed_at
            .retain(|_, at| now.since(*at) < SOURCE_EXPIRY_MS);
        let source = (relay, data_centre.clone());
        self.followed_at.insert(source, followed_at);
        known != Some(self.positions.positions())
    }

    /// Records the time of the router's own last announcement, which a relay sends back.
    ///
    /// A relay whose process is late counts the age of what it announces from when it has read it. How late it is
    /// shows in the age of the router's own announcement, by the router's clock.
    pub fn record_echo(&mut self, relay: IpAddr, stamp: TimeMs, now: TimeMs) {
        self.lags_ms
            .retain(|_, (_, at)| now.since(*at) < SOURCE_EXPIRY_MS);
        let lag_ms = now.since(stamp).saturating_sub(ECHO_MAX_AGE_MS);
        self.lags_ms.insert(relay, (lag_ms, now));
    }

    fn lag_of(&self, relay: IpAddr) -> DurationMs {
        let lag_ms = self.lags_ms.get(&relay).map(|(lag_ms, _)| *lag_ms);
        lag_ms.unwrap_or_default()
    }

    /// Returns how late the relays read announcements of this router: that of the relay in time, if there is one,
    /// as it passes the same news on.
    pub(crate) fn lag_ms(&self, now: TimeMs) -> DurationMs {
        let recent = self.lags_ms.values();
        let recent = recent.filter(|(_, at)| now.since(*at) < HINT_EXPIRY_MS);
        let lags_ms = recent.map(|(lag_ms, _)| *lag_ms);
        lags_ms.min().unwrap_or_default()
    }

    /// Returns whether a newer configuration than this one was announced recently.
    ///
    /// Load pattern: the tables refuse some routers while an operator adds keys and routes. Such a
    /// router must not treat keys and routes that it does not know as nonexistent.
    pub fn is_behind(&self, config_version: ConfigVersion, now: TimeMs) -> bool {
        self.is_recent(now) && self.positions.config_version > config_version
    }

    /// Returns the newest configuration version that was announced.
    pub fn config_version(&self) -> ConfigVersion {
        self.positions.config_version
    }

    /// Returns whether an announcement has arrived lately.
    fn is_recent(&self, now: TimeMs) -> bool {
        let is_recent = |at: TimeMs| now.since(at) < HINT_EXPIRY_MS;
        self.updated_at.is_some_and(is_recent)
    }

    /// Returns the time since a router last followed the tables, as far as it is known. What a late relay announces is
    /// older than it says.
    pub fn age_ms(&self, now: TimeMs) -> Option<DurationMs> {
        let sources = self.followed_at.iter();
        let ages_ms = sources.map(|((relay, _), at)| now.since(*at) + self.lag_of(*relay));
        ages_ms.min()
    }

    /// Returns the latest versions of the tables, if a recent announcement shows that a router followed
    /// them less than `max_age_ms` ago.
    pub fn fresh(&self, max_age_ms: DurationMs, now: TimeMs) -> Option<TableProgress> {
        let age_ms = self.age_ms(now)?;
        let progress = TableProgress {
            age_ms,
            ..self.positions
        };
        (self.is_recent(now) && age_ms < max_age_ms).then_some(progress)
    }
}

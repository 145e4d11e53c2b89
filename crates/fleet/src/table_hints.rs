//! What a few routers have read of the platform's tables, so that the others need not ask.
//!
//! Load pattern: hundreds of routers and every change of a registration wakes each of them, though
//! few changes concern them. In each data centre a few routers read all changes and tell how far
//! the tables have changed; the others read once that lies ahead of what they know. They read for
//! themselves as soon as nobody tells that the tables answer.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_wire::RouterLoads;
use dw_wire::TableProgress;

use crate::aggregate::router_hash;

/// Routers of a data centre that read all changes.
const READERS: usize = 2;

/// Age from which what was told is not used any more.
const HEARD_MS: DurationMs = DurationMs(1_500);

/// Returns the later positions and the shorter age.
pub(crate) fn latest(a: TableProgress, b: TableProgress) -> TableProgress {
    TableProgress {
        config_version: a.config_version.max(b.config_version),
        registrations: a.registrations.max(b.registrations),
        age_ms: a.age_ms.min(b.age_ms),
    }
}

/// Returns whether a router is to read all changes, among those that a relay hears; one that is not
/// heard is.
pub fn is_reader(router: &NodeId, loads: &RouterLoads) -> bool {
    let own = router_hash(router);
    let is_heard = loads.heard.iter().any(|(mark, _)| *mark == own);
    let before = loads.heard.iter().filter(|(mark, _)| *mark < own);
    !is_heard || before.count() < READERS
}

/// What is known of the tables from others.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableHints {
    news: Option<(TableProgress, TimeMs)>,
}

impl TableHints {
    /// Takes over what a data centre tells; returns whether a position is news.
    pub fn update(&mut self, told: TableProgress, now: TimeMs) -> bool {
        let known = self.known(now);
        let news = known.map_or(told, |known| latest(known, told));
        self.news = Some((news, now));
        known.is_none_or(|known| {
            news.config_version > known.config_version || news.registrations > known.registrations
        })
    }

    fn known(&self, now: TimeMs) -> Option<TableProgress> {
        let (news, at) = self.news?;
        let age_ms = news.age_ms + now.since(at);
        Some(TableProgress { age_ms, ..news })
    }

    /// Returns whether others have told lately of a newer configuration than this one.
    ///
    /// Load pattern: the tables turn some routers away while an operator adds keys and routes. What
    /// such a router does not know is not unknown to the others.
    pub fn is_behind(&self, config_version: ConfigVersion, now: TimeMs) -> bool {
        let heard = self.news.filter(|(_, at)| now.since(*at) < HEARD_MS);
        heard.is_some_and(|(news, _)| news.config_version > config_version)
    }

    /// Returns the positions up to which the tables have changed, if somebody has told lately that
    /// they answered within `most_age_ms`.
    pub fn fresh(&self, most_age_ms: DurationMs, now: TimeMs) -> Option<TableProgress> {
        let (_, at) = self.news?;
        let known = self.known(now)?;
        let is_fresh = now.since(at) < HEARD_MS && known.age_ms < most_age_ms;
        is_fresh.then_some(known)
    }
}

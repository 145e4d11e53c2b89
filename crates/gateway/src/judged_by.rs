//! The configuration that decided on a request, and what was known of a newer one.

use dw_base::ConfigVersion;
use dw_base::TimeMs;
use dw_fleet::UnreadConfiguration;

use crate::shared::Shared;

/// The configuration that decided on a request. Its line in the log names it, so that a request that an older
/// configuration allowed leads to the cause.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct JudgedBy {
    /// Version in force.
    pub(crate) version: ConfigVersion,
    /// A newer one that other routers had read.
    pub(crate) unread: Option<UnreadConfiguration>,
}

impl JudgedBy {
    /// Returns the configuration in force, and what is known of a newer one.
    pub(crate) fn now(shared: &Shared, now: TimeMs) -> Self {
        JudgedBy {
            version: shared
                .routes()
                .map(|routes| routes.version())
                .unwrap_or_default(),
            unread: shared.tables.borrow().unread_configuration(now),
        }
    }

    /// Returns the newer version that others had read, or 0.
    pub(crate) fn unread_version(&self) -> u64 {
        self.unread.map_or(0, |unread| unread.announced.0)
    }

    /// Returns the age of the announcement of the newer version in milliseconds.
    pub(crate) fn unread_age_ms(&self) -> u64 {
        self.unread.map_or(0, |unread| unread.announced_age_ms.0)
    }

    /// Returns for how many milliseconds calls to the table had failed while a newer version was known.
    pub(crate) fn failing_ms(&self) -> u64 {
        let failing_ms = self.unread.and_then(|unread| unread.failing_ms);
        failing_ms.unwrap_or_default().0
    }
}

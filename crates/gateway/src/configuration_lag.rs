//! Reports when the configuration in force is behind that of other routers.

use std::cell::Cell;

use dw_base::DurationMs;
use dw_base::TimeMs;

use crate::judged_by::JudgedBy;
use crate::shared::Shared;

/// Since when others have read a newer configuration than this router.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationLag(Cell<Option<TimeMs>>);

/// Returns whether others follow the table and have had a newer configuration for longer than this router may be
/// without it, as it cannot read the table. What the configuration in force allows may have been taken away, so
/// nothing may run.
///
/// While nobody can read the table, the store is down for all. Routers then go on with what they have, as
/// nothing would be served otherwise.
pub(crate) fn is_stale(shared: &Shared, now: TimeMs) -> bool {
    let bound_ms = shared.boot().bounds.config_ms;
    let Some(unread) = shared.tables.borrow().unread_configuration(now) else {
        return false;
    };
    let is_followed = unread.announced_age_ms < DurationMs(bound_ms.0 / 2);
    is_followed && unread.failing_ms.is_some_and(|ms| ms >= bound_ms)
}

/// Logs and counts that the configuration in force falls behind that of others, or has caught up.
pub(crate) fn observe(shared: &Shared, now: TimeMs) {
    let judged_by = JudgedBy::now(shared, now);
    let lag = &shared.configuration_lag.0;
    let since = lag.get();
    lag.set(judged_by.unread.map(|_| since.unwrap_or(now)));
    let behind_ms = since.map_or(0, |since| now.since(since).0);
    match (since, judged_by.unread) {
        (None, Some(_)) => log::warn!(
            config_version:% = judged_by.version, unread_version = judged_by.unread_version(),
            unread_age_ms = judged_by.unread_age_ms(), failing_ms = judged_by.failing_ms();
            "configuration is behind that of other routers"
        ),
        (Some(_), None) => log::info!(
            config_version:% = judged_by.version, behind_ms;
            "configuration is no longer behind that of other routers"
        ),
        _ => {}
    }
    shared.metrics.set_configuration_behind_ms(behind_ms);
}

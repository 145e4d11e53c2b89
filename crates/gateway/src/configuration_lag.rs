//! Reports when the configuration in force is behind that of other routers.

use std::cell::Cell;

use dw_base::TimeMs;

use crate::judged_by::JudgedBy;
use crate::shared::Shared;

/// Since when others have read a newer configuration than this router.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationLag(Cell<Option<TimeMs>>);

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

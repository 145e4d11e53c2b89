//! Software versions that served lately.

use std::collections::BTreeMap;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;

/// Time for which a version that serves no more is remembered.
const MAX_AGE_MS: DurationMs = DurationMs(3_600_000);

#[derive(Clone, Debug)]
struct Service {
    observed_since: TimeMs,
    last_seen: BTreeMap<SoftwareVersion, TimeMs>,
}

/// Software versions of each service, as this process has observed them since its start.
///
/// A process that has just started knows nothing of the time before: upstreams of another version may have
/// left a moment ago.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: BTreeMap<ServiceId, Service>,
}

impl SoftwareHistory {
    /// Records the service and version of each registered upstream.
    pub fn observe<'a>(
        &mut self,
        registered: impl IntoIterator<Item = (&'a ServiceId, &'a SoftwareVersion)>,
        now: TimeMs,
    ) {
        for (service, software) in registered {
            if !self.services.contains_key(service) {
                let new = Service {
                    observed_since: now,
                    last_seen: BTreeMap::new(),
                };
                self.services.insert(service.clone(), new);
            }
            let Some(service) = self.services.get_mut(service) else {
                continue;
            };
            match service.last_seen.get_mut(software) {
                Some(last_seen) => *last_seen = now,
                None => {
                    service.last_seen.insert(software.clone(), now);
                }
            }
        }
        for service in self.services.values_mut() {
            let is_recent = |last_seen: &TimeMs| now.since(*last_seen) < MAX_AGE_MS;
            service.last_seen.retain(|_, seen| is_recent(seen));
        }
        self.services
            .retain(|_, service| !service.last_seen.is_empty());
    }

    /// Returns whether a service had one version only for all of the time before now.
    pub fn had_one_version(&self, service: &ServiceId, time_ms: DurationMs, now: TimeMs) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let is_within = |last_seen: &&TimeMs| now.since(**last_seen) < time_ms;
        let versions = service.last_seen.values().filter(is_within).count();
        versions == 1 && now.since(service.observed_since) >= time_ms && time_ms <= MAX_AGE_MS
    }
}

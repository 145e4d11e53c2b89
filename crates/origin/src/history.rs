//! Software versions that served lately.

use std::collections::BTreeMap;

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;
use dw_wire::UpstreamStart;

/// Time between two observations after which the process is taken to have stood still: requests that came
/// meanwhile are handled before what is registered now is read.
const MAX_STALL_MS: DurationMs = DurationMs(1_500);

/// Time for which a version that serves no more is remembered.
const MAX_AGE_MS: DurationMs = DurationMs(3_600_000);

#[derive(Clone, Debug)]
struct Service {
    /// Since when no version can have come and gone unnoticed.
    observed_since: TimeMs,
    /// Until when that is known.
    observed_until: TimeMs,
    /// Versions by their last observation.
    last_seen: BTreeMap<SoftwareVersion, TimeMs>,
    /// Starts of upstreams whose version was not known, by the last such observation.
    unknown: BTreeMap<UpstreamStart, TimeMs>,
}

/// What is known of the software that an upstream runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObservedSoftware<'a> {
    /// It runs this version.
    Version(&'a SoftwareVersion),
    /// This start of it may have ended, and another one may run any version.
    Unknown(UpstreamStart),
}

impl Service {
    fn record(&mut self, software: ObservedSoftware<'_>, now: TimeMs) {
        match software {
            ObservedSoftware::Unknown(start) => {
                self.unknown.insert(start, now);
            }
            ObservedSoftware::Version(version) => match self.last_seen.get_mut(version) {
                Some(last_seen) => *last_seen = now,
                None => {
                    self.last_seen.insert(version.clone(), now);
                }
            },
        }
    }

    fn is_empty(&self) -> bool {
        self.last_seen.is_empty() && self.unknown.is_empty()
    }
}

/// Software versions of each service, as this process has observed them since its start.
///
/// A process that has just started knows nothing of the time before: upstreams of another version may have
/// left a moment ago. Neither does one that stood still, or was cut off from the registrations: they may have
/// come and gone meanwhile.
#[derive(Clone, Debug)]
pub struct SoftwareHistory {
    max_gap_ms: DurationMs,
    observed_at: TimeMs,
    services: BTreeMap<ServiceId, Service>,
}

impl SoftwareHistory {
    /// Creates a history without observations, which counts anew after a gap of more than `max_gap_ms`.
    pub fn new(max_gap_ms: DurationMs) -> Self {
        SoftwareHistory {
            max_gap_ms,
            observed_at: TimeMs::default(),
            services: BTreeMap::new(),
        }
    }

    /// Records the service of each upstream and what is known of its software, from registrations that were complete at
    /// `complete_at`.
    pub fn observe<'a>(
        &mut self,
        registered: impl IntoIterator<Item = (&'a ServiceId, ObservedSoftware<'a>)>,
        complete_at: TimeMs,
        now: TimeMs,
    ) {
        let has_stalled = self.has_stalled(now);
        self.observed_at = now;
        for service in self.services.values_mut() {
            let gap_ms = complete_at.since(service.observed_until);
            if has_stalled || gap_ms > self.max_gap_ms {
                service.observed_since = now;
            }
            service.observed_until = complete_at.max(service.observed_until);
        }
        for (service, software) in registered {
            if !self.services.contains_key(service) {
                let new = Service {
                    observed_since: now,
                    observed_until: complete_at,
                    last_seen: BTreeMap::new(),
                    unknown: BTreeMap::new(),
                };
                self.services.insert(service.clone(), new);
            }
            let Some(service) = self.services.get_mut(service) else {
                continue;
            };
            service.record(software, now);
        }
        for service in self.services.values_mut() {
            let is_recent = |last_seen: &TimeMs| now.since(*last_seen) < MAX_AGE_MS;
            service.last_seen.retain(|_, seen| is_recent(seen));
            service.unknown.retain(|_, seen| is_recent(seen));
        }
        self.services.retain(|_, service| !service.is_empty());
    }

    /// Takes back that the version of a start was not known: it went on all the time.
    pub fn withdraw_unknown(&mut self, start: UpstreamStart) {
        for service in self.services.values_mut() {
            service.unknown.remove(&start);
        }
    }

    fn has_stalled(&self, now: TimeMs) -> bool {
        now.since(self.observed_at) > MAX_STALL_MS
    }

    /// Returns whether a service is known to have had several versions lately, not counting unknown ones.
    pub fn has_several_versions(&self, service: &ServiceId) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|service| service.last_seen.len() > 1)
    }

    /// Returns whether a service had one version only for all of the time before now.
    pub fn had_one_version(&self, service: &ServiceId, time_ms: DurationMs, now: TimeMs) -> bool {
        let Some(service) = self.services.get(service) else {
            return false;
        };
        let is_within = |last_seen: &&TimeMs| now.since(**last_seen) < time_ms;
        let versions = service.last_seen.values().filter(is_within).count();
        versions == 1
            && !service.unknown.values().any(|seen| is_within(&seen))
            && !self.has_stalled(now)
            && now.since(service.observed_since) >= time_ms
            && now.since(service.observed_until) <= self.max_gap_ms
            && time_ms <= MAX_AGE_MS
    }
}

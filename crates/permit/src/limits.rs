//! Limits of upstreams as one process knows them.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::RequestsPerS;
use dw_base::TimeMs;
use dw_wire::LimitReport;
use dw_wire::UpstreamStart;

/// Time after which a limit about which nothing was learned is dropped.
const RETENTION_MS: DurationMs = DurationMs(60_000);

/// Interval at which limits are announced again, as announcements may be lost and processes restart.
const REPEAT_MS: DurationMs = DurationMs(2_000);

/// Time for which a withdrawn limit is announced again, so that an earlier report does not bring it
/// back.
const WITHDRAWAL_REPEAT_MS: DurationMs = DurationMs(10_000);

/// Time since the last answer with a limit for which placement avoids an upstream.
const AVOIDANCE_MS: DurationMs = DurationMs(5_000);

/// Maximum number of limits in one announcement; the others follow with the next ones.
const MAX_REPORTS: usize = 96;

/// Maximum number of upstreams whose limits are kept.
const MAX_UPSTREAMS: usize = 4_096;

/// Change of the limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Upstream.
    pub upstream: UpstreamStart,
    /// Limit before; absent if there was none.
    pub before: Option<RequestsPerS>,
    /// Limit now; absent if there is none any more.
    pub after: Option<RequestsPerS>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Option<RequestsPerS>,
    /// When the request was sent whose answer named the limit, or named none.
    sent_at: TimeMs,
    /// When the last answer or announcement about the upstream was received.
    received_at: TimeMs,
    /// Whether this process received the answer itself.
    is_own: bool,
    has_news: bool,
    announced_at: Option<TimeMs>,
}

/// Limits of upstreams as one process knows them.
///
/// Answers carry no time, and they overtake each other. An answer counts as of the time at which its
/// request was sent, so a late answer does not bring back a limit that a later request's answer has
/// withdrawn. Reports of other processes can be merged in any order and more than once.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    known: HashMap<UpstreamStart, Known>,
    /// Whether merged reports are announced.
    forwards: bool,
}

impl UpstreamLimits {
    /// Creates the state of a relay, which announces what it has merged.
    pub fn relay() -> Self {
        UpstreamLimits {
            forwards: true,
            ..UpstreamLimits::default()
        }
    }

    /// Returns whether nothing is known of any upstream.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the limit of an upstream, if it has one.
    pub fn get(&self, upstream: UpstreamStart) -> Option<RequestsPerS> {
        self.known.get(&upstream)?.limit
    }

    /// Returns whether an upstream has a limit and an answer has shown that lately.
    ///
    /// Placement avoids such an upstream, but not for longer: without requests it could not withdraw
    /// its limit.
    pub fn is_recently_limited(&self, upstream: UpstreamStart, now: TimeMs) -> bool {
        let known = self.known.get(&upstream);
        known.is_some_and(|known| known.limit.is_some() && now.since(known.sent_at) < AVOIDANCE_MS)
    }

    /// Returns what is known of an upstream with a limit.
    pub fn report(&self, upstream: UpstreamStart, now: TimeMs) -> Option<LimitReport> {
        let known = self.known.get(&upstream)?;
        known.limit.map(|_| known.report(upstream, now))
    }

    /// Records what the answer to a request says about a limit; returns the change that it makes.
    pub fn record_answer(
        &mut self,
        upstream: UpstreamStart,
        limit: Option<RequestsPerS>,
        (sent_at, now): (TimeMs, TimeMs),
    ) -> Option<LimitChange> {
        let report = LimitReport {
            upstream,
            limit,
            age_ms: now.since(sent_at),
        };
        let change = self.update(&report, true, now)?;
        if let Some(known) = self.known.get_mut(&upstream) {
            known.has_news = true;
        }
        Some(change)
    }

    /// Adds what another process has announced; returns the changes that it makes.
    pub fn merge(&mut self, reports: &[LimitReport], now: TimeMs) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in reports {
            let Some(change) = self.update(report, false, now) else {
                continue;
            };
            if let Some(known) = self.known.get_mut(&report.upstream) {
                known.has_news |= self.forwards;
            }
            changes.push(change);
        }
        changes
    }

    fn update(&mut self, report: &LimitReport, is_own: bool, now: TimeMs) -> Option<LimitChange> {
        let sent_at = now - report.age_ms;
        let known = self.known.get(&report.upstream).copied();
        let is_outdated = known.is_some_and(|known| sent_at < known.sent_at);
        let is_needless = known.is_none() && report.limit.is_none();
        let has_no_room = known.is_none() && self.known.len() >= MAX_UPSTREAMS;
        if is_outdated || is_needless || has_no_room {
            return None;
        }
        let updated = Known {
            limit: report.limit,
            sent_at,
            received_at: now,
            is_own,
            has_news: known.is_some_and(|known| known.has_news),
            announced_at: known.and_then(|known| known.announced_at),
        };
        self.known.insert(report.upstream, updated);
        let before = known.and_then(|known| known.limit);
        (before != report.limit).then_some(LimitChange {
            upstream: report.upstream,
            before,
            after: report.limit,
        })
    }

    /// Returns whether something has not been announced yet.
    pub fn has_news(&self) -> bool {
        self.known.values().any(|known| known.has_news)
    }

    /// Makes all limits due, for a process that has just joined.
    pub fn announce_all(&mut self) {
        for known in self.known.values_mut() {
            known.announced_at = None;
        }
    }

    /// Returns what is to be announced now: changes at once, and limits again after a while. A router
    /// announces again only what it has learned itself; relays announce all.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<LimitReport> {
        let forwards = self.forwards;
        let mut due: Vec<(&UpstreamStart, &mut Known)> = self
            .known
            .iter_mut()
            .filter(|(_, known)| known.has_news || known.is_due_again(forwards, now))
            .collect();
        due.sort_by_key(|(upstream, known)| (!known.has_news, known.announced_at, **upstream));
        due.truncate(MAX_REPORTS);
        due.into_iter()
            .map(|(upstream, known)| {
                known.has_news = false;
                known.announced_at = Some(now);
                known.report(*upstream, now)
            })
            .collect()
    }

    /// Removes upstreams about which nothing was learned for long.
    pub fn expire(&mut self, now: TimeMs) {
        self.known
            .retain(|_, known| now.since(known.received_at) < RETENTION_MS);
    }
}

impl Known {
    fn report(&self, upstream: UpstreamStart, now: TimeMs) -> LimitReport {
        LimitReport {
            upstream,
            limit: self.limit,
            age_ms: now.since(self.sent_at),
        }
    }

    fn is_due_again(&self, forwards: bool, now: TimeMs) -> bool {
        let is_repeated = self.limit.is_some() || now.since(self.sent_at) < WITHDRAWAL_REPEAT_MS;
        let is_due = self
            .announced_at
            .is_none_or(|at| now.since(at) >= REPEAT_MS);
        (forwards || self.is_own) && is_repeated && is_due
    }
}

//! Evidence about one prompt part.

use std::collections::BTreeMap;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::TimeMs;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;

/// Ends of upstreams that make a part a suspect.
const SUSPECT_ENDS: usize = 2;

/// Ends of upstreams that put a part into quarantine. Two may be chance: one crash, and one more that
/// meets the retry.
const QUARANTINE_ENDS: usize = 3;

/// Maximum number of ends kept; the earliest are dropped first.
const MAX_ENDS: usize = 8;

/// Age at which an end no longer counts.
const END_EXPIRY_MS: DurationMs = DurationMs(600_000);

/// Time for which an answer is remembered, so that reports of earlier ends have no effect.
const ANSWER_RETENTION_MS: DurationMs = DurationMs(5_000);

/// Time without new evidence after which a quarantine ends.
const QUARANTINE_EXPIRY_MS: DurationMs = DurationMs(86_400_000);

/// Why a part is in quarantine.
#[derive(Clone, Copy, Debug)]
enum Quarantine {
    /// Upstreams ended under it.
    Ends,
    /// A stored record names it, read at this time.
    Restored(TimeMs),
}

/// Ends of upstreams under one part, and the last answer on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// Ends since the last answer; an upstream that held several requests counts once.
    ends: BTreeMap<UpstreamStart, TimeMs>,
    answered_at: Option<TimeMs>,
    quarantine: Option<Quarantine>,
    /// Time of the last end, answer or read record.
    changed_at: TimeMs,
    /// Whether there is something to announce.
    pub(crate) has_news: bool,
}

impl Evidence {
    /// Adds an end, unless it is known or an answer began after it.
    pub(crate) fn add_end(&mut self, start: UpstreamStart, at: TimeMs) {
        if self.is_outdated(at) || self.ends.contains_key(&start) {
            return;
        }
        self.ends.insert(start, at);
        self.changed_at = self.changed_at.max(at);
        self.has_news = true;
        if self.ends.len() > MAX_ENDS {
            let earliest = self.ends.iter().min_by_key(|(_, at)| **at);
            if let Some(start) = earliest.map(|(start, _)| *start) {
                self.ends.remove(&start);
            }
        }
        if self.ends.len() >= QUARANTINE_ENDS {
            self.quarantine.get_or_insert(Quarantine::Ends);
        }
    }

    /// Returns whether an end is discarded by a known answer.
    pub(crate) fn is_outdated(&self, at: TimeMs) -> bool {
        self.answered_at.is_some_and(|answered| at <= answered)
    }

    /// Adds an answer that began on the part; returns whether it ended a quarantine.
    pub(crate) fn add_answer(&mut self, at: TimeMs) -> bool {
        if self.answered_at.is_some_and(|answered| at <= answered) {
            return false;
        }
        let ends_before = self.ends.len();
        self.answered_at = Some(at);
        self.changed_at = self.changed_at.max(at);
        self.ends.retain(|_, end| *end > at);
        let released = match self.quarantine {
            Some(Quarantine::Ends) => self.ends.len() < QUARANTINE_ENDS,
            Some(Quarantine::Restored(read_at)) => read_at <= at,
            None => false,
        };
        if released {
            self.quarantine = None;
        }
        self.has_news |= released || self.ends.len() < ends_before;
        released
    }

    /// Puts the part into quarantine, as a stored record says.
    pub(crate) fn restore(&mut self, now: TimeMs) {
        self.quarantine.get_or_insert(Quarantine::Restored(now));
        self.changed_at = now;
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.is_quarantined() || self.ends.len() >= SUSPECT_ENDS
    }

    /// Returns how much the evidence is worth when there is no room for all.
    pub(crate) fn weight(&self) -> (bool, usize, TimeMs) {
        (self.is_quarantined(), self.ends.len(), self.changed_at)
    }

    /// Returns the number of ends since the last answer.
    pub(crate) fn ends(&self) -> usize {
        self.ends.len()
    }

    /// Drops what has expired; returns whether anything is left.
    pub(crate) fn expire(&mut self, now: TimeMs) -> bool {
        self.ends.retain(|_, at| now.since(*at) < END_EXPIRY_MS);
        if now.since(self.changed_at) >= QUARANTINE_EXPIRY_MS {
            self.quarantine = None;
        }
        let is_recent = |at: &TimeMs| now.since(*at) < ANSWER_RETENTION_MS;
        self.answered_at = self.answered_at.filter(is_recent);
        !self.ends.is_empty() || self.quarantine.is_some() || self.answered_at.is_some()
    }

    /// Returns what to announce about the part.
    pub(crate) fn report(&self, part: ModelPart, now: TimeMs) -> SuspectReport {
        let ends = self.ends.iter();
        SuspectReport {
            part,
            ends: ends.map(|(start, at)| (*start, now.since(*at))).collect(),
            answered_age_ms: self.answered_at.map(|at| now.since(at)),
        }
    }
}

//! Evidence about one prompt part or one request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;

/// What explains ends of upstreams by itself.
pub(crate) type Causes = HashMap<UpstreamStart, Suspect>;

/// Ends of upstreams that make a suspect.
const SUSPECT_ENDS: usize = 2;

/// Ends of upstreams that lead to quarantine. Two may be chance: one crash, and one more that
/// meets the retry.
const QUARANTINE_ENDS: usize = 3;

/// Time within which ends have a common cause outside the requests: routers find out within 100 ms, and
/// hear of it later.
const MOMENT_MS: DurationMs = DurationMs(250);

/// Maximum number of ends kept; the earliest are dropped first.
const MAX_ENDS: usize = 8;

/// Time for which an answer is remembered, so that reports of earlier ends have no effect.
const ANSWER_RETENTION_MS: DurationMs = DurationMs(5_000);

/// Time without new evidence after which a quarantine ends.
const QUARANTINE_EXPIRY_MS: DurationMs = DurationMs(86_400_000);

/// Why something is in quarantine.
#[derive(Clone, Copy, Debug)]
enum Quarantine {
    /// Upstreams ended under it.
    Ends,
    /// A stored record names it, read at this time.
    Restored(TimeMs),
}

/// Returns the number of moments at which something happened.
fn count_moments(times: &mut [TimeMs]) -> usize {
    times.sort_unstable();
    let mut moments = 0;
    let mut began_at = None;
    for at in times {
        if began_at.is_none_or(|began_at| at.since(began_at) > MOMENT_MS) {
            began_at = Some(*at);
            moments += 1;
        }
    }
    moments
}

/// Drops the earliest of the ends if there are too many.
fn drop_earliest(ends: &mut BTreeMap<UpstreamStart, TimeMs>) {
    if ends.len() <= MAX_ENDS {
        return;
    }
    let earliest = ends.iter().min_by_key(|(_, at)| **at);
    if let Some(start) = earliest.map(|(start, _)| *start) {
        ends.remove(&start);
    }
}

/// Ends of upstreams under one part or request, and the last answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evidence {
    /// Ends since the last answer; an upstream that held several requests counts once.
    ends: BTreeMap<UpstreamStart, TimeMs>,
    /// The same ends, which are kept for as long as a quarantine rests on them.
    accusing: BTreeMap<UpstreamStart, TimeMs>,
    /// Number of ends that do not have a common cause.
    counted: usize,
    answered_at: Option<TimeMs>,
    /// Whether it was answered, then or not long before its ends; not kept for requests.
    pub(crate) is_proven: bool,
    quarantine: Option<Quarantine>,
    /// Time of the last end, answer or read record.
    changed_at: TimeMs,
    /// Whether there is something to announce.
    pub(crate) has_news: bool,
    /// Whether others may still keep it in quarantine.
    was_released: bool,
}

impl Evidence {
    /// Adds an end, unless it is known or an answer began after it.
    pub(crate) fn add_end(&mut self, start: UpstreamStart, at: TimeMs, causes: &Causes) {
        if self.is_outdated(at) || self.ends.contains_key(&start) {
            return;
        }
        self.ends.insert(start, at);
        self.accusing.insert(start, at);
        drop_earliest(&mut self.accusing);
        self.changed_at = self.changed_at.max(at);
        self.has_news = true;
        drop_earliest(&mut self.ends);
        self.count(causes);
        if self.counted >= QUARANTINE_ENDS {
            self.quarantine.get_or_insert(Quarantine::Ends);
        }
    }

    fn count(&mut self, causes: &Causes) {
        self.counted = self.counted_of(&self.ends, causes);
    }

    /// Counts ends; those that one cause explains count once, and if there was an answer before, so do
    /// those at one moment: several upstreams ended together, whatever they held.
    fn counted_of(&self, ends: &BTreeMap<UpstreamStart, TimeMs>, causes: &Causes) -> usize {
        let explaining: BTreeSet<&Suspect> =
            ends.keys().filter_map(|start| causes.get(start)).collect();
        let ends = ends.iter();
        let unexplained = ends.filter(|(start, _)| !causes.contains_key(*start));
        let mut times: Vec<TimeMs> = unexplained.map(|(_, at)| *at).collect();
        let unexplained = match self.is_proven {
            true => count_moments(&mut times),
            false => times.len(),
        };
        explaining.len() + unexplained
    }

    /// Takes back the ends of upstreams that have not ended; returns whether a quarantine rested on them, which
    /// ends.
    pub(crate) fn withdraw(
        &mut self,
        has_not_ended: &dyn Fn(UpstreamStart, TimeMs) -> bool,
        causes: &Causes,
    ) -> bool {
        let before = self.accusing.len();
        self.ends.retain(|start, at| !has_not_ended(*start, *at));
        self.accusing
            .retain(|start, at| !has_not_ended(*start, *at));
        if self.accusing.len() == before {
            return false;
        }
        self.count(causes);
        let is_unfounded = self.counted_of(&self.accusing, causes) < QUARANTINE_ENDS;
        let released = is_unfounded && matches!(self.quarantine, Some(Quarantine::Ends));
        if released {
            self.quarantine = None;
        }
        released
    }

    /// Counts the ends again after the known causes have changed; returns whether a quarantine began or
    /// ended.
    pub(crate) fn judge(&mut self, causes: &Causes) -> bool {
        self.count(causes);
        let was_quarantined = self.is_quarantined();
        if self.counted >= QUARANTINE_ENDS {
            self.quarantine.get_or_insert(Quarantine::Ends);
        } else if self.ends.len() >= QUARANTINE_ENDS
            && matches!(self.quarantine, Some(Quarantine::Ends))
        {
            self.quarantine = None;
        }
        was_quarantined != self.is_quarantined()
    }

    /// Returns the starts of the upstreams that ended.
    pub(crate) fn starts(&self) -> impl Iterator<Item = &UpstreamStart> {
        self.ends.keys()
    }

    /// Returns whether an end is discarded by a known answer.
    pub(crate) fn is_outdated(&self, at: TimeMs) -> bool {
        self.answered_at.is_some_and(|answered| at <= answered)
    }

    /// Adds an answer; returns whether it ended a quarantine.
    pub(crate) fn add_answer(&mut self, at: TimeMs, causes: &Causes) -> bool {
        if self.answered_at.is_some_and(|answered| at <= answered) {
            return false;
        }
        let ends_before = self.ends.len();
        self.answered_at = Some(at);
        self.changed_at = self.changed_at.max(at);
        self.ends.retain(|_, end| *end > at);
        self.accusing.retain(|_, end| *end > at);
        self.count(causes);
        let released = match self.quarantine {
            Some(Quarantine::Ends) => self.counted < QUARANTINE_ENDS,
            Some(Quarantine::Restored(read_at)) => read_at <= at,
            None => false,
        };
        if released {
            self.quarantine = None;
            self.was_released = true;
        }
        self.has_news |= released || self.ends.len() < ends_before;
        released
    }

    /// Begins a quarantine, as a stored record says.
    pub(crate) fn restore(&mut self, now: TimeMs) {
        self.quarantine.get_or_insert(Quarantine::Restored(now));
        self.changed_at = now;
    }

    pub(crate) fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.is_quarantined() || self.counted >= SUSPECT_ENDS
    }

    pub(crate) fn has_several_ends(&self) -> bool {
        self.ends.len() >= SUSPECT_ENDS
    }

    /// Returns whether others act on what is to be announced: a suspect, or the end of a quarantine.
    pub(crate) fn is_urgent(&self) -> bool {
        self.was_released || self.is_suspect()
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
    pub(crate) fn expire(
        &mut self,
        now: TimeMs,
        end_expiry_ms: DurationMs,
        causes: &Causes,
    ) -> bool {
        let before = self.ends.len();
        self.ends.retain(|_, at| now.since(*at) < end_expiry_ms);
        if self.ends.len() < before {
            self.count(causes);
        }
        if now.since(self.changed_at) >= QUARANTINE_EXPIRY_MS {
            self.quarantine = None;
        }
        if !self.is_quarantined() && self.accusing.len() > self.ends.len() {
            self.accusing.clone_from(&self.ends);
        }
        let is_recent = |at: &TimeMs| now.since(*at) < ANSWER_RETENTION_MS;
        self.answered_at = self.answered_at.filter(is_recent);
        !self.ends.is_empty() || self.quarantine.is_some() || self.answered_at.is_some()
    }

    /// Returns what to announce, and counts it as announced.
    pub(crate) fn take_report<K>(&mut self, key: K, now: TimeMs) -> SuspectReport<K> {
        self.has_news = false;
        self.was_released = false;
        let ends = self.ends.iter();
        SuspectReport {
            key,
            ends: ends.map(|(start, at)| (*start, now.since(*at))).collect(),
            answered_age_ms: self.answered_at.map(|at| now.since(at)),
        }
    }
}

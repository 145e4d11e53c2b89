//! Prompt parts with evidence against them.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::TimeMs;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;

use crate::evidence::Evidence;

/// Maximum number of parts with evidence. A caller can add parts only by ending upstreams, but the head of
/// one request has room for some thousand.
const MAX_PARTS: usize = 8_192;

/// Maximum number of parts in one announcement; those with the most ends come first.
const MAX_REPORTS: usize = 96;

/// Maximum number of quarantined parts that a verdict names; one transaction of the table takes the records
/// of this many.
const MAX_NAMED_PARTS: usize = 32;

/// Time after which suspects are announced again, as announcements may be lost and processes restart.
const REPEAT_MS: DurationMs = DurationMs(1_000);

/// What the evidence says about the parts of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Nothing stands against the request.
    Clear,
    /// Some upstreams ended under one of its parts: it may be sent, but not again after another end.
    Suspect,
    /// Some or all of the parts in quarantine: the request may be sent as a probe only.
    Quarantined(Vec<ModelPart>),
}

/// What a merge has changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Merged {
    /// Whether something was not known.
    pub has_news: bool,
    /// Parts that are in quarantine now.
    pub quarantined: Vec<ModelPart>,
    /// Parts that have left quarantine.
    pub released: Vec<ModelPart>,
}

/// Merges a report; returns whether its sender does not know of an answer that discards an end.
fn merge_report(evidence: &mut Evidence, report: &SuspectReport, now: TimeMs) -> bool {
    if let Some(age_ms) = report.answered_age_ms {
        evidence.add_answer(now - age_ms);
    }
    let mut sender_lacks_answer = false;
    for (start, age_ms) in &report.ends {
        sender_lacks_answer |= evidence.is_outdated(now - *age_ms);
        evidence.add_end(*start, now - *age_ms);
    }
    sender_lacks_answer
}

/// Prompt parts with evidence against them, as one process knows them.
///
/// Reports of other processes can be merged in any order and more than once.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    parts: HashMap<ModelPart, Evidence>,
    /// Whether merged reports are news to announce.
    forwards: bool,
    announced_at: Option<TimeMs>,
}

impl Suspects {
    /// Creates the state of a relay, which announces what it has merged.
    pub fn relay() -> Self {
        Suspects {
            forwards: true,
            ..Suspects::default()
        }
    }

    /// Returns whether there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the number of parts in quarantine.
    pub fn quarantined(&self) -> usize {
        let parts = self.parts.values();
        parts.filter(|part| part.is_quarantined()).count()
    }

    /// Returns the parts in quarantine.
    pub fn quarantined_parts(&self) -> Vec<ModelPart> {
        let quarantined = self
            .parts
            .iter()
            .filter(|(_, known)| known.is_quarantined());
        let mut parts: Vec<ModelPart> = quarantined.map(|(part, _)| *part).collect();
        parts.sort_unstable();
        parts
    }

    /// Returns the number of ends since the last answer on a part.
    pub fn ends(&self, part: ModelPart) -> usize {
        self.parts.get(&part).map_or(0, Evidence::ends)
    }

    /// Records that an upstream ended while it held a request with these parts and had not begun to
    /// answer; returns some or all of the parts that are in quarantine because of it.
    pub fn record_end(
        &mut self,
        parts: &[ModelPart],
        start: UpstreamStart,
        now: TimeMs,
    ) -> Vec<ModelPart> {
        let mut quarantined = Vec::new();
        // Known parts first: new ones may take the room of others.
        let (known, new): (Vec<ModelPart>, Vec<ModelPart>) = parts
            .iter()
            .partition(|part| self.parts.contains_key(*part));
        for part in known.iter().chain(&new) {
            let evidence = self.evidence(*part);
            let before = evidence.is_quarantined();
            evidence.add_end(start, now);
            if !before && evidence.is_quarantined() {
                quarantined.push(*part);
            }
        }
        quarantined.truncate(MAX_NAMED_PARTS);
        quarantined
    }

    /// Records that an answer began on these parts; returns the parts that leave quarantine.
    pub fn record_answer(&mut self, parts: &[ModelPart], now: TimeMs) -> Vec<ModelPart> {
        let released = parts.iter().filter(|part| {
            let evidence = self.parts.get_mut(part);
            evidence.is_some_and(|evidence| evidence.add_answer(now))
        });
        released.copied().collect()
    }

    /// Puts a part into quarantine that a stored record names.
    pub fn restore(&mut self, part: ModelPart, now: TimeMs) {
        self.evidence(part).restore(now);
    }

    /// Adds what another process has announced.
    pub fn merge(&mut self, reports: Vec<SuspectReport>, now: TimeMs) -> Merged {
        let forwards = self.forwards;
        let mut merged = Merged::default();
        for report in reports {
            if report.ends.is_empty() && !self.parts.contains_key(&report.part) {
                continue;
            }
            let evidence = self.evidence(report.part);
            let was_quarantined = evidence.is_quarantined();
            let had_news = std::mem::take(&mut evidence.has_news);
            let sender_lacks_answer = merge_report(evidence, &report, now);
            merged.has_news |= evidence.has_news;
            match (was_quarantined, evidence.is_quarantined()) {
                (false, true) => merged.quarantined.push(report.part),
                (true, false) => merged.released.push(report.part),
                _ => {}
            }
            let is_due = sender_lacks_answer || (forwards && evidence.has_news);
            evidence.has_news = had_news || is_due;
        }
        merged
    }

    /// Returns the evidence about a part.
    fn evidence(&mut self, part: ModelPart) -> &mut Evidence {
        if !self.parts.contains_key(&part) && self.parts.len() >= MAX_PARTS {
            self.drop_weakest();
        }
        self.parts.entry(part).or_default()
    }

    /// Drops the parts with the weakest evidence: quarantined ones last, then those with the most and
    /// latest ends.
    fn drop_weakest(&mut self) {
        let parts = self.parts.iter();
        let mut weakest: Vec<_> = parts.map(|(part, known)| (known.weight(), *part)).collect();
        weakest.sort_unstable();
        for (_, part) in weakest.into_iter().take(MAX_PARTS / 4) {
            self.parts.remove(&part);
        }
    }

    /// Returns what the evidence says about a request with these parts.
    pub fn verdict(&self, parts: &[ModelPart]) -> Verdict {
        let known = |part: &&ModelPart| self.parts.get(part);
        let is_quarantined = |part: &&ModelPart| known(part).is_some_and(Evidence::is_quarantined);
        let mut quarantined: Vec<ModelPart> =
            parts.iter().filter(is_quarantined).copied().collect();
        if !quarantined.is_empty() {
            quarantined.sort_unstable();
            quarantined.dedup();
            quarantined.truncate(MAX_NAMED_PARTS);
            return Verdict::Quarantined(quarantined);
        }
        let is_suspect = |part: &ModelPart| known(&part).is_some_and(Evidence::is_suspect);
        match parts.iter().any(is_suspect) {
            true => Verdict::Suspect,
            false => Verdict::Clear,
        }
    }

    /// Returns whether something has not been announced yet.
    pub fn has_news(&self) -> bool {
        self.parts.values().any(|evidence| evidence.has_news)
    }

    /// Returns what is to be announced now: news at once, and suspects again after a while.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<SuspectReport> {
        let is_repeat = self
            .announced_at
            .is_none_or(|at| now.since(at) >= REPEAT_MS);
        let is_due =
            |evidence: &Evidence| evidence.has_news || (is_repeat && evidence.is_suspect());
        let mut due: Vec<(&ModelPart, &mut Evidence)> = self
            .parts
            .iter_mut()
            .filter(|(_, evidence)| is_due(evidence))
            .collect();
        if is_repeat {
            self.announced_at = Some(now);
        }
        due.sort_by_key(|(part, evidence)| (std::cmp::Reverse(evidence.ends()), **part));
        due.truncate(MAX_REPORTS);
        due.into_iter()
            .map(|(part, evidence)| {
                evidence.has_news = false;
                evidence.report(*part, now)
            })
            .collect()
    }

    /// Drops evidence that has expired.
    pub fn expire(&mut self, now: TimeMs) {
        self.parts.retain(|_, evidence| evidence.expire(now));
    }
}

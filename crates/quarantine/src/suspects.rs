//! Prompt parts, or requests, with evidence against them.

use std::collections::hash_map::Entry;
use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::RequestDigest;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;

use crate::evidence::Causes;
use crate::evidence::Evidence;
use crate::key::SuspectKey;
use crate::proven::Proven;

/// Maximum number of keys with evidence. A caller can add them only by ending upstreams, but the head of
/// one request has room for some thousand parts.
const MAX_KEYS: usize = 8_192;

/// Maximum number of keys in one announcement; those with the most ends come first.
const MAX_REPORTS: usize = 96;

/// Maximum number of reports within [`REPEAT_MS`] on which nobody acts yet. An upstream that ends holds up
/// to some hundred requests, and many may end at once.
const MAX_MINOR_REPORTS: usize = 96;

/// Maximum number of quarantined parts that a verdict names: one transaction of the table takes the records
/// of this many.
const MAX_NAMED_PARTS: usize = 32;

/// Time after which suspects are announced again, as announcements may be lost and processes restart.
const REPEAT_MS: DurationMs = DurationMs(1_000);

/// What the evidence says about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict<K = Suspect> {
    /// Nothing stands against the request.
    Clear,
    /// Some upstreams ended under it or one of its parts: it may be sent, but not again after another end.
    Suspect,
    /// Some or all of what is in quarantine: the request may be sent as a probe only.
    Quarantined(Vec<K>),
}

/// What a merge, or an end of an upstream, has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Merged<K> {
    /// Whether something was not known.
    pub has_news: bool,
    /// What is in quarantine now.
    pub quarantined: Vec<K>,
    /// What has left quarantine.
    pub released: Vec<K>,
}

impl<K> Merged<K> {
    /// Converts the keys.
    pub(crate) fn map<T>(self, convert: impl Fn(K) -> T) -> Merged<T> {
        Merged {
            has_news: self.has_news,
            quarantined: self.quarantined.into_iter().map(&convert).collect(),
            released: self.released.into_iter().map(&convert).collect(),
        }
    }
}

impl<K> Default for Merged<K> {
    fn default() -> Self {
        Merged {
            has_news: false,
            quarantined: Vec::new(),
            released: Vec::new(),
        }
    }
}

/// Merges a report; returns whether its sender does not know of an answer that discards an end.
fn merge_report<K: SuspectKey>(
    evidence: &mut Evidence,
    report: &SuspectReport<K>,
    causes: &Causes,
    now: TimeMs,
) -> bool {
    if let Some(age_ms) = report.answered_age_ms {
        evidence.is_proven |= K::EXPLAINS_ENDS;
        evidence.add_answer(now - age_ms, causes);
    }
    let mut sender_lacks_answer = false;
    for (start, age_ms) in &report.ends {
        sender_lacks_answer |= evidence.is_outdated(now - *age_ms);
        evidence.add_end(*start, now - *age_ms, causes);
    }
    sender_lacks_answer
}

/// Adds a cause of ends, the least one if there are several; returns whether one had none.
fn add_causes<'a>(
    causes: &mut Causes,
    cause: Suspect,
    starts: impl Iterator<Item = &'a UpstreamStart>,
) -> bool {
    let mut is_new = false;
    for start in starts {
        let known = causes.entry(*start);
        is_new |= matches!(known, Entry::Vacant(_));
        let known = known.or_insert(cause);
        *known = (*known).min(cause);
    }
    is_new
}

/// Returns whether a key explains its ends for keys that were answered: it never was, and has several.
fn explains<K: SuspectKey>(evidence: &Evidence) -> bool {
    K::EXPLAINS_ENDS && !evidence.is_proven && evidence.has_several_ends()
}

/// Prompt parts, or requests, with evidence against them, as one process knows them.
///
/// Reports of other processes can be merged in any order and more than once.
#[derive(Clone, Debug)]
pub struct Suspects<K> {
    known: HashMap<K, Evidence>,
    /// Keys with answers, of which most have no evidence.
    proven: Proven<K>,
    /// Ends that requests explain by themselves.
    causes: Causes,
    /// The same, and ends that keys without an answer explain for those that have one.
    causes_for_proven: Causes,
    /// Whether merged reports are news to announce.
    forwards: bool,
    announced_at: Option<TimeMs>,
    /// Reports since then on which nobody acts yet.
    minor_reports: usize,
}

impl<K> Default for Suspects<K> {
    fn default() -> Self {
        Suspects {
            known: HashMap::new(),
            proven: Proven::default(),
            causes: Causes::new(),
            causes_for_proven: Causes::new(),
            forwards: false,
            announced_at: None,
            minor_reports: 0,
        }
    }
}

impl<K: SuspectKey> Suspects<K> {
    /// Creates the state of a relay, which announces what it has merged.
    pub fn relay() -> Self {
        Suspects {
            forwards: true,
            ..Suspects::default()
        }
    }

    /// Returns whether there is no evidence at all.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what is in quarantine.
    pub fn quarantined(&self) -> Vec<K> {
        let known = self.known.iter();
        let quarantined = known.filter(|(_, evidence)| evidence.is_quarantined());
        let mut keys: Vec<K> = quarantined.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        keys
    }

    /// Returns the number of ends since the last answer.
    pub fn ends(&self, key: K) -> usize {
        self.known.get(&key).map_or(0, Evidence::ends)
    }

    /// Replaces the ends that requests explain by themselves; returns what left quarantine because of it.
    pub(crate) fn set_causes(&mut self, causes: Causes) -> Vec<K> {
        if self.causes == causes {
            return Vec::new();
        }
        self.causes = causes;
        self.update_causes_for_proven();
        self.judge_all()
    }

    /// Collects all ends that are explained for keys with an answer.
    fn update_causes_for_proven(&mut self) {
        self.causes_for_proven = self.causes.clone();
        let known = self.known.iter();
        let explaining = known.filter(|(_, evidence)| explains::<K>(evidence));
        for (key, evidence) in explaining {
            add_causes(
                &mut self.causes_for_proven,
                (*key).into(),
                evidence.starts(),
            );
        }
    }

    /// Adds the ends that keys explain by themselves, and to what has changed the keys that have left
    /// quarantine because of it.
    fn explain_ends(&mut self, keys: &[K], merged: &mut Merged<K>) {
        let mut is_new = false;
        for key in keys {
            let evidence = self.known.get(key);
            if let Some(evidence) = evidence.filter(|evidence| explains::<K>(evidence)) {
                let causes = &mut self.causes_for_proven;
                is_new |= add_causes(causes, (*key).into(), evidence.starts());
            }
        }
        if !is_new {
            return;
        }
        for released in self.judge_all() {
            // A quarantine that has just begun is none.
            let begun = merged.quarantined.len();
            merged.quarantined.retain(|key| *key != released);
            if merged.quarantined.len() == begun {
                merged.released.push(released);
            }
        }
    }

    /// Adds a request that explains ends by itself; returns what left quarantine because of it.
    pub(crate) fn add_cause(&mut self, request: RequestDigest, starts: &[UpstreamStart]) -> Vec<K> {
        add_causes(&mut self.causes_for_proven, request.into(), starts.iter());
        match add_causes(&mut self.causes, request.into(), starts.iter()) {
            true => self.judge_all(),
            false => Vec::new(),
        }
    }

    /// Counts all ends again; returns what left quarantine because of it.
    fn judge_all(&mut self) -> Vec<K> {
        let mut released = Vec::new();
        for (key, evidence) in &mut self.known {
            let causes = match evidence.is_proven {
                true => &self.causes_for_proven,
                false => &self.causes,
            };
            if evidence.judge(causes) && !evidence.is_quarantined() {
                released.push(*key);
            }
        }
        released
    }

    /// Records that an upstream ended while it held a request with these keys; returns some or all of those
    /// that are in quarantine because of it, and those that have left it since others explain their ends.
    pub fn record_end(&mut self, keys: &[K], start: UpstreamStart, now: TimeMs) -> Merged<K> {
        let mut quarantined = Vec::new();
        // Known keys first: new ones may take the room of others.
        let (known, new): (Vec<K>, Vec<K>) =
            keys.iter().partition(|key| self.known.contains_key(*key));
        for key in known.iter().chain(&new) {
            let (evidence, causes) = self.evidence(*key, now);
            let before = evidence.is_quarantined();
            evidence.add_end(start, now, causes);
            if !before && evidence.is_quarantined() {
                quarantined.push(*key);
            }
        }
        let mut merged = Merged {
            quarantined,
            ..Merged::default()
        };
        self.explain_ends(keys, &mut merged);
        merged.quarantined.truncate(MAX_NAMED_PARTS);
        merged
    }

    /// Records an answer under these keys; returns those that leave quarantine.
    pub fn record_answer(&mut self, keys: &[K], now: TimeMs) -> Vec<K> {
        let mut released = Vec::new();
        let mut explained = false;
        for key in keys {
            if K::EXPLAINS_ENDS {
                self.proven.record(*key, now);
            }
            let Some(evidence) = self.known.get_mut(key) else {
                continue;
            };
            explained |= explains::<K>(evidence);
            evidence.is_proven |= K::EXPLAINS_ENDS;
            if evidence.add_answer(now, &self.causes_for_proven) {
                released.push(*key);
            }
        }
        if explained {
            self.update_causes_for_proven();
            released.extend(self.judge_all());
        }
        released
    }

    /// Takes back the ends of upstreams that have not ended; returns what leaves quarantine because of it.
    pub(crate) fn withdraw(
        &mut self,
        has_not_ended: &dyn Fn(UpstreamStart, TimeMs) -> bool,
    ) -> Vec<K> {
        let mut released = Vec::new();
        for (key, evidence) in &mut self.known {
            let causes = match evidence.is_proven {
                true => &self.causes_for_proven,
                false => &self.causes,
            };
            if evidence.withdraw(has_not_ended, causes) {
                released.push(*key);
            }
        }
        self.update_causes_for_proven();
        released.extend(self.judge_all());
        released
    }

    /// Begins a quarantine that a stored record names.
    pub fn restore(&mut self, key: K, now: TimeMs) {
        self.evidence(key, now).0.restore(now);
    }

    /// Adds what another process has announced.
    pub fn merge(&mut self, reports: Vec<SuspectReport<K>>, now: TimeMs) -> Merged<K> {
        let forwards = self.forwards;
        let mut merged = Merged::default();
        let keys: Vec<K> = reports.iter().map(|report| report.key).collect();
        for report in reports {
            if report.ends.is_empty() && !self.known.contains_key(&report.key) {
                continue;
            }
            let (evidence, causes) = self.evidence(report.key, now);
            let was_quarantined = evidence.is_quarantined();
            let had_news = std::mem::take(&mut evidence.has_news);
            let sender_lacks_answer = merge_report(evidence, &report, causes, now);
            merged.has_news |= evidence.has_news;
            match (was_quarantined, evidence.is_quarantined()) {
                (false, true) => merged.quarantined.push(report.key),
                (true, false) => merged.released.push(report.key),
                _ => {}
            }
            let is_due = sender_lacks_answer || (forwards && evidence.has_news);
            evidence.has_news = had_news || is_due;
        }
        self.explain_ends(&keys, &mut merged);
        merged
    }

    /// Returns the evidence under a key, and the known causes.
    fn evidence(&mut self, key: K, now: TimeMs) -> (&mut Evidence, &Causes) {
        if !self.known.contains_key(&key) && self.known.len() >= MAX_KEYS {
            self.drop_weakest();
        }
        let evidence = self.known.entry(key).or_default();
        evidence.is_proven |= self.proven.contains(key, now);
        let causes = match evidence.is_proven {
            true => &self.causes_for_proven,
            false => &self.causes,
        };
        (evidence, causes)
    }

    /// Drops the weakest evidence of the owner with the most of it: what is in quarantine last, then what
    /// has the most and latest ends.
    fn drop_weakest(&mut self) {
        let mut owned: HashMap<Option<u32>, usize> = HashMap::new();
        for key in self.known.keys() {
            *owned.entry(key.owner()).or_default() += 1;
        }
        let largest = owned.iter().max_by_key(|(owner, keys)| (**keys, **owner));
        let Some(owner) = largest.map(|(owner, _)| *owner) else {
            return;
        };
        let known = self.known.iter().filter(|(key, _)| key.owner() == owner);
        let mut weakest: Vec<_> = known.map(|(key, known)| (known.weight(), *key)).collect();
        weakest.sort_unstable();
        let dropped = (weakest.len() / 4).max(1);
        for (_, key) in weakest.into_iter().take(dropped) {
            self.known.remove(&key);
        }
    }

    /// Returns what the evidence says about a request with these keys.
    pub fn verdict(&self, keys: &[K]) -> Verdict<K> {
        let known = |key: &&K| self.known.get(*key);
        let is_quarantined = |key: &&K| known(key).is_some_and(Evidence::is_quarantined);
        let mut quarantined: Vec<K> = keys.iter().filter(is_quarantined).copied().collect();
        if !quarantined.is_empty() {
            quarantined.sort_unstable();
            quarantined.dedup();
            quarantined.truncate(MAX_NAMED_PARTS);
            return Verdict::Quarantined(quarantined);
        }
        let is_suspect = |key: &K| known(&key).is_some_and(Evidence::is_suspect);
        match keys.iter().any(is_suspect) {
            true => Verdict::Suspect,
            false => Verdict::Clear,
        }
    }

    /// Returns whether something has not been announced yet.
    pub fn has_news(&self) -> bool {
        self.known.values().any(|evidence| evidence.has_news)
    }

    /// Returns what is to be announced now: news at once, and suspects again after a while.
    pub fn take_due(&mut self, now: TimeMs) -> Vec<SuspectReport<K>> {
        let is_repeat = self
            .announced_at
            .is_none_or(|at| now.since(at) >= REPEAT_MS);
        if is_repeat {
            self.announced_at = Some(now);
            self.minor_reports = 0;
        }
        let is_due =
            |evidence: &Evidence| evidence.has_news || (is_repeat && evidence.is_suspect());
        let mut due: Vec<(&K, &mut Evidence)> = self
            .known
            .iter_mut()
            .filter(|(_, evidence)| is_due(evidence))
            .collect();
        due.sort_by_key(|(key, evidence)| {
            let urgency = (evidence.is_urgent(), evidence.ends());
            (std::cmp::Reverse(urgency), **key)
        });
        let urgent = due.iter().take_while(|(_, evidence)| evidence.is_urgent());
        let minor = MAX_MINOR_REPORTS.saturating_sub(self.minor_reports);
        let urgent = urgent.count();
        due.truncate((urgent + minor).min(MAX_REPORTS));
        self.minor_reports += due.len().saturating_sub(urgent);
        due.into_iter()
            .map(|(key, evidence)| evidence.take_report(*key, now))
            .collect()
    }

    /// Drops evidence that has expired.
    pub fn expire(&mut self, now: TimeMs) {
        let causes = &self.causes;
        self.known
            .retain(|_, evidence| evidence.expire(now, K::END_EXPIRY_MS, causes));
        self.update_causes_for_proven();
        self.judge_all();
    }
}

impl Suspects<RequestDigest> {
    /// Returns the ends that requests explain by themselves: those of the same request under which several
    /// upstreams ended.
    pub(crate) fn causes(&self) -> Causes {
        let mut causes = Causes::new();
        let suspects = self.known.iter();
        for (request, evidence) in suspects.filter(|(_, evidence)| evidence.is_suspect()) {
            add_causes(&mut causes, (*request).into(), evidence.starts());
        }
        causes
    }

    /// Returns the upstreams whose ends a request explains by itself, if it is a suspect.
    pub(crate) fn explained(&self, request: RequestDigest) -> Vec<UpstreamStart> {
        let evidence = self.known.get(&request);
        let suspect = evidence.filter(|evidence| evidence.is_suspect());
        suspect.map_or_else(Vec::new, |suspect| suspect.starts().copied().collect())
    }
}

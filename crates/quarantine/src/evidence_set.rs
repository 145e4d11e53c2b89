//! Evidence against prompt parts and against whole requests.

use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;

use crate::suspects::Merged;
use crate::suspects::Suspects;
use crate::suspects::Verdict;

/// Evidence against prompt parts and against whole requests, as a router knows it.
///
/// An end counts against the request and against its parts. Once the same request was held in several
/// ends, it explains them by itself, and all of them count as one end against the parts. So does a part that
/// was never answered, against parts that were: those are often sent together with it.
#[derive(Clone, Debug, Default)]
pub struct EvidenceSet {
    parts: Suspects<ModelPart>,
    requests: Suspects<RequestDigest>,
}

/// What is to be announced.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DueReports {
    /// Evidence against parts.
    pub parts: Vec<SuspectReport>,
    /// Evidence against requests.
    pub requests: Vec<SuspectReport<RequestDigest>>,
}

impl EvidenceSet {
    /// Returns whether there is no evidence at all.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.requests.is_empty()
    }

    /// Returns what is in quarantine.
    pub fn quarantined(&self) -> Vec<Suspect> {
        let requests = self.requests.quarantined();
        to_suspects(requests, self.parts.quarantined())
    }

    /// Returns the number of ends since the last answer.
    pub fn ends(&self, suspect: Suspect) -> usize {
        match suspect {
            Suspect::Part(part) => self.parts.ends(part),
            Suspect::Request(request) => self.requests.ends(request),
        }
    }

    /// Records that an upstream ended while it held a request; the parts are those that its end accuses
    /// ([`accuses_parts`](crate::accuses_parts)). Returns some or all of what is in quarantine because of
    /// it, and what has left it since something else explains its ends.
    pub fn record_end(
        &mut self,
        request: RequestDigest,
        parts: &[ModelPart],
        start: UpstreamStart,
        now: TimeMs,
    ) -> Merged<Suspect> {
        let requests = self.requests.record_end(&[request], start, now);
        // First the causes, so that the parts of a request that explains the end are left alone.
        let explained = self.add_cause(request);
        let mut parts = self.parts.record_end(parts, start, now);
        parts.released.extend(explained);
        Merged {
            has_news: true,
            quarantined: to_suspects(requests.quarantined, parts.quarantined),
            released: to_suspects(requests.released, parts.released),
        }
    }

    /// Records that an answer on these parts has gone on for [`PROOF_MS`](crate::PROOF_MS); returns those
    /// that leave quarantine.
    pub fn record_progress(&mut self, parts: &[ModelPart], now: TimeMs) -> Vec<Suspect> {
        to_suspects(Vec::new(), self.parts.record_answer(parts, now))
    }

    /// Records a whole answer to a request with these parts; returns what leaves quarantine. The digest is
    /// computed only if it is needed.
    pub fn record_answer(
        &mut self,
        request: impl FnOnce() -> RequestDigest,
        parts: &[ModelPart],
        now: TimeMs,
    ) -> Vec<Suspect> {
        let mut released = self.parts.record_answer(parts, now);
        if self.requests.is_empty() {
            return to_suspects(Vec::new(), released);
        }
        let request = request();
        let was_cause = !self.requests.explained(request).is_empty();
        let requests = self.requests.record_answer(&[request], now);
        if was_cause {
            released.extend(self.update_causes());
        }
        to_suspects(requests, released)
    }

    /// Takes back the ends of upstreams that have not ended, as told by a start and the time of its end; returns what
    /// leaves quarantine because of it.
    pub fn withdraw(
        &mut self,
        has_not_ended: impl Fn(UpstreamStart, TimeMs) -> bool,
    ) -> Vec<Suspect> {
        let requests = self.requests.withdraw(&has_not_ended);
        let mut parts = self.parts.withdraw(&has_not_ended);
        parts.extend(self.update_causes());
        to_suspects(requests, parts)
    }

    /// Begins a quarantine that a stored record names.
    pub fn restore(&mut self, suspect: Suspect, now: TimeMs) {
        match suspect {
            Suspect::Part(part) => self.parts.restore(part, now),
            Suspect::Request(request) => self.requests.restore(request, now),
        }
    }

    /// Adds evidence against parts that another process has announced.
    pub fn merge_parts(&mut self, reports: Vec<SuspectReport>, now: TimeMs) -> Merged<Suspect> {
        self.parts.merge(reports, now).map(Suspect::Part)
    }

    /// Adds evidence against requests that another process has announced.
    pub fn merge_requests(
        &mut self,
        reports: Vec<SuspectReport<RequestDigest>>,
        now: TimeMs,
    ) -> Merged<Suspect> {
        let keys: Vec<RequestDigest> = reports.iter().map(|report| report.key).collect();
        let mut merged = self.requests.merge(reports, now).map(Suspect::Request);
        for request in keys {
            let released = self.add_cause(request);
            merged.released.extend(to_suspects(Vec::new(), released));
        }
        merged
    }

    /// Returns what the evidence says about a request, whose digest is computed only if it is needed.
    pub fn verdict(&self, request: impl FnOnce() -> RequestDigest, parts: &[ModelPart]) -> Verdict {
        let request = match self.requests.is_empty() {
            true => Verdict::Clear,
            false => self.requests.verdict(&[request()]),
        };
        match (request, self.parts.verdict(parts)) {
            (Verdict::Quarantined(requests), Verdict::Quarantined(parts)) => {
                Verdict::Quarantined(to_suspects(requests, parts))
            }
            (Verdict::Quarantined(requests), _) => {
                Verdict::Quarantined(to_suspects(requests, Vec::new()))
            }
            (_, Verdict::Quarantined(parts)) => {
                Verdict::Quarantined(to_suspects(Vec::new(), parts))
            }
            (Verdict::Clear, Verdict::Clear) => Verdict::Clear,
            _ => Verdict::Suspect,
        }
    }

    /// Returns whether something has not been announced yet.
    pub fn has_news(&self) -> bool {
        self.parts.has_news() || self.requests.has_news()
    }

    /// Returns what is to be announced now: news at once, and suspects again after a while.
    pub fn take_due(&mut self, now: TimeMs) -> DueReports {
        DueReports {
            parts: self.parts.take_due(now),
            requests: self.requests.take_due(now),
        }
    }

    /// Drops evidence that has expired.
    pub fn expire(&mut self, now: TimeMs) {
        self.parts.expire(now);
        self.requests.expire(now);
        self.update_causes();
    }

    /// Tells the parts which ends a request explains; returns the parts that leave quarantine because of it.
    fn add_cause(&mut self, request: RequestDigest) -> Vec<ModelPart> {
        let starts = self.requests.explained(request);
        self.parts.add_cause(request, &starts)
    }

    /// Tells the parts which ends all requests explain; returns the parts that leave quarantine because of it.
    fn update_causes(&mut self) -> Vec<ModelPart> {
        self.parts.set_causes(self.requests.causes())
    }
}

fn to_suspects(requests: Vec<RequestDigest>, parts: Vec<ModelPart>) -> Vec<Suspect> {
    let requests = requests.into_iter().map(Suspect::Request);
    requests
        .chain(parts.into_iter().map(Suspect::Part))
        .collect()
}

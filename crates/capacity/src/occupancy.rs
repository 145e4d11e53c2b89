//! Slots and KV memory of an engine.
//!
//! Load pattern: long prompts fill an engine's memory while its queue is short. The engine would preempt
//! running requests and compute their prompts twice.

use std::collections::VecDeque;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::Tokens;

use crate::ledger::EngineReport;

/// Age of what a report shows when it arrives: admissions since then are not in it.
const REPORT_LAG_MS: DurationMs = DurationMs(250);

/// Time after which an admission is forgotten while there is no report to show it.
const UNREPORTED_MS: DurationMs = DurationMs(400);

/// Age at which a report is ignored. An engine that does not answer its sidecar is seldom idle, so that its
/// last report counts for as long as an answer usually runs, together with all admissions since.
const MAX_REPORT_AGE_MS: DurationMs = DurationMs(3_000);

/// Maximum number of recent admissions that are remembered; the earliest are dropped.
const MAX_RECENT: usize = 4_096;

/// Time constant with which earlier admissions count less in the rate of admissions.
const RATE_DECAY_MS: f64 = 2_000.0;

/// Bounds of the wait until memory is free: that of one report, and that of a long answer.
const WAIT_RANGE_MS: (f64, f64) = (100.0, 3_000.0);

/// Slots and memory that an admission takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    pub(crate) at: TimeMs,
    /// Time from the admission to the first token.
    pub(crate) first_token_ms: f64,
    pub(crate) compute_tokens: u64,
    pub(crate) memory_tokens: u64,
}

impl Admission {
    /// Returns the probability that the request still holds its slot, if answers end independently of their age.
    fn presence(&self, answer_ms: f64, now: TimeMs) -> f64 {
        let answering_ms = now.since(self.at).0 as f64 - self.first_token_ms;
        survival(answering_ms, answer_ms)
    }
}

/// Returns the part of the answers that are not complete after a time.
fn survival(elapsed_ms: f64, answer_ms: f64) -> f64 {
    (-elapsed_ms.max(0.0) / answer_ms.max(1.0)).exp()
}

/// A rate of admissions, the latest most.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    requests: f64,
    memory_tokens: f64,
    at: TimeMs,
}

impl Rate {
    fn decay(&mut self, now: TimeMs) {
        let decay = (-(now.since(self.at).0 as f64) / RATE_DECAY_MS).exp();
        self.requests *= decay;
        self.memory_tokens *= decay;
        self.at = now;
    }

    fn record(&mut self, admission: &Admission) {
        self.decay(admission.at);
        self.requests += 1.0;
        self.memory_tokens += admission.memory_tokens as f64;
    }
}

/// Slots and memory in use, from the last report and the admissions since then.
#[derive(Clone, Debug, Default)]
pub(crate) struct Occupancy {
    report: Option<(EngineReport, TimeMs)>,
    recent: VecDeque<Admission>,
    rate: Rate,
}

impl Occupancy {
    /// Records the engine's report; returns whether the engine has started anew.
    pub(crate) fn observe(&mut self, report: EngineReport, now: TimeMs) -> bool {
        let previous = self.report.replace((report, now));
        previous.is_some_and(|(previous, _)| previous.started_ms != report.started_ms)
    }

    /// Records an admission.
    pub(crate) fn record(&mut self, admission: Admission) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.rate.record(&admission);
        self.recent.push_back(admission);
    }

    /// Removes a recent admission whose request was not sent.
    pub(crate) fn give_back(&mut self, compute_tokens: u64, memory_tokens: u64) {
        let amounts = (compute_tokens, memory_tokens);
        let is_same = |known: &Admission| (known.compute_tokens, known.memory_tokens) == amounts;
        if let Some(position) = self.recent.iter().rposition(is_same) {
            self.recent.remove(position);
        }
    }

    /// Removes the admissions that the last report shows.
    pub(crate) fn expire(&mut self, now: TimeMs) {
        let shown_until = match self.fresh_report(now) {
            Some((_, at)) => at - REPORT_LAG_MS,
            None => now - UNREPORTED_MS,
        };
        let is_shown = |admission: &Admission| admission.at <= shown_until;
        while self.recent.front().is_some_and(is_shown) {
            self.recent.pop_front();
        }
    }

    /// Forgets all admissions, as the engine has lost them.
    pub(crate) fn clear(&mut self) {
        self.recent.clear();
        self.rate = Rate::default();
    }

    /// Returns the tokens to compute of the admissions that the report does not show.
    pub(crate) fn recent_tokens(&self) -> u64 {
        self.recent.iter().map(|a| a.compute_tokens).sum()
    }

    /// Returns how long a request is expected to wait for a slot if answers take `answer_ms` on average.
    pub(crate) fn slot_wait_ms(&self, slots: u32, answer_ms: f64, now: TimeMs) -> f64 {
        let slots = f64::from(slots.max(1));
        let missing = self.expected_requests(slots, answer_ms, now) + 1.0 - slots;
        missing.max(0.0) * answer_ms / slots
    }

    /// Returns how many requests are expected at the engine: those of the report and the admissions that it does
    /// not show, less what is complete by now.
    fn expected_requests(&self, slots: f64, answer_ms: f64, now: TimeMs) -> f64 {
        let recent = self.recent.iter().map(|a| a.presence(answer_ms, now));
        let recent: f64 = recent.sum();
        let Some((report, at)) = self.fresh_report(now) else {
            return recent;
        };
        let reported = f64::from(report.waiting) + f64::from(report.running);
        let age_ms = now.since(at - REPORT_LAG_MS).0 as f64;
        let complete = reported.min(slots) * (1.0 - survival(age_ms, answer_ms));
        reported - complete + recent
    }

    /// Returns how long it takes until the memory for a request is free; without a report of the memory
    /// there is enough.
    pub(crate) fn memory_wait_ms(&mut self, needed: Tokens, now: TimeMs) -> f64 {
        self.rate.decay(now);
        let report = self.fresh_report(now).map(|(report, _)| report);
        let report = report.unwrap_or_default();
        let Some(total) = report.kv_total else {
            return 0.0;
        };
        let recent: u64 = self.recent.iter().map(|a| a.memory_tokens).sum();
        let waiting = f64::from(report.waiting) * self.mean_memory();
        let used = (report.kv_used + recent + needed.0) as f64 + waiting;
        wait_for(used - total as f64, self.rate.memory_tokens)
    }

    fn fresh_report(&self, now: TimeMs) -> Option<(EngineReport, TimeMs)> {
        let is_fresh = |at: TimeMs| now.since(at) < MAX_REPORT_AGE_MS;
        self.report.filter(|(_, at)| is_fresh(*at))
    }

    fn mean_memory(&self) -> f64 {
        self.rate.memory_tokens / self.rate.requests.max(1.0)
    }
}

/// Returns how long it takes until `missing` are free if as many are given back as were taken lately.
fn wait_for(missing: f64, taken: f64) -> f64 {
    if missing <= 0.0 {
        return 0.0;
    }
    let per_ms = taken / RATE_DECAY_MS;
    (missing / per_ms.max(f64::MIN_POSITIVE)).clamp(WAIT_RANGE_MS.0, WAIT_RANGE_MS.1)
}

//! What an engine was asked to compute and has not, over all routers.
//!
//! Load pattern: three times as much is asked of an engine as it can compute. It gets what it can begin
//! in time, and the rest is refused at once.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_wire::AdmissionOffer;
use dw_wire::AdmissionQuestion;

use crate::backlog::Backlog;
use crate::decision::Cause;
use crate::decision::Decision;
use crate::decision::Waits;
use crate::occupancy::Admission;
use crate::occupancy::Occupancy;
use crate::shares::Shares;

/// Part of the objective that the queue may take up; the rest covers the errors of the estimates. A queue at
/// its limit would else make every request late that is behind a wrong one.
const QUEUE_UP_TO: f64 = 0.85;

/// Weight of the newest request in the moving averages of the tokens to compute and of the time to answer.
const MEAN_SMOOTHING: f64 = 0.1;

/// Part of the objective that the queue may take up before organisations are held to their shares.
const SHARES_FROM: f64 = 0.5;

/// Longest queue of all priorities at which a request is admitted whose objective cannot be met: the engine
/// is almost idle, so it holds up no other for long.
const LATE_MAX_QUEUE_MS: f64 = 40.0;

/// What the engine's own report says of its load.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in the memory that cannot yield.
    pub kv_used: u64,
    /// Tokens that the memory holds, if the engine tells them.
    pub kv_total: Option<u64>,
    /// Start of the engine; differs after a restart.
    pub started_ms: u64,
}

/// Admissions at one engine.
///
/// A ledger that starts empty, after a restart of its sidecar or of the engine, is filled by the questions
/// of routers, which tell what they know to be outstanding.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    backlog: Backlog,
    occupancy: Occupancy,
    shares: Shares,
    /// Mean tokens to compute of the requests that routers asked for.
    mean_tokens: f64,
    /// Time for which an answer holds its slot, as routers measure it; unknown until one has told it.
    answer_ms: Option<f64>,
    last_priority: u8,
    drained_at: TimeMs,
}

impl Ledger {
    /// Corrects the ledger by a report of the engine.
    pub fn observe(&mut self, report: EngineReport, now: TimeMs) {
        self.advance(now);
        if self.occupancy.observe(report, now) {
            self.backlog.lower_to(0.0);
            self.occupancy.clear();
            return;
        }
        if report.waiting == 0 && report.running == 0 {
            // What it has been sent and the report does not show yet may still wait.
            self.backlog.lower_to(self.occupancy.recent_tokens() as f64);
        }
        let waiting = self.mean_tokens * f64::from(report.waiting);
        self.backlog.raise_to(waiting, self.last_priority);
    }

    /// Decides whether a request may be sent to the engine, and records it if so.
    pub fn ask(&mut self, question: &AdmissionQuestion, now: TimeMs) -> Decision {
        self.advance(now);
        let engine = &question.engine;
        self.backlog.update_speed(engine.speed.get() / 1_000.0);
        let offer = &question.offer;
        self.last_priority = offer.priority;
        let outstanding = engine.outstanding.0 as f64;
        self.backlog.raise_to(outstanding, offer.priority);
        let newest = offer.compute_tokens.0 as f64;
        self.mean_tokens += MEAN_SMOOTHING * (newest - self.mean_tokens);
        self.update_answer_time(engine.answer_ms);
        let decision = self.decide(offer, engine.slots, now);
        if decision.denial.is_none() {
            self.record(offer, decision.waits, now);
        }
        decision
    }

    /// Takes an admission back whose request was not sent.
    pub fn give_back(&mut self, offer: &AdmissionOffer, now: TimeMs) {
        self.advance(now);
        let tokens = offer.compute_tokens.0;
        self.backlog.remove(offer.priority, tokens as f64);
        self.shares.record(&offer.org, -(tokens as f64), now);
        self.occupancy.give_back(tokens, offer.memory_tokens.0);
    }

    /// Returns the time that the engine needs for what it was sent.
    pub fn queue_ms(&self) -> DurationMs {
        DurationMs(self.backlog.total_ms() as u64)
    }

    /// Returns the number of organisations with recent admissions.
    pub fn organisations(&self) -> usize {
        self.shares.len()
    }

    fn update_answer_time(&mut self, told_ms: DurationMs) {
        let told_ms = told_ms.0 as f64;
        let answer_ms = self.answer_ms.unwrap_or(told_ms);
        self.answer_ms = Some(answer_ms + MEAN_SMOOTHING * (told_ms - answer_ms));
    }

    fn advance(&mut self, now: TimeMs) {
        self.backlog.drain(now.since(self.drained_at));
        self.occupancy.expire(now);
        self.drained_at = self.drained_at.max(now);
    }

    fn decide(&mut self, offer: &AdmissionOffer, slots: u32, now: TimeMs) -> Decision {
        let answer_ms = self.answer_ms.unwrap_or_default();
        let waits = Waits {
            queue_ms: self.backlog.wait_ms(offer.priority),
            slot_ms: self.occupancy.slot_wait_ms(slots, answer_ms, now),
            memory_ms: self.occupancy.memory_wait_ms(offer.memory_tokens, now),
        };
        if waits.memory_ms > 0.0 {
            return Decision::denied(Cause::Memory, waits, waits.memory_ms);
        }
        let wait_ms = waits.first_token_wait_ms();
        let slack_ms = offer.objective_ms.saturating_sub(offer.compute_ms).0 as f64;
        let max_wait_ms = slack_ms * QUEUE_UP_TO;
        if wait_ms > max_wait_ms || slack_ms == 0.0 {
            if self.may_be_late(offer, &waits) {
                return Decision::granted(waits);
            }
            let cause = waits.longer_cause();
            return Decision::denied(cause, waits, wait_ms - max_wait_ms);
        }
        let shared_ms = slack_ms * SHARES_FROM;
        if wait_ms > shared_ms && self.shares.is_above(&offer.org, now) {
            return Decision::denied(Cause::Share, waits, wait_ms - shared_ms);
        }
        Decision::granted(waits)
    }

    /// Returns whether a request that misses its objective is admitted nevertheless, since the engine has
    /// hardly anything else to do.
    fn may_be_late(&self, offer: &AdmissionOffer, waits: &Waits) -> bool {
        let is_in_deadline = offer.compute_ms < offer.deadline_ms;
        is_in_deadline && waits.slot_ms == 0.0 && self.backlog.total_ms() <= LATE_MAX_QUEUE_MS
    }

    fn record(&mut self, offer: &AdmissionOffer, waits: Waits, now: TimeMs) {
        let tokens = offer.compute_tokens.0;
        self.backlog.add(offer.priority, tokens as f64);
        self.shares.record(&offer.org, tokens as f64, now);
        self.occupancy.record(Admission {
            at: now,
            first_token_ms: waits.first_token_wait_ms() + offer.compute_ms.0 as f64,
            compute_tokens: tokens,
            memory_tokens: offer.memory_tokens.0,
        });
    }
}

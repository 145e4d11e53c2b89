//! Answers routers whether requests are to be sent to the own engine.

use std::net::SocketAddr;

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_capacity::EngineReport;
use dw_capacity::Ledger;
use dw_port::Report;
use dw_wire::AdmissionAnswer;
use dw_wire::AdmissionQuestion;
use dw_wire::AdmissionReturn;
use dw_wire::Datagram;

use crate::permits::send_answer;
use crate::sidecar::Shared;

/// Time without a denial after which the next one is logged as the begin of an overload.
const CALM_MS: DurationMs = DurationMs(1_000);

/// Admissions at the own engine.
#[derive(Default)]
pub(crate) struct Admissions {
    ledger: Ledger,
    denied_at: Option<TimeMs>,
}

impl Admissions {
    /// Records a denial; returns whether it is the first one after a calm.
    fn record_denial(&mut self, now: TimeMs) -> bool {
        let before = self.denied_at.replace(now);
        before.is_none_or(|before| now.since(before) >= CALM_MS)
    }
}

/// Corrects the ledger by the engine's report.
pub(crate) fn observe(shared: &Shared, report: &Report, now: TimeMs) {
    let report = EngineReport {
        waiting: report.waiting,
        running: report.running,
        kv_used: report.kv_used.0,
        kv_total: report.kv_total.map(|total| total.0),
        started_ms: report.started_ms,
    };
    shared.admissions.borrow_mut().ledger.observe(report, now);
}

/// Answers whether a request may be sent to the engine.
pub(crate) fn answer(shared: &Shared, from: SocketAddr, question: &AdmissionQuestion, now: TimeMs) {
    let mut admissions = shared.admissions.borrow_mut();
    let decision = admissions.ledger.ask(question, now);
    let queue_ms = admissions.ledger.queue_ms();
    let organisations = admissions.ledger.organisations();
    let begins = decision.denial.is_some() && admissions.record_denial(now);
    drop(admissions);
    shared.metrics.record_admission(decision.label(), queue_ms);
    if begins {
        let (offer, engine, waits) = (&question.offer, &question.engine, decision.waits);
        log::info!(
            queue_ms = queue_ms.0, organisations, result = decision.label(),
            priority = offer.priority, tokens = offer.compute_tokens.0,
            memory_tokens = offer.memory_tokens.0, compute_ms = offer.compute_ms.0,
            objective_ms = offer.objective_ms.0, deadline_ms = offer.deadline_ms.0,
            ahead_ms = waits.queue_ms as u64, slot_wait_ms = waits.slot_ms as u64,
            memory_wait_ms = waits.memory_ms as u64, told_outstanding = engine.outstanding.0,
            told_tokens_per_s = engine.speed.get() as u64, slots = engine.slots,
            answer_ms = engine.answer_ms.0;
            "engine begins to deny admissions"
        );
    }
    let answer = AdmissionAnswer {
        number: question.number,
        result: decision.result(),
    };
    send_answer(shared, from, &Datagram::AdmissionAnswer(answer));
}

/// Takes an admission back whose request was not sent.
pub(crate) fn give_back(shared: &Shared, returned: &AdmissionReturn, now: TimeMs) {
    let mut admissions = shared.admissions.borrow_mut();
    admissions.ledger.give_back(&returned.offer, now);
    let queue_ms = admissions.ledger.queue_ms();
    shared.metrics.record_admission("returned", queue_ms);
}

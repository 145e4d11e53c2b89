//! Quarantine of prompt parts under which upstreams end: evidence, probes and stored records.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::TimeMs;
use dw_port::FeedError;
use dw_port::QuarantineTable;
use dw_quarantine::decide_probe;
use dw_quarantine::missing_records;
use dw_quarantine::ProbeDecision;
use dw_quarantine::Suspects;
use dw_quarantine::Verdict;
use dw_wire::SuspectReport;
use tokio::sync::Mutex;

use crate::context::RequestContext;
use crate::gossip::request_announcement;
use crate::selection::AttemptPlan;
use crate::shared::Shared;

/// Timeout of one call to the table while a request waits for it.
const PROBE_TIMEOUT_MS: DurationMs = DurationMs(600);

/// Pause after another request has asked for the same probe, or has got it.
const CONTENDED_PAUSE_MS: DurationMs = DurationMs(250);

/// Timeout of one call to the table that no request waits for.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Pause after a call to the table that failed, and between two attempts to read it at the start.
const FAILURE_PAUSE_MS: DurationMs = DurationMs(1_000);

/// Maximum number of parts whose records one transaction stores.
const MAX_PARTS_STORED: usize = 32;

/// Maximum number of sets of quarantined parts whose next probe is remembered.
const MAX_NEXT_PROBES: usize = 1_024;

/// Whether a request may be sent, as far as the parts of its prompt decide.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    /// It may be sent.
    Open,
    /// It may be sent once, as the probe of a quarantined part.
    Probe,
    /// One of its parts is in quarantine; the next probe may be sent after this time.
    Rejected(DurationMs),
}

/// Prompt parts under which upstreams ended, and the table with the quarantined ones.
pub(crate) struct Quarantine {
    suspects: RefCell<Suspects>,
    table: Mutex<Box<dyn QuarantineTable>>,
    /// When the next probe with a set of quarantined parts may be requested.
    next_probes: RefCell<HashMap<Vec<ModelPart>, TimeMs>>,
}

impl Quarantine {
    /// Creates the state without any evidence.
    pub(crate) fn new(table: Box<dyn QuarantineTable>) -> Self {
        Quarantine {
            suspects: RefCell::default(),
            table: Mutex::new(table),
            next_probes: RefCell::default(),
        }
    }

    /// Merges what a relay has announced.
    pub(crate) fn merge(&self, reports: Vec<SuspectReport>, now: TimeMs) {
        let merged = self.suspects.borrow_mut().merge(reports, now);
        if !merged.quarantined.is_empty() {
            log::warn!(parts = join(&merged.quarantined); "prompt parts quarantined by other routers");
        }
        if !merged.released.is_empty() {
            log::info!(parts = join(&merged.released); "prompt parts left quarantine at other routers");
        }
    }

    /// Returns the evidence to announce now.
    pub(crate) fn take_due(&self, now: TimeMs) -> Vec<SuspectReport> {
        self.suspects.borrow_mut().take_due(now)
    }

    /// Drops evidence that has expired; returns the number of quarantined parts.
    pub(crate) fn expire(&self, now: TimeMs) -> usize {
        let mut suspects = self.suspects.borrow_mut();
        suspects.expire(now);
        let quarantined = suspects.quarantined();
        if quarantined == 0 {
            self.next_probes.borrow_mut().clear();
        }
        quarantined
    }

    /// Returns the time until the next probe with these parts may be requested.
    fn pause_ms(&self, parts: &[ModelPart], now: TimeMs) -> Option<DurationMs> {
        let next_probe = *self.next_probes.borrow().get(parts)?;
        (now < next_probe).then(|| next_probe.since(now))
    }

    fn set_next_probe(&self, parts: &[ModelPart], at: TimeMs) {
        let mut next_probes = self.next_probes.borrow_mut();
        if next_probes.len() >= MAX_NEXT_PROBES {
            // The table is asked again for the sets that are dropped.
            next_probes.clear();
        }
        next_probes.insert(parts.to_vec(), at);
    }
}

/// Returns what the evidence says about a request.
pub(crate) fn verdict(shared: &Shared, context: &RequestContext) -> Verdict {
    let suspects = shared.quarantine.suspects.borrow();
    match suspects.is_empty() {
        true => Verdict::Clear,
        false => suspects.verdict(&context.shared_parts()),
    }
}

/// Decides whether a request may be sent to its first upstream.
pub(crate) async fn admit(shared: &Shared, context: &RequestContext) -> Admission {
    let quarantine = &shared.quarantine;
    let Verdict::Quarantined(parts) = verdict(shared, context) else {
        return Admission::Open;
    };
    let now = shared.now();
    let admission = match quarantine.pause_ms(&parts, now) {
        Some(pause_ms) => Admission::Rejected(pause_ms),
        None => request_probe(shared, &parts).await,
    };
    log::warn!(
        request_id = context.request_head.request_id.as_str(), parts = join(&parts), admission:?;
        "request has quarantined prompt parts"
    );
    admission
}

/// Asks the table for a probe of quarantined parts, unless another request does just now.
async fn request_probe(shared: &Shared, parts: &[ModelPart]) -> Admission {
    let quarantine = &shared.quarantine;
    let Ok(mut table) = quarantine.table.try_lock() else {
        return Admission::Rejected(CONTENDED_PAUSE_MS);
    };
    match store_probe(table.as_mut(), parts).await {
        Ok(DurationMs::ZERO) => {
            shared.metrics.record_probe();
            Admission::Probe
        }
        Ok(pause_ms) => {
            quarantine.set_next_probe(parts, shared.now() + pause_ms);
            Admission::Rejected(pause_ms)
        }
        Err(e) => {
            log::warn!(parts = join(parts), error:% = e; "cannot request a probe of prompt parts");
            quarantine.set_next_probe(parts, shared.now() + FAILURE_PAUSE_MS);
            Admission::Rejected(FAILURE_PAUSE_MS)
        }
    }
}

/// Stores that a probe of these parts is sent now; returns zero if it may be sent, and otherwise the
/// time until the next one may be.
async fn store_probe(
    table: &mut dyn QuarantineTable,
    parts: &[ModelPart],
) -> Result<DurationMs, FeedError> {
    let stored = table.read(PROBE_TIMEOUT_MS).await?;
    for row in &stored.invalid {
        log::warn!(key = row.key.as_str(), detail = row.detail.as_str(); "ignoring quarantine record");
    }
    match decide_probe(parts, &stored.records, stored.now_ms) {
        ProbeDecision::Send(records) => {
            let is_stored = table.write(&records, PROBE_TIMEOUT_MS).await?;
            Ok(match is_stored {
                true => DurationMs::ZERO,
                // Another router was faster.
                false => CONTENDED_PAUSE_MS,
            })
        }
        ProbeDecision::Wait { pause_ms, missing } => {
            if !missing.is_empty() {
                table.write(&missing, PROBE_TIMEOUT_MS).await?;
            }
            Ok(pause_ms)
        }
    }
}

/// Records that an upstream ended while it held a request and had not begun to answer.
pub(crate) fn record_end(shared: &Rc<Shared>, context: &RequestContext, plan: &AttemptPlan) {
    let now = shared.now();
    let upstream = &plan.choice.upstream;
    let mut suspects = shared.quarantine.suspects.borrow_mut();
    let quarantined = suspects.record_end(&context.shared_parts(), plan.start(), now);
    for part in &quarantined {
        log::warn!(
            request_id = context.request_head.request_id.as_str(), upstream:%, part:%,
            ends = suspects.ends(*part);
            "prompt part quarantined: upstreams ended under it and none has answered"
        );
    }
    drop(suspects);
    request_announcement(shared);
    if !quarantined.is_empty() {
        tokio::task::spawn_local(store_quarantine(shared.clone(), quarantined));
    }
}

/// Stores the records of parts that have entered quarantine, from which the pause until the first probe
/// counts.
async fn store_quarantine(shared: Rc<Shared>, parts: Vec<ModelPart>) {
    let mut table = shared.quarantine.table.lock().await;
    if let Err(e) = store_missing(table.as_mut(), &parts).await {
        // The next request with such a part stores its record.
        log::warn!(parts = join(&parts), error:% = e; "cannot store quarantine records");
    }
}

/// Stores the records of all parts in quarantine that the table has lost.
pub(crate) fn store_again(shared: &Rc<Shared>) {
    let quarantined = shared.quarantine.suspects.borrow().quarantined_parts();
    for parts in quarantined.chunks(MAX_PARTS_STORED) {
        tokio::task::spawn_local(store_quarantine(shared.clone(), parts.to_vec()));
    }
}

async fn store_missing(
    table: &mut dyn QuarantineTable,
    parts: &[ModelPart],
) -> Result<(), FeedError> {
    let stored = table.read(ANSWER_TIMEOUT_MS).await?;
    let missing = missing_records(parts, &stored.records, stored.now_ms);
    if !missing.is_empty() {
        // If the write is refused, another router has stored some of them.
        table.write(&missing, ANSWER_TIMEOUT_MS).await?;
    }
    Ok(())
}

/// Records that an answer to a request has begun, and removes the records of parts that leave
/// quarantine because of it.
pub(crate) fn record_answer(shared: &Rc<Shared>, context: &RequestContext) {
    let mut suspects = shared.quarantine.suspects.borrow_mut();
    if suspects.is_empty() {
        return;
    }
    let released = suspects.record_answer(&context.shared_parts(), shared.now());
    drop(suspects);
    request_announcement(shared);
    if released.is_empty() {
        return;
    }
    log::info!(
        request_id = context.request_head.request_id.as_str(), parts = join(&released);
        "prompt parts left quarantine: an upstream answered"
    );
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let mut table = shared.quarantine.table.lock().await;
        if let Err(e) = table.remove(&released, ANSWER_TIMEOUT_MS).await {
            // A process that starts later reads the record and sends one more probe.
            log::warn!(parts = join(&released), error:% = e; "cannot remove quarantine records");
        }
    });
}

/// Reads the stored records once, as this process may have started while parts were in quarantine.
pub(crate) async fn restore(shared: Rc<Shared>) {
    loop {
        let stored = shared
            .quarantine
            .table
            .lock()
            .await
            .read(ANSWER_TIMEOUT_MS)
            .await;
        match stored {
            Ok(stored) => {
                let now = shared.now();
                let mut suspects = shared.quarantine.suspects.borrow_mut();
                for record in stored.records {
                    log::info!(part:% = record.part, probes = record.probes; "read quarantine record");
                    suspects.restore(record.part, now);
                }
                return;
            }
            Err(e) => log::warn!(error:% = e; "cannot read quarantine records"),
        }
        tokio::time::sleep(FAILURE_PAUSE_MS.into()).await;
    }
}

fn join(parts: &[ModelPart]) -> String {
    let parts: Vec<String> = parts.iter().map(ModelPart::to_string).collect();
    parts.join(",")
}

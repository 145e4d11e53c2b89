//! Quarantine of prompt parts and requests under which upstreams end: evidence, probes and stored records.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use dw_base::DurationMs;
use dw_base::RequestDigest;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_port::FeedError;
use dw_port::QuarantineTable;
use dw_quarantine::accuses_parts;
use dw_quarantine::decide_probe;
use dw_quarantine::missing_records;
use dw_quarantine::DueReports;
use dw_quarantine::EvidenceSet;
use dw_quarantine::Merged;
use dw_quarantine::ProbeDecision;
use dw_quarantine::QuarantineRecord;
use dw_quarantine::Verdict;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;
use http::StatusCode;
use tokio::sync::Mutex;

use crate::context::RequestContext;
use crate::gossip::request_announcement;
use crate::shared::Shared;
use crate::upstream_end::LostRequest;
use crate::upstream_end::SteadyStarts;

/// Timeout of one call to the table while a request waits for it.
const PROBE_TIMEOUT_MS: DurationMs = DurationMs(600);

/// Pause after another request has asked for the same probe, or has got it.
const CONTENDED_PAUSE_MS: DurationMs = DurationMs(250);

/// Timeout of one call to the table that no request waits for.
const ANSWER_TIMEOUT_MS: DurationMs = DurationMs(1_000);

/// Pause after a call to the table that failed, and between two attempts to read it at the start.
const FAILURE_PAUSE_MS: DurationMs = DurationMs(1_000);

/// Maximum number of records that one transaction stores.
const MAX_RECORDS_STORED: usize = 32;

/// Maximum number of sets of suspects whose next probe is remembered.
const MAX_NEXT_PROBES: usize = 1_024;

/// Whether a request may be sent, as far as the evidence against it and its parts decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Admission {
    /// It may be sent.
    Open,
    /// It may be sent, as the probe of what is in quarantine.
    Probe(ProbeKind),
    /// It or one of its parts is in quarantine.
    Rejected(Rejection),
}

/// What a probe tests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProbeKind {
    /// Parts of the prompt: an upstream that refuses the probe has not tested them, and another may.
    Part,
    /// The whole request, which is sent once.
    Request,
}

/// Why a request in quarantine is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Rejection {
    /// What is in quarantine.
    pub(crate) kind: ProbeKind,
    /// Time until the next probe may be sent.
    pub(crate) pause_ms: DurationMs,
}

/// Prompt parts and requests under which upstreams ended, and the table with the quarantined ones.
pub(crate) struct Quarantine {
    evidence: RefCell<EvidenceSet>,
    table: Mutex<Box<dyn QuarantineTable>>,
    /// When the next probe of a set of suspects may be requested.
    next_probes: RefCell<HashMap<Vec<Suspect>, TimeMs>>,
    /// Suspects whose records this router has written, and removes when they leave quarantine.
    stored: RefCell<HashSet<Suspect>>,
}

impl Quarantine {
    /// Creates the state without any evidence.
    pub(crate) fn new(table: Box<dyn QuarantineTable>) -> Self {
        Quarantine {
            evidence: RefCell::default(),
            table: Mutex::new(table),
            next_probes: RefCell::default(),
            stored: RefCell::default(),
        }
    }

    fn record_stored(&self, records: &[QuarantineRecord]) {
        let suspects = records.iter().map(|record| record.suspect);
        self.stored.borrow_mut().extend(suspects);
    }

    /// Returns those of the suspects whose records this router has written, and forgets them.
    fn take_stored(&self, suspects: &[Suspect]) -> Vec<Suspect> {
        let mut stored = self.stored.borrow_mut();
        let suspects = suspects.iter().copied();
        suspects.filter(|suspect| stored.remove(suspect)).collect()
    }

    /// Returns whether there is no evidence at all.
    pub(crate) fn is_empty(&self) -> bool {
        self.evidence.borrow().is_empty()
    }

    /// Returns the evidence to announce now.
    pub(crate) fn take_due(&self, now: TimeMs) -> DueReports {
        self.evidence.borrow_mut().take_due(now)
    }

    /// Drops evidence that has expired; returns what is in quarantine.
    pub(crate) fn expire(&self, now: TimeMs) -> Vec<Suspect> {
        let mut evidence = self.evidence.borrow_mut();
        evidence.expire(now);
        let quarantined = evidence.quarantined();
        if quarantined.is_empty() {
            self.next_probes.borrow_mut().clear();
        }
        quarantined
    }

    /// Returns the time until the next probe of these suspects may be requested.
    fn pause_ms(&self, suspects: &[Suspect], now: TimeMs) -> Option<DurationMs> {
        let next_probe = *self.next_probes.borrow().get(suspects)?;
        (now < next_probe).then(|| next_probe.since(now))
    }

    fn set_next_probe(&self, suspects: &[Suspect], at: TimeMs) {
        let mut next_probes = self.next_probes.borrow_mut();
        if next_probes.len() >= MAX_NEXT_PROBES {
            // The table is asked again for the sets that are dropped.
            next_probes.clear();
        }
        next_probes.insert(suspects.to_vec(), at);
    }
}

/// Merges evidence against prompt parts that a relay has announced.
pub(crate) fn merge_parts(shared: &Rc<Shared>, reports: Vec<SuspectReport>) {
    let reports = without_withdrawn(shared, reports);
    merge(shared, |evidence, now| evidence.merge_parts(reports, now));
}

/// Merges evidence against requests that a relay has announced.
pub(crate) fn merge_requests(shared: &Rc<Shared>, reports: Vec<SuspectReport<RequestDigest>>) {
    let reports = without_withdrawn(shared, reports);
    merge(shared, |evidence, now| {
        evidence.merge_requests(reports, now)
    });
}

/// Returns reports without the ends of upstreams that have gone on, of which relays do not know.
fn without_withdrawn<K>(
    shared: &Shared,
    mut reports: Vec<SuspectReport<K>>,
) -> Vec<SuspectReport<K>> {
    let now = shared.now();
    let steady = SteadyStarts::new(shared);
    for report in &mut reports {
        let ends = &mut report.ends;
        ends.retain(|(start, age_ms)| !steady.has_not_ended(*start, now - *age_ms));
    }
    reports
}

/// Takes back the evidence that rests on ends of upstreams that have gone on.
pub(crate) fn withdraw(shared: &Rc<Shared>, steady: &SteadyStarts<'_>) {
    let mut evidence = shared.quarantine.evidence.borrow_mut();
    let released = evidence.withdraw(|start, at| steady.has_not_ended(start, at));
    drop(evidence);
    if released.is_empty() {
        return;
    }
    log::info!(suspects = join(&released); "left quarantine: upstreams have not ended");
    let stored = shared.quarantine.take_stored(&released);
    if !stored.is_empty() {
        tokio::task::spawn_local(remove_records(shared.clone(), stored));
    }
}

/// Merges evidence, and removes the records that this router has written of what was released.
fn merge(shared: &Rc<Shared>, merge: impl FnOnce(&mut EvidenceSet, TimeMs) -> Merged<Suspect>) {
    let merged = merge(&mut shared.quarantine.evidence.borrow_mut(), shared.now());
    log_merged(&merged);
    let stored = shared.quarantine.take_stored(&merged.released);
    if !stored.is_empty() {
        tokio::task::spawn_local(remove_records(shared.clone(), stored));
    }
}

async fn remove_records(shared: Rc<Shared>, suspects: Vec<Suspect>) {
    let mut table = shared.quarantine.table.lock().await;
    if let Err(e) = table.remove(&suspects, ANSWER_TIMEOUT_MS).await {
        // A process that starts later reads the record and sends one more probe.
        log::warn!(suspects = join(&suspects), error:% = e; "cannot remove quarantine records");
    }
}

fn log_merged(merged: &Merged<Suspect>) {
    if !merged.quarantined.is_empty() {
        log::warn!(suspects = join(&merged.quarantined); "quarantined by other routers");
    }
    if !merged.released.is_empty() {
        log::info!(suspects = join(&merged.released); "left quarantine at other routers");
    }
}

/// Returns what the evidence says about a request.
pub(crate) fn verdict(shared: &Shared, context: &RequestContext) -> Verdict {
    let evidence = shared.quarantine.evidence.borrow();
    match evidence.is_empty() {
        true => Verdict::Clear,
        false => evidence.verdict(|| context.digest(), &context.shared_parts()),
    }
}

/// Decides whether a request may be sent to its first upstream.
pub(crate) async fn admit(shared: &Shared, context: &RequestContext) -> Admission {
    let quarantine = &shared.quarantine;
    let Verdict::Quarantined(suspects) = verdict(shared, context) else {
        return Admission::Open;
    };
    let is_request = |suspect: &Suspect| matches!(suspect, Suspect::Request(_));
    let kind = match suspects.iter().any(is_request) {
        true => ProbeKind::Request,
        false => ProbeKind::Part,
    };
    let pause_ms = match quarantine.pause_ms(&suspects, shared.now()) {
        Some(pause_ms) => pause_ms,
        None => request_probe(shared, &suspects).await,
    };
    let admission = match pause_ms {
        DurationMs::ZERO => Admission::Probe(kind),
        pause_ms => Admission::Rejected(Rejection { kind, pause_ms }),
    };
    log::warn!(
        request_id = context.request_head.request_id.as_str(), suspects = join(&suspects),
        admission:?;
        "request is in quarantine"
    );
    admission
}

/// Asks the table for a probe of suspects in quarantine, unless another request does just now; returns
/// zero if it may be sent, and otherwise the time until the next one may be.
async fn request_probe(shared: &Shared, suspects: &[Suspect]) -> DurationMs {
    let quarantine = &shared.quarantine;
    let Ok(mut table) = quarantine.table.try_lock() else {
        return CONTENDED_PAUSE_MS;
    };
    let pause_ms = match store_probe(shared, table.as_mut(), suspects).await {
        Ok(pause_ms) => pause_ms,
        Err(e) => {
            log::warn!(suspects = join(suspects), error:% = e; "cannot request a probe");
            FAILURE_PAUSE_MS
        }
    };
    match pause_ms {
        DurationMs::ZERO => shared.metrics.record_probe(),
        pause_ms => quarantine.set_next_probe(suspects, shared.now() + pause_ms),
    }
    pause_ms
}

/// Stores that a probe of these suspects is sent now; returns zero if it may be sent, and otherwise the
/// time until the next one may be.
async fn store_probe(
    shared: &Shared,
    table: &mut dyn QuarantineTable,
    suspects: &[Suspect],
) -> Result<DurationMs, FeedError> {
    let stored = table.read(PROBE_TIMEOUT_MS).await?;
    for row in &stored.invalid {
        log::warn!(key = row.key.as_str(), detail = row.detail.as_str(); "ignoring quarantine record");
    }
    match decide_probe(suspects, &stored.records, stored.now_ms) {
        ProbeDecision::Send(records) => {
            let is_stored = store(shared, table, &records, PROBE_TIMEOUT_MS).await?;
            Ok(match is_stored {
                true => DurationMs::ZERO,
                // Another router was faster.
                false => CONTENDED_PAUSE_MS,
            })
        }
        ProbeDecision::Wait { pause_ms, missing } => {
            if !missing.is_empty() {
                store(shared, table, &missing, PROBE_TIMEOUT_MS).await?;
            }
            Ok(pause_ms)
        }
    }
}

/// Writes records, and removes again those of suspects that have left quarantine meanwhile; returns whether
/// they were written.
async fn store(
    shared: &Shared,
    table: &mut dyn QuarantineTable,
    records: &[QuarantineRecord],
    timeout_ms: DurationMs,
) -> Result<bool, FeedError> {
    if !table.write(records, timeout_ms).await? {
        return Ok(false);
    }
    shared.quarantine.record_stored(records);
    let quarantined = shared.quarantine.evidence.borrow().quarantined();
    let suspects = records.iter().map(|record| record.suspect);
    let released: Vec<Suspect> = suspects
        .filter(|suspect| !quarantined.contains(suspect))
        .collect();
    if !released.is_empty() {
        shared.quarantine.take_stored(&released);
        table.remove(&released, ANSWER_TIMEOUT_MS).await?;
    }
    Ok(true)
}

/// Records that an upstream ended while it held a request.
pub(crate) fn record_end(
    shared: &Rc<Shared>,
    context: &RequestContext,
    start: UpstreamStart,
    lost: LostRequest,
) {
    let parts = match accuses_parts(lost.answering_ms()) {
        true => context.shared_parts(),
        false => Vec::new(),
    };
    let now = shared.now();
    let mut evidence = shared.quarantine.evidence.borrow_mut();
    let changed = evidence.record_end(context.digest(), &parts, start, now);
    for suspect in &changed.quarantined {
        log::warn!(
            request_id = context.request_head.request_id.as_str(), suspect:%,
            ends = evidence.ends(*suspect);
            "quarantined: upstreams ended under it and none has answered"
        );
    }
    drop(evidence);
    request_announcement(shared);
    if !changed.quarantined.is_empty() {
        tokio::task::spawn_local(store_quarantine(shared.clone(), changed.quarantined));
    }
    if !changed.released.is_empty() {
        log::info!(
            request_id = context.request_head.request_id.as_str(),
            suspects = join(&changed.released);
            "left quarantine: the ends are explained"
        );
        shared.quarantine.take_stored(&changed.released);
        tokio::task::spawn_local(remove_records(shared.clone(), changed.released));
    }
}

/// Stores the records of suspects that have entered quarantine, from which the pause until the first probe
/// counts.
async fn store_quarantine(shared: Rc<Shared>, suspects: Vec<Suspect>) {
    let mut table = shared.quarantine.table.lock().await;
    if let Err(e) = store_missing(&shared, table.as_mut(), &suspects).await {
        // The next request in quarantine stores its record.
        log::warn!(suspects = join(&suspects), error:% = e; "cannot store quarantine records");
    }
}

/// Stores the records of all that is in quarantine and that the table has lost.
pub(crate) fn store_again(shared: &Rc<Shared>) {
    let quarantined = shared.quarantine.evidence.borrow().quarantined();
    for suspects in quarantined.chunks(MAX_RECORDS_STORED) {
        tokio::task::spawn_local(store_quarantine(shared.clone(), suspects.to_vec()));
    }
}

async fn store_missing(
    shared: &Shared,
    table: &mut dyn QuarantineTable,
    suspects: &[Suspect],
) -> Result<(), FeedError> {
    let stored = table.read(ANSWER_TIMEOUT_MS).await?;
    let missing = missing_records(suspects, &stored.records, stored.now_ms);
    if !missing.is_empty() {
        // If the write is refused, another router has stored some of them.
        store(shared, table, &missing, ANSWER_TIMEOUT_MS).await?;
    }
    Ok(())
}

/// Records that an answer to a request has gone on for [`dw_quarantine::PROOF_MS`].
pub(crate) fn record_progress(shared: &Rc<Shared>, context: &RequestContext) {
    record(shared, context, |evidence, now| {
        evidence.record_progress(&context.shared_parts(), now)
    });
}

/// Records a whole answer to a request; one that is no success shows nothing of the parts of its prompt.
pub(crate) fn record_answer(shared: &Rc<Shared>, context: &RequestContext, status: StatusCode) {
    record(shared, context, |evidence, now| {
        let parts = match status.is_success() {
            true => context.shared_parts(),
            false => Vec::new(),
        };
        evidence.record_answer(|| context.digest(), &parts, now)
    });
}

/// Records that an upstream answered, and removes the records of what leaves quarantine because of it.
fn record(
    shared: &Rc<Shared>,
    context: &RequestContext,
    record: impl FnOnce(&mut EvidenceSet, TimeMs) -> Vec<Suspect>,
) {
    let mut evidence = shared.quarantine.evidence.borrow_mut();
    let released = record(&mut evidence, shared.now());
    let has_news = evidence.has_news();
    drop(evidence);
    if has_news {
        request_announcement(shared);
    }
    if released.is_empty() {
        return;
    }
    log::info!(
        request_id = context.request_head.request_id.as_str(), suspects = join(&released);
        "left quarantine: an upstream answered"
    );
    shared.quarantine.take_stored(&released);
    tokio::task::spawn_local(remove_records(shared.clone(), released));
}

/// Reads the stored records once, as this process may have started after the quarantine began.
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
                let mut evidence = shared.quarantine.evidence.borrow_mut();
                for record in stored.records {
                    log::info!(
                        suspect:% = record.suspect, probes = record.probes;
                        "read quarantine record"
                    );
                    evidence.restore(record.suspect, now);
                }
                return;
            }
            Err(e) => log::warn!(error:% = e; "cannot read quarantine records"),
        }
        tokio::time::sleep(FAILURE_PAUSE_MS.into()).await;
    }
}

fn join(suspects: &[Suspect]) -> String {
    let suspects: Vec<String> = suspects.iter().map(Suspect::to_string).collect();
    suspects.join(",")
}

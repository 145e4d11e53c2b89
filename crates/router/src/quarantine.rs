//! Quarantine of prompt blocks and requests under which upstreams end, shared among the routers.
//!
//! Each router announces what it has seen to all others. Of the live routers, one grants the probes of a
//! block or a request: the first by rendezvous hashing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dw_base::rendezvous_score;
use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::NodeId;
use dw_base::RequestDigest;
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_quarantine::accuses_parts;
use dw_quarantine::decide_probe;
use dw_quarantine::DueReports;
use dw_quarantine::EvidenceSet;
use dw_quarantine::Merged;
use dw_quarantine::ProbeDecision;
use dw_quarantine::QuarantineRecord;
use dw_quarantine::Verdict;
use dw_wire::Status;
use dw_wire::SuspectReport;
use dw_wire::UpstreamStart;
use dw_wire::Work;
use dw_wire::NO_PROBE_PAUSE_MS;
use futures::StreamExt;
use tokio::sync::Notify;

use crate::error::CallerError;
use crate::run::Job;
use crate::shared::Shared;

/// Longest pause between two announcements; suspects are announced again within it.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Announcements that are sent at the same time.
const MAX_SENDS: usize = 64;

/// Maximum number of records of what is in quarantine.
const MAX_RECORDS: usize = 4_096;

#[derive(Default)]
struct State {
    evidence: EvidenceSet,
    /// Records of the blocks and requests whose probes this router grants.
    records: Vec<QuarantineRecord>,
}

impl State {
    /// Drops the records of suspects that have left quarantine.
    fn forget(&mut self, released: &[Suspect]) {
        self.records
            .retain(|record| !released.contains(&record.suspect));
    }
}

/// Prompt blocks and requests under which upstreams ended, as this router knows them.
#[derive(Default)]
pub(crate) struct Quarantine {
    state: Mutex<State>,
    news: Notify,
}

/// Returns the whole blocks of the job's prompt; each one also stands for those before it.
fn blocks(job: &Job) -> Vec<ModelPart> {
    match &job.work {
        Work::Generate { chain, .. } => {
            let blocks = chain.blocks.iter();
            blocks.map(|block| ModelPart(block.fingerprint())).collect()
        }
        Work::Call { .. } => Vec::new(),
    }
}

/// Returns the digest of the job's content.
fn digest(job: &Job) -> RequestDigest {
    let service = job.service.name.as_str().as_bytes();
    let content: [&[u8]; 3] = match &job.work {
        Work::Generate { model, prompt, .. } => {
            [service, model.as_str().as_bytes(), prompt.as_bytes()]
        }
        Work::Call { body, .. } => [service, &[], body],
    };
    RequestDigest::new(job.org.as_str(), content)
}

impl Quarantine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn verdict(&self, job: &Job) -> Verdict {
        let state = self.lock();
        match state.evidence.is_empty() {
            true => Verdict::Clear,
            false => state.evidence.verdict(|| digest(job), &blocks(job)),
        }
    }

    /// Returns whether another upstream may end under the job.
    pub(crate) fn may_end_another(&self, job: &Job) -> bool {
        self.verdict(job) != Verdict::Clear
    }

    /// Records that an upstream ended under a job, whose answer had gone on for this long if it had begun.
    pub(crate) fn record_end(
        &self,
        job: &Job,
        status: &Status,
        answering_ms: Option<DurationMs>,
        now: TimeMs,
    ) {
        let blocks = match accuses_parts(answering_ms) {
            true => blocks(job),
            false => Vec::new(),
        };
        let start = UpstreamStart::new(&status.upstream, status.upstream_incarnation.0);
        let mut state = self.lock();
        let changed = state.evidence.record_end(digest(job), &blocks, start, now);
        state.forget(&changed.released);
        drop(state);
        for suspect in changed.quarantined {
            log::warn!(
                request_id:% = job.request_id, upstream:% = status.upstream, suspect:%;
                "quarantined: upstreams ended under it and none has answered"
            );
        }
        for suspect in changed.released {
            log::info!(
                request_id:% = job.request_id, upstream:% = status.upstream, suspect:%;
                "left quarantine: the ends are explained"
            );
        }
        self.news.notify_one();
    }

    /// Records that an answer to a job has gone on for [`dw_quarantine::PROOF_MS`].
    pub(crate) fn record_progress(&self, job: &Job, upstream: &UpstreamId, now: TimeMs) {
        self.record(job, upstream, |evidence| {
            evidence.record_progress(&blocks(job), now)
        });
    }

    /// Records the whole answer to a job.
    pub(crate) fn record_answer(&self, job: &Job, upstream: &UpstreamId, now: TimeMs) {
        self.record(job, upstream, |evidence| {
            evidence.record_answer(|| digest(job), &blocks(job), now)
        });
    }

    fn record(
        &self,
        job: &Job,
        upstream: &UpstreamId,
        record: impl FnOnce(&mut EvidenceSet) -> Vec<Suspect>,
    ) {
        let mut state = self.lock();
        let released = record(&mut state.evidence);
        let has_news = state.evidence.has_news();
        state.forget(&released);
        drop(state);
        for suspect in released {
            log::info!(
                request_id:% = job.request_id, upstream:%, suspect:%;
                "left quarantine: an upstream answered"
            );
        }
        if has_news {
            self.news.notify_one();
        }
    }

    /// Merges evidence against blocks that another router has announced.
    pub(crate) fn merge(&self, reports: Vec<SuspectReport>, now: TimeMs) {
        log_merged(&self.lock().evidence.merge_parts(reports, now));
    }

    /// Merges evidence against requests that another router has announced.
    pub(crate) fn merge_requests(&self, reports: Vec<SuspectReport<RequestDigest>>, now: TimeMs) {
        log_merged(&self.lock().evidence.merge_requests(reports, now));
    }

    /// Grants a probe of suspects in quarantine, or returns the time until the next one.
    pub(crate) fn grant_probe(&self, suspects: &[Suspect], now: TimeMs) -> DurationMs {
        let mut state = self.lock();
        let (pause_ms, changed) = match decide_probe(suspects, &state.records, now.0) {
            ProbeDecision::Send(records) => (DurationMs::ZERO, records),
            ProbeDecision::Wait { pause_ms, missing } => (pause_ms, missing),
        };
        let is_changed = |suspect| changed.iter().any(|record| record.suspect == suspect);
        state.records.retain(|record| !is_changed(record.suspect));
        state.records.extend(changed);
        let excess = state.records.len().saturating_sub(MAX_RECORDS);
        state.records.drain(..excess);
        pause_ms
    }
}

fn log_merged(merged: &Merged<Suspect>) {
    if !merged.quarantined.is_empty() {
        log::warn!(suspects:? = merged.quarantined; "quarantined by other routers");
    }
    if !merged.released.is_empty() {
        log::info!(suspects:? = merged.released; "left quarantine at other routers");
    }
}

/// Returns whether a job is sent as a probe of what is in quarantine, or the error if it must not be sent.
pub(crate) async fn admit(shared: &Shared, job: &Job) -> Result<bool, CallerError> {
    let Verdict::Quarantined(suspects) = shared.quarantine.verdict(job) else {
        return Ok(false);
    };
    let pause_ms = request_probe(shared, &suspects).await;
    log::warn!(
        request_id:% = job.request_id, suspects:? = suspects, pause_ms = pause_ms.0;
        "request is in quarantine"
    );
    if pause_ms == DurationMs::ZERO {
        return Ok(true);
    }
    let message = "upstreams ended under this prompt or a part of it";
    Err(CallerError::unavailable("quarantined_prompt", message).retry_after(pause_ms))
}

async fn request_probe(shared: &Shared, suspects: &[Suspect]) -> DurationMs {
    let owner = suspects.first().and_then(|first| owner(shared, *first));
    let addr = owner.and_then(|owner| shared.members.control_addr(&owner));
    let Some(addr) = addr else {
        return shared.quarantine.grant_probe(suspects, shared.clock.now());
    };
    let suspects = suspects.to_vec();
    let answer = shared.pool.call(addr, |client, context| async move {
        client.request_suspect_probe(context, suspects).await
    });
    answer.await.unwrap_or(NO_PROBE_PAUSE_MS)
}

/// Returns the router that grants the probes of a suspect, unless it is this one.
fn owner(shared: &Shared, suspect: Suspect) -> Option<NodeId> {
    let own = &shared.settings.node;
    let key = match suspect {
        Suspect::Part(block) => u128::from(block.0),
        Suspect::Request(request) => u128::from(request.content),
    };
    let score = |node: &NodeId| rendezvous_score(key, node.as_str(), 1.0);
    let routers = shared.members.routers().into_iter();
    let best = routers.max_by(|a, b| score(a).total_cmp(&score(b)))?;
    (best != *own && score(&best) > score(own)).then_some(best)
}

/// Announces evidence until the task is aborted: news to all other routers, and what is known again to
/// one router after the other.
pub(crate) async fn announce(shared: Arc<Shared>) {
    let mut turn = 0;
    loop {
        // Without news, suspects are announced again after the pause.
        let _ = tokio::time::timeout(MAX_PAUSE, shared.quarantine.news.notified()).await;
        let now = shared.clock.now();
        let (has_news, due) = {
            let mut state = shared.quarantine.lock();
            state.evidence.expire(now);
            (state.evidence.has_news(), state.evidence.take_due(now))
        };
        if due.parts.is_empty() && due.requests.is_empty() {
            continue;
        }
        let mut addrs = other_routers(&shared);
        if !has_news && !addrs.is_empty() {
            turn = (turn + 1) % addrs.len();
            addrs = vec![addrs[turn]];
        }
        send_reports(&shared, addrs, &due).await;
    }
}

fn other_routers(shared: &Shared) -> Vec<SocketAddr> {
    let routers = shared.members.routers().into_iter();
    let others = routers.filter(|node| *node != shared.settings.node);
    others
        .filter_map(|node| shared.members.control_addr(&node))
        .collect()
}

async fn send_reports(shared: &Shared, addrs: Vec<SocketAddr>, due: &DueReports) {
    let sends = addrs.into_iter().map(|addr| {
        let due = due.clone();
        let call = shared.pool.call(addr, |client, context| async move {
            client.suspect_requests(context, due.requests).await?;
            client.suspects(context, due.parts).await
        });
        async move {
            if let Err(e) = call.await {
                log::info!(router:% = addr, error = e.as_str(); "evidence was not announced");
            }
        }
    });
    futures::stream::iter(sends)
        .buffer_unordered(MAX_SENDS)
        .collect::<()>()
        .await;
}

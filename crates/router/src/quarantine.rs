//! Quarantine of prompt blocks under which upstreams end, shared among the routers.
//!
//! Each router announces what it has seen to all others. Of the live routers, one grants the probes of a
//! block: the first by rendezvous hashing.

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
use dw_base::Suspect;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_quarantine::decide_probe;
use dw_quarantine::ProbeDecision;
use dw_quarantine::QuarantineRecord;
use dw_quarantine::Suspects;
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

/// Maximum number of records of quarantined blocks.
const MAX_RECORDS: usize = 4_096;

#[derive(Default)]
struct State {
    suspects: Suspects<ModelPart>,
    /// Records of the blocks whose probes this router grants.
    records: Vec<QuarantineRecord>,
}

/// Prompt blocks under which upstreams ended, as this router knows them.
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

impl Quarantine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn verdict(&self, job: &Job) -> Verdict<ModelPart> {
        let state = self.lock();
        match state.suspects.is_empty() {
            true => Verdict::Clear,
            false => state.suspects.verdict(&blocks(job)),
        }
    }

    /// Returns whether another upstream may end under the job.
    pub(crate) fn may_end_another(&self, job: &Job) -> bool {
        self.verdict(job) != Verdict::Clear
    }

    /// Records that an upstream ended under a job before its first token.
    pub(crate) fn record_end(&self, job: &Job, status: &Status, now: TimeMs) {
        let blocks = blocks(job);
        let start = UpstreamStart::new(&status.upstream, status.upstream_incarnation.0);
        let quarantined = self.lock().suspects.record_end(&blocks, start, now);
        for block in quarantined {
            log::warn!(
                request_id:% = job.request_id, upstream:% = status.upstream, block:%;
                "prompt block quarantined: upstreams ended under it and none has answered"
            );
        }
        self.news.notify_one();
    }

    /// Records the first token of an answer to a job.
    pub(crate) fn record_answer(&self, job: &Job, upstream: &UpstreamId, now: TimeMs) {
        let mut state = self.lock();
        if state.suspects.is_empty() {
            return;
        }
        let released = state.suspects.record_answer(&blocks(job), now);
        state.records.retain(|record| {
            !released
                .iter()
                .any(|block| record.suspect == (*block).into())
        });
        drop(state);
        for block in released {
            log::info!(
                request_id:% = job.request_id, upstream:%, block:%;
                "prompt block left quarantine: an upstream answered"
            );
        }
        self.news.notify_one();
    }

    /// Merges what another router has announced.
    pub(crate) fn merge(&self, reports: Vec<SuspectReport>, now: TimeMs) {
        let merged = self.lock().suspects.merge(reports, now);
        if !merged.quarantined.is_empty() {
            log::warn!(blocks:? = merged.quarantined; "prompt blocks quarantined by other routers");
        }
        if !merged.released.is_empty() {
            log::info!(blocks:? = merged.released; "prompt blocks left quarantine at other routers");
        }
    }

    /// Grants a probe of quarantined blocks, or returns the time until the next one.
    pub(crate) fn grant_probe(&self, blocks: &[ModelPart], now: TimeMs) -> DurationMs {
        let suspects: Vec<Suspect> = blocks.iter().copied().map(Suspect::Part).collect();
        let mut state = self.lock();
        let (pause_ms, changed) = match decide_probe(&suspects, &state.records, now.0) {
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

/// Returns whether a job is sent as the probe of a quarantined block, or the error if it must not be
/// sent.
pub(crate) async fn admit(shared: &Shared, job: &Job) -> Result<bool, CallerError> {
    let Verdict::Quarantined(blocks) = shared.quarantine.verdict(job) else {
        return Ok(false);
    };
    let pause_ms = request_probe(shared, &blocks).await;
    log::warn!(
        request_id:% = job.request_id, blocks:? = blocks, pause_ms = pause_ms.0;
        "request has quarantined prompt blocks"
    );
    if pause_ms == DurationMs::ZERO {
        return Ok(true);
    }
    let message = "upstreams ended under a part of this prompt";
    Err(CallerError::unavailable("quarantined_prompt", message).retry_after(pause_ms))
}

async fn request_probe(shared: &Shared, blocks: &[ModelPart]) -> DurationMs {
    let owner = blocks.first().and_then(|block| owner(shared, *block));
    let addr = owner.and_then(|owner| shared.members.control_addr(&owner));
    let Some(addr) = addr else {
        return shared.quarantine.grant_probe(blocks, shared.clock.now());
    };
    let blocks = blocks.to_vec();
    let answer = shared.pool.call(addr, |client, context| async move {
        client.request_probe(context, blocks).await
    });
    answer.await.unwrap_or(NO_PROBE_PAUSE_MS)
}

/// Returns the router that grants the probes of a block, unless it is this one.
fn owner(shared: &Shared, block: ModelPart) -> Option<NodeId> {
    let own = &shared.settings.node;
    let score = |node: &NodeId| rendezvous_score(u128::from(block.0), node.as_str(), 1.0);
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
        let (has_news, reports) = {
            let mut state = shared.quarantine.lock();
            state.suspects.expire(now);
            (state.suspects.has_news(), state.suspects.take_due(now))
        };
        if reports.is_empty() {
            continue;
        }
        let mut addrs = other_routers(&shared);
        if !has_news && !addrs.is_empty() {
            turn = (turn + 1) % addrs.len();
            addrs = vec![addrs[turn]];
        }
        send_reports(&shared, addrs, &reports).await;
    }
}

fn other_routers(shared: &Shared) -> Vec<SocketAddr> {
    let routers = shared.members.routers().into_iter();
    let others = routers.filter(|node| *node != shared.settings.node);
    others
        .filter_map(|node| shared.members.control_addr(&node))
        .collect()
}

async fn send_reports(shared: &Shared, addrs: Vec<SocketAddr>, reports: &[SuspectReport]) {
    let sends = addrs.into_iter().map(|addr| {
        let reports = reports.to_vec();
        let call = shared.pool.call(addr, |client, context| async move {
            client.suspects(context, reports).await
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

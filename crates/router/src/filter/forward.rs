//! Sends a request to an agent and reads its checked frames.

use std::sync::Arc;
use std::time::Duration;

use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::UpstreamId;
use dw_place::Decision;
use dw_place::Observation;
use dw_quarantine::PROOF_MS;
use dw_spans::TraceParent;
use dw_stream::Sequence;
use dw_stream::Verdict;
use dw_wire::Alternative;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::ResumeRequest;
use dw_wire::RunRequest;
use dw_wire::StreamStart;
use dw_wire::Work;
use dw_wire::PROTOCOL_VERSION;
use fastrace::Span;
use thiserror::Error;

use crate::agents::AgentError;
use crate::agents::Frames;
use crate::filter::chain::with_weights;
use crate::filter::place::chain_of;
use crate::filter::place::Tried;
use crate::members::Agent;
use crate::run::Job;
use crate::shared::Shared;

/// Resumes in a row that may bring nothing new.
const MOST_RESUMES: u32 = 3;

/// Pause before the second resume in a row; it doubles each time.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Time past the deadline in which the agent's own answer can still arrive.
const GRACE: Duration = Duration::from_millis(250);

/// No complete answer was received.
#[derive(Clone, Debug, Error)]
pub(crate) enum Lost {
    /// Nothing was sent.
    #[error("{0}")]
    NotSent(String),
    /// The answer broke off and cannot be resumed.
    #[error("{0}")]
    Broken(String),
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
}

/// One attempt that is running.
pub(crate) struct Live {
    shared: Arc<Shared>,
    job: Arc<Job>,
    upstream: UpstreamId,
    agent: Agent,
    attempt: u32,
    /// Work as it was sent; its chain can differ from that of the job in the weights.
    work: Work,
    frames: Frames,
    sequence: Sequence,
    started: bool,
    /// Whether the start has come on the present connection.
    opened: bool,
    resumes: u32,
    sent_at: TimeMs,
    /// When the first token came.
    token_at: Option<TimeMs>,
    /// When the answer will next have gone on long enough to show that its blocks are sound.
    next_proof: TimeMs,
    /// Ends with the attempt.
    _span: Span,
}

impl Drop for Live {
    fn drop(&mut self) {
        self.shared.observe(&Observation::Finished {
            upstream: self.upstream.clone(),
        });
    }
}

/// Sends a request to the agent of the chosen upstream.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    job: &Arc<Job>,
    tried: &Tried,
    (decision, agent): (Decision, Agent),
) -> Result<Live, Lost> {
    let sent_at = shared.clock.now();
    let span = job.step("forward");
    let trace = job.trace.child_of(&span);
    let work = with_weights(&job.org, &job.work, agent.weights);
    let request = run_request(shared, job, tried, &decision, (trace, work));
    shared.measures.attempts.inc();
    let sending = shared.agents.run(agent.data_addr, &request);
    let answer = tokio::time::timeout(left(shared, job), sending).await;
    let frames = match answer {
        Err(_) => return Err(Lost::Deadline),
        Ok(Err(AgentError::NotSent(detail))) => {
            shared.members.failed(&agent.node, sent_at);
            return Err(Lost::NotSent(detail));
        }
        Ok(other) => other,
    };
    shared.observe(&Observation::Sent {
        upstream: decision.upstream.clone(),
        uncached_tokens: expected_tokens(job, &decision),
    });
    let mut lost = None;
    let frames = match frames {
        Ok(frames) => frames,
        Err(e) => {
            lost = Some(e);
            Frames::ended()
        }
    };
    let mut live = Live {
        shared: shared.clone(),
        job: job.clone(),
        upstream: decision.upstream,
        agent,
        attempt: request.attempt,
        work: request.work,
        frames,
        sequence: Sequence::new(job.request_id.clone()),
        started: false,
        opened: false,
        resumes: 0,
        sent_at,
        token_at: None,
        next_proof: sent_at,
        _span: span,
    };
    if let Some(e) = lost {
        live.resume(&e.to_string()).await?;
    }
    Ok(live)
}

fn run_request(
    shared: &Shared,
    job: &Job,
    tried: &Tried,
    decision: &Decision,
    (trace, work): (TraceParent, Work),
) -> RunRequest {
    RunRequest {
        protocol: PROTOCOL_VERSION,
        request_id: job.request_id.clone(),
        attempt: tried.attempt + 1,
        hops: tried.hops,
        alternative: decision.alternative.map(|other| Alternative {
            cost_ms: other.cost_ms,
            prefill_weight: other.prefill_weight,
        }),
        router: shared.settings.node.clone(),
        upstream: decision.upstream.clone(),
        org: job.org.clone(),
        service: job.service.name.clone(),
        priority: job.priority,
        worth: job.service.worth,
        repeat: job.service.repeat,
        budget_ms: job.remaining(shared.clock.now()),
        config_version: job.config_version,
        traceparent: Some(trace.to_string()),
        work,
    }
}

fn expected_tokens(job: &Job, decision: &Decision) -> Tokens {
    let mut considered = decision.candidates.iter();
    let chosen = considered.find(|candidate| candidate.upstream == decision.upstream);
    let depth = chosen.map_or(0, |candidate| candidate.warm_depth as usize);
    chain_of(&job.work).map_or(Tokens(0), |chain| chain.uncached_tokens(depth))
}

fn left(shared: &Shared, job: &Job) -> Duration {
    Duration::from(job.remaining(shared.clock.now())) + GRACE
}

impl Live {
    /// Returns the upstream.
    pub(crate) fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// Returns the next frame that belongs to the request and is in order.
    pub(crate) async fn next(&mut self) -> Result<Frame, Lost> {
        loop {
            let wait = left(&self.shared, &self.job);
            let Ok(received) = tokio::time::timeout(wait, self.frames.next()).await else {
                return Err(Lost::Deadline);
            };
            match received {
                Ok(frame) => match self.check(frame) {
                    Ok(Some(frame)) => {
                        self.record_evidence(&frame);
                        return Ok(frame);
                    }
                    Ok(None) => {}
                    Err(fault) => self.resume(&fault).await?,
                },
                Err(e) => self.resume(&e.to_string()).await?,
            }
        }
    }

    /// Returns the frame if it is to be delivered, nothing for a duplicate, and the reason to
    /// resume for a frame of another request or after a gap.
    fn check(&mut self, frame: Frame) -> Result<Option<Frame>, String> {
        let text = |e: &dyn std::fmt::Display| e.to_string();
        match &frame {
            Frame::Start(start) => {
                self.sequence
                    .start(&start.request_id)
                    .map_err(|e| text(&e))?;
                self.opened = true;
                if std::mem::replace(&mut self.started, true) {
                    return Ok(None);
                }
                self.observe_start(start);
            }
            Frame::Chunk { seq, .. } => {
                // Only the start names the request, so it must come first on each connection.
                if !self.opened {
                    return Err("a chunk arrived before the start".to_owned());
                }
                match self.sequence.chunk(*seq) {
                    Verdict::Deliver => self.resumes = 0,
                    Verdict::Duplicate => return Ok(None),
                    Verdict::Gap { expected } => {
                        return Err(format!("chunk {expected} is missing"))
                    }
                }
            }
            Frame::End(end) => {
                let checked = self.sequence.end(&end.request_id, end.chunks);
                checked.map_err(|e| text(&e))?;
                self.report(&end.status);
            }
            Frame::Answer(answer) => {
                self.sequence
                    .start(&answer.request_id)
                    .map_err(|e| text(&e))?;
                self.report(&answer.status);
            }
            Frame::Refused(refusal) => {
                self.sequence
                    .start(&refusal.request_id)
                    .map_err(|e| text(&e))?;
                if let Some(status) = &refusal.status {
                    self.report(status);
                }
            }
            Frame::Failed(failure) => {
                self.sequence
                    .start(&failure.request_id)
                    .map_err(|e| text(&e))?;
                self.report(&failure.status);
            }
        }
        Ok(Some(frame))
    }

    /// Records what a frame says about the prompt: that it is answered, or that the engine ended under it.
    /// A plain service that fails a call may have cut the connection only.
    fn record_evidence(&mut self, frame: &Frame) {
        if !matches!(self.work, Work::Generate { .. }) {
            return;
        }
        let (now, quarantine) = (self.shared.clock.now(), &self.shared.quarantine);
        match frame {
            Frame::Chunk { .. } if self.token_at.is_none() => {
                self.token_at = Some(now);
                self.next_proof = now + PROOF_MS;
            }
            Frame::Chunk { .. } if now >= self.next_proof => {
                self.next_proof = now + PROOF_MS;
                quarantine.record_progress(&self.job, &self.upstream, now);
            }
            Frame::End(_) => quarantine.record_answer(&self.job, &self.upstream, now),
            Frame::Failed(failure) if failure.kind == FailureKind::UpstreamLost => {
                let answering_ms = self.token_at.map(|token_at| now.since(token_at));
                quarantine.record_end(&self.job, &failure.status, answering_ms, now);
            }
            _ => {}
        }
    }

    fn report(&self, status: &dw_wire::Status) {
        let chain = chain_of(&self.work);
        self.shared.report(&self.upstream, status, chain);
    }

    fn observe_start(&self, start: &StreamStart) {
        self.report(&start.status);
        let Some(chain) = chain_of(&self.work) else {
            return;
        };
        let after = self.shared.clock.now().since(self.job.arrived);
        let (service, priority) = self.job.labels();
        self.shared.measures.first_token(service, &priority, after);
        self.shared.observe(&Observation::FirstToken {
            upstream: self.upstream.clone(),
            chain: chain.clone(),
            cached_tokens: Tokens(start.cached_tokens),
            queued_ms: start.queued_ms,
            first_token_ms: self.shared.clock.now().since(self.sent_at),
        });
    }

    /// Opens the answer again after the last chunk that was delivered.
    async fn resume(&mut self, why: &str) -> Result<(), Lost> {
        // The broken connection is dropped first, so that nothing more is read from it.
        self.frames = Frames::ended();
        self.opened = false;
        loop {
            if self.resumes >= MOST_RESUMES {
                return Err(Lost::Broken(why.to_owned()));
            }
            self.resumes += 1;
            if self.resumes > 1 {
                tokio::time::sleep(RESUME_PAUSE * (1 << (self.resumes - 2))).await;
            }
            log::warn!(
                request_id:% = self.job.request_id, upstream:% = self.upstream,
                from_seq = self.sequence.next_seq(), reason = why; "answer is resumed"
            );
            self.shared.measures.resumes.inc();
            let request = ResumeRequest {
                protocol: PROTOCOL_VERSION,
                request_id: self.job.request_id.clone(),
                attempt: self.attempt,
                from_seq: self.sequence.next_seq(),
            };
            let resuming = self.shared.agents.resume(self.agent.data_addr, &request);
            let wait = left(&self.shared, &self.job);
            match tokio::time::timeout(wait, resuming).await {
                Err(_) => return Err(Lost::Deadline),
                Ok(Ok(frames)) => {
                    self.frames = frames;
                    return Ok(());
                }
                Ok(Err(AgentError::NotSent(detail))) => {
                    let now = self.shared.clock.now();
                    self.shared.members.failed(&self.agent.node, now);
                    // The first request was sent, so that this is not "not sent".
                    return Err(Lost::Broken(detail));
                }
                Ok(Err(AgentError::Broken(_))) => {}
            }
        }
    }
}

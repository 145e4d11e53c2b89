//! Runs a generation on the engine and relays its tokens.

use std::sync::Arc;
use std::time::Duration;

use dw_admit::Finished;
use dw_api::engine::GenerateEvent;
use dw_api::engine::GenerateRequest;
use dw_api::engine::ResumeRequest;
use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::WeightsVersion;
use dw_base::BLOCK_TOKENS;
use dw_cache::Prediction;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::RefusalReason;
use dw_wire::RunRequest;
use dw_wire::StreamEnd;
use dw_wire::StreamStart;

use crate::arrival::Arrival;
use crate::client::UpstreamError;
use crate::engine::EventStream;
use crate::kv;
use crate::live::Live;
use crate::queue::Slot;
use crate::shared::lock;
use crate::shared::Explained;
use crate::shared::Shared;
use crate::trace::Trace;
use crate::wait::failed;
use crate::wait::ticket;
use crate::wait::wait_for_slot;

/// Times that one generation is resumed after its connection broke.
const MAX_RESUMES: u32 = 5;

/// Pause before the first resume; it doubles with each further one.
const RESUME_BACKOFF_MS: u64 = 10;

/// What to generate.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) model: ModelId,
    pub(crate) weights: WeightsVersion,
    pub(crate) chain: Chain,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u64,
}

enum Outcome {
    Ended(Box<Frame>),
    Preempted,
}

enum Signal {
    Event(Result<GenerateEvent, UpstreamError>),
    Preempted,
    Abandoned,
    Deadline,
}

/// One generation over all its rounds; a pre-emption starts another round.
pub(crate) struct Generation {
    shared: Arc<Shared>,
    request: RunRequest,
    job: Job,
    live: Arc<Live>,
    arrived: TimeMs,
    deadline: TimeMs,
    round: u32,
    suspended: Option<Suspended>,
    text: String,
    tokens: u64,
    explained: Explained,
    trace: Trace,
}

/// A generation that was cancelled on the engine in order to be resumed.
struct Suspended {
    engine_id: String,
    next_index: u64,
}

/// State of one round on the engine.
struct Round {
    engine_id: String,
    predicted: Prediction,
    imported: u64,
    opened: TimeMs,
    first_token: Option<TimeMs>,
    computed_tokens: u64,
    next_index: u64,
    resumes: u32,
    /// Whether the engine still has to be asked to resume what it cancelled.
    suspended: bool,
}

impl Generation {
    pub(crate) fn new(shared: Arc<Shared>, arrival: Arrival, job: Job) -> Self {
        let Arrival {
            request,
            live,
            arrived,
            trace,
        } = arrival;
        let explained = Explained {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            arrived,
            warm_depth: shared.feed.predict(&job.chain).depth,
            imported_pieces: 0,
            cached_tokens: None,
            queued_ms: None,
            result: String::new(),
        };
        Generation {
            deadline: arrived + request.budget_ms,
            shared,
            request,
            job,
            live,
            arrived,
            round: 0,
            suspended: None,
            text: String::new(),
            tokens: 0,
            explained,
            trace,
        }
    }

    /// Runs the generation to its end.
    pub(crate) async fn run(mut self) {
        let mut ticket = ticket(&self.shared, &self.request, self.deadline);
        let end = loop {
            let resumed = self.round > 0;
            let (shared, request) = (&self.shared, &self.request);
            let queued = self.trace.step("queue");
            let slot = wait_for_slot(shared, request, &self.live, &ticket, resumed).await;
            drop(queued);
            let slot = match slot {
                Ok(slot) => slot,
                // After a pre-emption "not run" would be false.
                Err(_) if self.round > 0 => {
                    break self.fail(FailureKind::Cancelled, "pre-empted and not started again")
                }
                Err(refused) => break *refused,
            };
            match self.run_round(&slot).await {
                (Outcome::Ended(frame), finished) => {
                    slot.finish(finished);
                    break *frame;
                }
                (Outcome::Preempted, _) => slot.vacate(),
            }
            self.round += 1;
            ticket.max_tokens = Tokens(self.job.max_tokens.saturating_sub(self.tokens));
        };
        self.explained.result = match &end {
            Frame::End(_) => "complete".to_owned(),
            Frame::Refused(refusal) => format!("refused {:?}", refusal.reason),
            Frame::Failed(failure) => format!("failed {:?}", failure.kind),
            _ => "unexpected".to_owned(),
        };
        self.live.end(&end, self.shared.clock.now());
        self.shared.explain(self.explained);
    }

    async fn run_round(&mut self, slot: &Slot) -> (Outcome, Finished) {
        let predicted = self.shared.feed.predict(&self.job.chain);
        let (chain, org) = (&self.job.chain, &self.request.org);
        let importing = self.trace.step("import");
        let imported = kv::import(&self.shared, chain, org, predicted.depth).await;
        drop(importing);
        self.explained.imported_pieces = imported;
        let now = self.shared.clock.now();
        self.explained
            .queued_ms
            .get_or_insert(now.since(self.arrived));
        let suspended = self.suspended.take();
        let mut round = Round {
            suspended: suspended.is_some(),
            next_index: suspended.as_ref().map_or(0, |earlier| earlier.next_index),
            engine_id: suspended.map_or_else(|| self.engine_id(), |earlier| earlier.engine_id),
            predicted,
            imported,
            opened: now,
            first_token: None,
            computed_tokens: 0,
            resumes: 0,
        };
        let first_index = round.next_index;
        let generating = self.trace.step("generate");
        let outcome = self.relay(slot, &mut round).await;
        drop(generating);
        let now = self.shared.clock.now();
        let finished = Finished {
            id: 0,
            computed_tokens: Tokens(round.computed_tokens),
            generated_tokens: Tokens(round.next_index.saturating_sub(first_index)),
            prefill_ms: round
                .first_token
                .map_or(DurationMs::ZERO, |at| at.since(round.opened)),
            total_ms: now.since(round.opened),
        };
        (outcome, finished)
    }

    async fn relay(&mut self, slot: &Slot, round: &mut Round) -> Outcome {
        let live = Arc::clone(&self.live);
        let abandoned = live.abandoned();
        let deadline =
            tokio::time::sleep(Duration::from(self.deadline.since(self.shared.clock.now())));
        tokio::pin!(abandoned, deadline);
        let mut stream: Option<EventStream> = None;
        let mut computed = false;
        loop {
            let signal = {
                let event = self.next_event(&mut stream, round);
                tokio::select! {
                    biased;
                    event = event => Signal::Event(event),
                    () = &mut abandoned => Signal::Abandoned,
                    () = slot.preempted() => Signal::Preempted,
                    () = &mut deadline, if !live.started() => Signal::Deadline,
                }
            };
            let event = match signal {
                Signal::Event(event) => event,
                Signal::Preempted => {
                    self.shared.metrics.preemptions.inc();
                    self.cancel(round).await;
                    self.suspended = Some(Suspended {
                        engine_id: round.engine_id.clone(),
                        next_index: round.next_index,
                    });
                    return Outcome::Preempted;
                }
                Signal::Abandoned => {
                    self.cancel(round).await;
                    return self.ended(FailureKind::Cancelled, "the caller has left");
                }
                Signal::Deadline => {
                    self.cancel(round).await;
                    return self.ended(FailureKind::DeadlineExceeded, "no token by the deadline");
                }
            };
            let result = match event {
                Ok(event) => {
                    round.suspended = false;
                    // A resumed generation sends no start; its first token says the same.
                    if !std::mem::replace(&mut computed, true) {
                        slot.first_token();
                    }
                    self.on_event(round, event).await
                }
                // The engine has forgotten what it cancelled. The text so far continues the prompt.
                Err(UpstreamError::Rejected { .. }) if round.suspended => {
                    round.suspended = false;
                    round.engine_id = self.engine_id();
                    round.next_index = 0;
                    continue;
                }
                // The engine may have accepted a request whose answer was lost.
                Err(UpstreamError::Lost(cause)) => Err(Some(cause)),
                Err(error) => return self.not_opened(&error),
            };
            match result {
                Ok(None) => {}
                Ok(Some(frame)) => return Outcome::Ended(Box::new(frame)),
                Err(None) => return self.ended(FailureKind::UpstreamError, "weights changed"),
                Err(Some(cause)) => match self.resume(round, &cause).await {
                    Ok(resumed) => stream = Some(resumed),
                    Err(outcome) => return outcome,
                },
            }
        }
    }

    fn engine_id(&self) -> String {
        let request = &self.request;
        format!("{}.{}.{}", request.request_id, request.attempt, self.round)
    }

    /// Opens the stream if there is none, and returns its next event.
    async fn next_event(
        &self,
        stream: &mut Option<EventStream>,
        round: &Round,
    ) -> Result<GenerateEvent, UpstreamError> {
        if let Some(stream) = stream {
            return stream.next().await;
        }
        let engine = &self.shared.engine;
        let opened = if round.suspended {
            engine.resume(&resume_request(round)).await?
        } else {
            engine.generate(&self.engine_request(round)).await?
        };
        stream.insert(opened).next().await
    }

    fn engine_request(&self, round: &Round) -> GenerateRequest {
        GenerateRequest {
            cache_salt: self.job.chain.root.to_string(),
            max_tokens: self.job.max_tokens.saturating_sub(self.tokens),
            model: self.job.model.to_string(),
            priority: self.request.priority.index() as u64,
            prompt: format!("{}{}", self.job.prompt, self.text),
            request_id: round.engine_id.clone(),
            user: self.request.org.to_string(),
            weights_version: Some(self.job.weights.0),
        }
    }

    /// Returns the last frame, or an error: a cause to resume, or `None` if the weights differ.
    async fn on_event(
        &mut self,
        round: &mut Round,
        event: GenerateEvent,
    ) -> Result<Option<Frame>, Option<String>> {
        match event {
            GenerateEvent::Start {
                cached_tokens,
                incarnation,
                prompt_tokens,
                weights_version,
                ..
            } => {
                let weights = WeightsVersion(weights_version);
                self.shared.observe(Incarnation(incarnation), weights);
                if weights != self.job.weights {
                    self.cancel(round).await;
                    return Err(None);
                }
                self.on_start(round, prompt_tokens, cached_tokens);
                Ok(None)
            }
            GenerateEvent::Token { index, .. } if index < round.next_index => Ok(None),
            GenerateEvent::Token { index, .. } if index > round.next_index => {
                Err(Some(format!("token {} is missing", round.next_index)))
            }
            GenerateEvent::Token { text, .. } => {
                if !self.live.started() {
                    // The start event was lost with the connection; nothing is known of the cache.
                    self.on_start(round, self.job.chain.prompt_tokens.0, 0);
                }
                if self.tokens == 0 {
                    // The prompt is computed now, so that other engines need not compute it.
                    kv::computed(&self.shared, &self.job.chain);
                }
                round.next_index += 1;
                self.tokens += 1;
                self.text.push_str(&text);
                self.live.chunk(text);
                Ok(None)
            }
            GenerateEvent::End {
                finish_reason,
                tokens,
                ..
            } if tokens == round.next_index => Ok(Some(self.end(finish_reason))),
            GenerateEvent::End { tokens, .. } => Err(Some(format!(
                "the engine counts {tokens} tokens, {} arrived",
                round.next_index
            ))),
        }
    }

    fn on_start(&mut self, round: &mut Round, prompt_tokens: u64, cached_tokens: u64) {
        let now = self.shared.clock.now();
        if round.first_token.is_some() {
            return;
        }
        round.first_token = Some(now);
        round.computed_tokens = prompt_tokens.saturating_sub(cached_tokens);
        let found = usize::try_from(cached_tokens / BLOCK_TOKENS).unwrap_or(usize::MAX);
        let chain = self.job.chain.clone();
        self.shared.feed.report(chain, round.predicted, found);
        if self.live.started() {
            return;
        }
        self.explained.cached_tokens = Some(cached_tokens);
        let incarnation = self.shared.upstream().incarnation;
        let router = &self.request.router;
        lock(&self.shared.recent).add(incarnation, router, &self.job.chain);
        self.live.start(&Frame::Start(StreamStart {
            request_id: self.request.request_id.clone(),
            prompt_tokens,
            cached_tokens,
            imported_tokens: round.imported * BLOCK_TOKENS,
            queued_ms: round.opened.since(self.arrived),
            status: self
                .shared
                .status_for(&self.request.router, Some(&self.job.chain)),
        }));
    }

    fn end(&self, finish_reason: String) -> Frame {
        Frame::End(StreamEnd {
            request_id: self.request.request_id.clone(),
            chunks: self.tokens,
            tokens: self.tokens,
            finish_reason,
            status: self.shared.status(Some(&self.job.chain)),
        })
    }

    /// Continues on a new connection; fails if the engine does not know the generation.
    async fn resume(&self, round: &mut Round, cause: &str) -> Result<EventStream, Outcome> {
        log::info!(
            "event=engine_stream_broken request_id={} from_index={} cause={cause:?}",
            self.request.request_id,
            round.next_index
        );
        let request = resume_request(round);
        while round.resumes < MAX_RESUMES {
            let backoff_ms = RESUME_BACKOFF_MS << round.resumes;
            round.resumes += 1;
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
            match self.shared.engine.resume(&request).await {
                Ok(stream) => return Ok(stream),
                Err(UpstreamError::Rejected { message, .. }) => {
                    return Err(self.ended(FailureKind::UpstreamLost, message));
                }
                Err(_) => {}
            }
        }
        Err(self.ended(FailureKind::UpstreamLost, cause))
    }

    /// Ends a round that the engine did not begin.
    fn not_opened(&self, error: &UpstreamError) -> Outcome {
        let reason = match error {
            UpstreamError::NotSent(_) => Some(RefusalReason::NotReady),
            UpstreamError::Rejected { kind, .. } => match kind.as_str() {
                "loading" | "wrong_weights" => Some(RefusalReason::NotReady),
                "overloaded" => Some(RefusalReason::QueueFull),
                _ => None,
            },
            UpstreamError::Lost(_) => None,
        };
        match (reason, error) {
            (Some(reason), _) if self.round == 0 => Outcome::Ended(Box::new(self.shared.refusal(
                &self.request.request_id,
                reason,
                None,
                Some(&self.job.chain),
            ))),
            (_, UpstreamError::Rejected { .. }) => {
                self.ended(FailureKind::UpstreamError, error.to_string())
            }
            _ => self.ended(FailureKind::UpstreamLost, error.to_string()),
        }
    }

    async fn cancel(&self, round: &Round) {
        if let Err(error) = self.shared.engine.cancel(&round.engine_id).await {
            log::warn!(
                "event=cancel_failed request_id={} error={:?}",
                self.request.request_id,
                error.to_string()
            );
        }
    }

    fn ended(&self, kind: FailureKind, message: impl Into<String>) -> Outcome {
        Outcome::Ended(Box::new(self.fail(kind, message)))
    }

    fn fail(&self, kind: FailureKind, message: impl Into<String>) -> Frame {
        failed(&self.shared, &self.request, kind, true, message)
    }
}

fn resume_request(round: &Round) -> ResumeRequest {
    ResumeRequest {
        from_index: round.next_index,
        request_id: round.engine_id.clone(),
    }
}

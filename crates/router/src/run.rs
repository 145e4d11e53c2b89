//! Attempts to run a request, with better homes and retries.

use std::sync::Arc;
use std::time::Duration;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::Priority;
use dw_base::RequestId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_config::Service;
use dw_place::KnownCost;
use dw_retry::Attempt;
use dw_retry::Decision;
use dw_retry::Outcome;
use dw_spans::TraceParent;
use dw_wire::Answer;
use dw_wire::Failure;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::Refusal;
use dw_wire::RefusalReason;
use dw_wire::RepeatRule;
use dw_wire::StreamEnd;
use dw_wire::StreamStart;
use dw_wire::Work;
use fastrace::Span;
use http::StatusCode;

use crate::error::CallerError;
use crate::filter::forward::forward;
use crate::filter::forward::Live;
use crate::filter::forward::Lost;
use crate::filter::place::place;
use crate::filter::place::Tried;
use crate::quarantine;
use crate::shared::Shared;

/// Most hops to a better home (section 5.1 of the design).
const MOST_HOPS: u32 = 2;

/// A request that is ready to be placed.
#[derive(Clone)]
pub(crate) struct Job {
    pub(crate) request_id: RequestId,
    pub(crate) org: OrgId,
    pub(crate) service: Service,
    pub(crate) priority: Priority,
    pub(crate) arrived: TimeMs,
    pub(crate) deadline: TimeMs,
    pub(crate) config_version: ConfigVersion,
    pub(crate) span: Arc<Span>,
    pub(crate) trace: TraceParent,
    pub(crate) work: Work,
    /// Whether the caller wants events as they are generated.
    pub(crate) stream: bool,
}

impl Job {
    /// Returns the service and the priority as labels of metrics.
    pub(crate) fn labels(&self) -> (&str, String) {
        (self.service.name.as_str(), self.priority.to_string())
    }

    /// Starts the span of a step, below that of the request.
    pub(crate) fn step(&self, name: &'static str) -> Span {
        Span::enter_with_parent(name, &self.span)
    }

    /// Returns the time that remains until the deadline.
    pub(crate) fn remaining(&self, now: TimeMs) -> DurationMs {
        self.deadline.since(now)
    }
}

/// An answer of which nothing has been sent to the caller.
pub(crate) enum Begun {
    /// A stream whose prompt is computed, with its first frame after the start.
    Stream(Box<Live>, StreamStart, Frame),
    /// The whole text of a stream.
    Whole(Whole),
    /// The whole answer of a plain service.
    Answer(UpstreamId, Answer),
}

/// A stream that was collected.
pub(crate) struct Whole {
    pub(crate) upstream: UpstreamId,
    pub(crate) start: StreamStart,
    pub(crate) text: String,
    pub(crate) end: StreamEnd,
}

enum Ended {
    Begun(Box<Begun>),
    Refused(Refusal),
    Failed(Failure),
}

struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    job: &'a Arc<Job>,
    tried: Tried,
    retries: u32,
    may_have_run: bool,
    /// Whether the request is the probe of a quarantined block.
    is_probe: bool,
}

/// Runs a request until an upstream has begun to answer.
pub(crate) async fn begin(shared: &Arc<Shared>, job: &Arc<Job>) -> Result<Begun, CallerError> {
    let mut attempts = Attempts {
        shared,
        job,
        tried: Tried::default(),
        retries: 0,
        may_have_run: false,
        is_probe: false,
    };
    let result = attempts.run().await;
    result.map_err(|e| e.may_have_run(attempts.may_have_run))
}

impl Attempts<'_> {
    async fn run(&mut self) -> Result<Begun, CallerError> {
        let mut last = None;
        loop {
            let budget = self.job.remaining(self.shared.clock.now());
            if budget == DurationMs::ZERO {
                return Err(deadline_exceeded());
            }
            if !self.may_have_run && !self.is_probe {
                self.is_probe = quarantine::admit(self.shared, self.job).await?;
            }
            let placed = place(self.shared, self.job, &self.tried, budget);
            let Some(placed) = placed else {
                return Err(last.unwrap_or_else(|| no_upstream(self.job)));
            };
            let upstream = placed.0.upstream.clone();
            let result = self.attempt(placed).await;
            self.tried.attempt += 1;
            self.tried.hint = None;
            let (error, outcome) = match result {
                Ok(Ended::Begun(begun)) => {
                    if self.tried.attempt == 1 {
                        self.shared.retries().answered(&self.job.service.name);
                    }
                    return Ok(*begun);
                }
                Ok(Ended::Refused(refusal)) => {
                    if self.hop(&upstream, &refusal) {
                        continue;
                    }
                    self.tried.excluded.push(upstream);
                    self.refused(&refusal)?
                }
                Ok(Ended::Failed(failure)) => {
                    self.tried.excluded.push(upstream);
                    self.failed(&failure)?
                }
                Err(lost) => {
                    self.tried.excluded.push(upstream);
                    self.lost(&lost)?
                }
            };
            if self.may_have_run && self.shared.quarantine.may_end_another(self.job) {
                return Err(error);
            }
            self.retry(&error, outcome).await?;
            last = Some(error);
        }
    }

    /// Makes one attempt up to the first frame that can be passed to the caller.
    async fn attempt(
        &mut self,
        placed: (dw_place::Decision, crate::members::Agent),
    ) -> Result<Ended, Lost> {
        let mut live = forward(self.shared, self.job, &self.tried, placed).await?;
        let first = live.next().await?;
        let start = match first {
            Frame::Start(start) => start,
            other => return ended(&live, other),
        };
        let next = live.next().await?;
        if !self.job.stream {
            return collect(&mut live, start, next).await;
        }
        match next {
            Frame::Chunk { .. } | Frame::End(_) => {
                let begun = Begun::Stream(Box::new(live), start, next);
                Ok(Ended::Begun(Box::new(begun)))
            }
            other => ended(&live, other),
        }
    }

    /// Follows an agent's advice; hops are not retries, because the agent ran nothing and knows
    /// its exact cost, or is not overloaded.
    fn hop(&mut self, upstream: &UpstreamId, refusal: &Refusal) -> bool {
        if matches!(
            refusal.reason,
            RefusalReason::NotReady | RefusalReason::Leaving
        ) {
            // In a rolling change each engine refuses what was sent before its end was known.
            self.tried.excluded.push(upstream.clone());
            self.tried.hops += 1;
            return self.tried.hops <= MOST_HOPS;
        }
        if refusal.reason != RefusalReason::BetterHome || self.tried.hops >= MOST_HOPS {
            return false;
        }
        match (&refusal.better, &refusal.status) {
            (Some(better), _) if self.tried.excluded.contains(better) => return false,
            (Some(better), _) => {
                self.tried.excluded.push(upstream.clone());
                self.tried.hint = Some(better.clone());
            }
            (None, Some(status)) => self.tried.known.push(KnownCost {
                upstream: upstream.clone(),
                warm_depth: status.warm_depth,
                wait_ms: status.queue_wait_ms[self.job.priority.index()],
            }),
            (None, None) => return false,
        }
        self.tried.hops += 1;
        self.shared.measures.hops.inc();
        true
    }

    /// Returns the error to report if no retry is possible; fails at once if none would help.
    fn refused(&self, refusal: &Refusal) -> Result<(CallerError, Outcome), CallerError> {
        let error = refusal_error(refusal);
        let final_reason = matches!(
            refusal.reason,
            RefusalReason::InProgress
                | RefusalReason::OutcomeUnknown
                | RefusalReason::KeyReused
                | RefusalReason::TableUnavailable
                | RefusalReason::BadRequest
        );
        if final_reason {
            return Err(error);
        }
        let retry_after_ms = refusal.retry_after_ms.unwrap_or(DurationMs::ZERO);
        Ok((error, Outcome::Refused { retry_after_ms }))
    }

    fn failed(&mut self, failure: &Failure) -> Result<(CallerError, Outcome), CallerError> {
        self.may_have_run |= failure.may_have_run;
        let error = failure_error(self.job, failure);
        let final_kind = matches!(
            failure.kind,
            FailureKind::DeadlineExceeded | FailureKind::Cancelled
        );
        if final_kind {
            return Err(error);
        }
        let outcome = match failure.may_have_run {
            true => Outcome::MayHaveRun,
            false => Outcome::Refused {
                retry_after_ms: DurationMs::ZERO,
            },
        };
        Ok((error, outcome))
    }

    fn lost(&mut self, lost: &Lost) -> Result<(CallerError, Outcome), CallerError> {
        match lost {
            Lost::NotSent(detail) => {
                let error = CallerError::unavailable("unavailable", detail);
                Ok((error, Outcome::ConnectFailed))
            }
            Lost::Deadline => {
                self.may_have_run = true;
                Err(deadline_exceeded())
            }
            Lost::Broken(detail) => {
                self.may_have_run = true;
                Ok((lost_error(self.job, detail), Outcome::MayHaveRun))
            }
        }
    }

    /// Spends a retry and waits, or returns the error if no retry is allowed.
    async fn retry(&mut self, error: &CallerError, outcome: Outcome) -> Result<(), CallerError> {
        let attempt = Attempt {
            outcome,
            rule: self.job.service.repeat,
            // Nothing is passed on before an attempt has begun to answer.
            bytes_sent: 0,
            deadline: self.job.deadline,
            attempt: self.retries,
        };
        let now = self.shared.clock.now();
        let service = &self.job.service.name;
        let decision = self.shared.retries().decide(service, &attempt, now);
        match decision {
            Decision::Retry { delay_ms } => {
                self.retries += 1;
                self.shared.measures.retries.inc();
                tokio::time::sleep(Duration::from(delay_ms)).await;
                Ok(())
            }
            Decision::GiveUp(_) => Err(error.clone()),
        }
    }
}

/// Returns the error for an answer that broke off.
pub(crate) fn lost_error(job: &Job, detail: &str) -> CallerError {
    if job.service.repeat == RepeatRule::AtMostOnce {
        return CallerError::not_run(
            StatusCode::CONFLICT,
            "outcome_unknown",
            format!("the call may have run: {detail}"),
            "ask again with the same Idempotency-Key and body",
        )
        .may_have_run(true)
        .retry_after(DurationMs(1_000));
    }
    CallerError::unavailable("unavailable", detail).may_have_run(true)
}

/// Returns the error for a failure that an agent has reported.
pub(crate) fn failure_error(job: &Job, failure: &Failure) -> CallerError {
    match failure.kind {
        FailureKind::DeadlineExceeded => deadline_exceeded().may_have_run(failure.may_have_run),
        _ if failure.may_have_run => lost_error(job, &failure.message),
        _ => CallerError::unavailable("unavailable", &failure.message),
    }
}

/// Returns the error for a deadline that has passed.
pub(crate) fn deadline_exceeded() -> CallerError {
    CallerError::not_run(
        StatusCode::GATEWAY_TIMEOUT,
        "deadline_exceeded",
        "the deadline passed before the answer was complete",
        "send the request with a longer X-Deadline-Ms",
    )
}

fn no_upstream(job: &Job) -> CallerError {
    CallerError::unavailable(
        "unavailable",
        format!("no upstream serves {} now", job.service.name),
    )
}

fn refusal_error(refusal: &Refusal) -> CallerError {
    let unavailable = |kind, message: &str| CallerError::unavailable(kind, message);
    let error = match refusal.reason {
        RefusalReason::QueueFull => CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "queue_full",
            "the upstreams are overloaded",
            "send the request again after the stated time",
        ),
        RefusalReason::DeadlineUnmeetable => CallerError::not_run(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline_unmeetable",
            "the deadline cannot be met under the present load",
            "send the request after the stated time or with a longer X-Deadline-Ms",
        ),
        RefusalReason::InProgress => CallerError::not_run(
            StatusCode::CONFLICT,
            "in_progress",
            "a call with this Idempotency-Key is running",
            "ask again with the same key and body after the stated time",
        )
        .may_have_run(true),
        RefusalReason::OutcomeUnknown => CallerError::not_run(
            StatusCode::CONFLICT,
            "outcome_unknown",
            "a call with this Idempotency-Key may have run",
            "check the effect of the call; use a new key only if it did not run",
        )
        .may_have_run(true),
        RefusalReason::KeyReused => CallerError::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "this Idempotency-Key was used with another body",
            "use a new key for another call",
        ),
        RefusalReason::TableUnavailable => unavailable(
            "unavailable",
            "calls that run at most once cannot be recorded now",
        ),
        RefusalReason::BadRequest => {
            unavailable("unavailable", "router and agent run different releases")
        }
        RefusalReason::BetterHome
        | RefusalReason::Leaving
        | RefusalReason::NotReady
        | RefusalReason::WrongUpstream
        | RefusalReason::Isolated => {
            unavailable("unavailable", "the chosen upstreams are not ready")
        }
    };
    match refusal.retry_after_ms {
        Some(after) => error.retry_after(after),
        None => error,
    }
}

/// Reads a stream to its end. Nothing reaches the caller before, so that a failed attempt can be
/// repeated.
async fn collect(live: &mut Live, start: StreamStart, first: Frame) -> Result<Ended, Lost> {
    let mut text = String::new();
    let mut frame = first;
    loop {
        match frame {
            Frame::Chunk { text: more, .. } => text.push_str(&more),
            Frame::End(end) => {
                let upstream = live.upstream().clone();
                let whole = Whole {
                    upstream,
                    start,
                    text,
                    end,
                };
                return Ok(Ended::Begun(Box::new(Begun::Whole(whole))));
            }
            other => return ended(live, other),
        }
        frame = live.next().await?;
    }
}

/// Classifies a frame that ends an attempt without a stream.
fn ended(live: &Live, frame: Frame) -> Result<Ended, Lost> {
    match frame {
        Frame::Answer(answer) => {
            let begun = Begun::Answer(live.upstream().clone(), answer);
            Ok(Ended::Begun(Box::new(begun)))
        }
        Frame::Refused(refusal) => Ok(Ended::Refused(refusal)),
        Frame::Failed(failure) => Ok(Ended::Failed(failure)),
        Frame::Start(_) | Frame::Chunk { .. } | Frame::End(_) => {
            Err(Lost::Broken("the answer is not in order".to_owned()))
        }
    }
}

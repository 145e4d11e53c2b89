//! Relaying of an upstream's answer to the caller.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dw_base::DurationMs;
use dw_base::SoftwareVersion;
use dw_base::TimeMs;
use dw_net::describe;
use dw_net::Connection;
use dw_place::Choice;
use dw_port::ResponseHead;
use dw_quarantine::PROOF_MS;
use dw_stream::EventBoundary;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time::sleep;
use tokio::time::Sleep;

use crate::body::AnswerBody;
use crate::connections::RequestGuard;
use crate::context::SharedContext;
use crate::forward::is_healthy_status;
use crate::framing::ends_with_connection;
use crate::in_flight::InFlight;
use crate::quarantine;
use crate::shared::Shared;
use crate::upstream_end::confirm_answer;
use crate::upstream_end::report_break;
use crate::upstream_end::LostRequest;
use crate::upstream_end::SentTo;

/// Error of an answer that ends before it is complete; the caller's connection is closed.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    /// The upstream's connection failed.
    #[error("the upstream's answer ended early: {0}")]
    Broken(#[from] hyper::Error),
    /// The upstream ended an event stream inside an event.
    #[error("the upstream's answer ended inside an event")]
    InsideEvent,
    /// The request's deadline passed.
    #[error("the answer was not complete in time")]
    Timeout,
}

/// Arguments of [`Relay::new`].
pub(crate) struct RelayParts {
    pub(crate) shared: Rc<Shared>,
    pub(crate) context: SharedContext,
    pub(crate) choice: Choice,
    /// Whether the engine saves the shared parts of the prompt.
    pub(crate) saves: bool,
    pub(crate) sent_to: SentTo,
    /// Version of the upstream's software.
    pub(crate) software: SoftwareVersion,
    pub(crate) response: Response<Incoming>,
    pub(crate) head: ResponseHead,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
    /// Bytes of the body that were already read.
    pub(crate) first_data: Option<Bytes>,
    /// Boundaries of the events so far, if the body is an event stream.
    pub(crate) events: Option<EventBoundary>,
}

/// Relays an upstream's answer to the caller.
pub(crate) struct Relay {
    shared: Rc<Shared>,
    context: SharedContext,
    choice: Choice,
    saves: bool,
    sent_to: SentTo,
    software: SoftwareVersion,
    status: StatusCode,
    head: ResponseHead,
    parts: Option<http::response::Parts>,
    body: Incoming,
    first_data: Option<Bytes>,
    events: Option<EventBoundary>,
    /// Whether only the end of the connection ends the body.
    ends_with_connection: bool,
    connection: Option<Connection>,
    _in_flight: InFlight,
    guard: Option<RequestGuard>,
    deadline: Pin<Box<Sleep>>,
    started: TimeMs,
    /// When the answer will next have gone on long enough to show that its parts are sound.
    next_proof: TimeMs,
    bytes: u64,
    ended: bool,
}

impl Relay {
    /// Creates the relay of an answer whose head has been received.
    pub(crate) fn new(parts: RelayParts) -> Self {
        let now = parts.shared.now();
        let (head, body) = parts.response.into_parts();
        let remaining = parts.context.remaining(now);
        Relay {
            status: head.status,
            ends_with_connection: !body.is_end_stream() && ends_with_connection(&head.headers),
            parts: Some(head),
            body,
            first_data: parts.first_data,
            events: parts.events,
            connection: Some(parts.connection),
            _in_flight: parts.in_flight,
            guard: None,
            deadline: Box::pin(sleep(remaining.into())),
            started: now,
            next_proof: now + PROOF_MS,
            bytes: 0,
            ended: false,
            shared: parts.shared,
            context: parts.context,
            choice: parts.choice,
            saves: parts.saves,
            sent_to: parts.sent_to,
            software: parts.software,
            head: parts.head,
        }
    }

    /// Returns the answer for the caller.
    pub(crate) fn response(
        mut self: Box<Self>,
        guard: Option<RequestGuard>,
    ) -> Response<AnswerBody> {
        self.guard = guard;
        let parts = self.parts.take();
        let shared = self.shared.clone();
        let mut response = Response::new(AnswerBody::Relay(self));
        if let Some(parts) = parts {
            *response.status_mut() = parts.status;
            *response.headers_mut() = shared.codec.caller_headers(&parts.headers);
        }
        response
    }

    /// Polls for the next data frame of the body.
    pub(crate) fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        if let Some(first_data) = self.first_data.take() {
            self.bytes += first_data.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first_data))));
        }
        loop {
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(None) if self.is_inside_event() => {
                    self.fail("stream ended inside an event");
                    self.report_end();
                    return Poll::Ready(Some(Err(RelayError::InsideEvent)));
                }
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(e))) => {
                    self.fail(&describe(&e));
                    self.report_end();
                    return Poll::Ready(Some(Err(e.into())));
                }
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers apply only to the connection to the upstream and are not relayed.
                    if let Ok(data) = frame.into_data() {
                        self.bytes += data.len() as u64;
                        if let Some(events) = &mut self.events {
                            events.push(&data);
                        }
                        self.record_progress();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
                Poll::Pending => break,
            }
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.fail("timeout");
            return Poll::Ready(Some(Err(RelayError::Timeout)));
        }
        Poll::Pending
    }

    /// Returns whether the body has ended.
    pub(crate) fn is_end_stream(&self) -> bool {
        self.ended || self.is_at_end()
    }

    /// Returns whether all of the body has been passed on and none of it is missing.
    fn is_at_end(&self) -> bool {
        self.first_data.is_none() && self.body.is_end_stream() && !self.is_inside_event()
    }

    fn is_inside_event(&self) -> bool {
        self.events.is_some_and(|events| events.is_inside())
    }

    /// Records whether the upstream has ended.
    fn report_end(&self) {
        let lost = LostRequest::Answering(self.answering_ms());
        report_break(&self.shared, &self.context, self.sent_to.clone(), lost);
    }

    /// Returns the time since the answer began.
    fn answering_ms(&self) -> DurationMs {
        self.shared.now().since(self.started)
    }

    /// Records each time that the answer has gone on for the time that proves its parts sound.
    fn record_progress(&mut self) {
        let now = self.shared.now();
        if now >= self.next_proof && self.status.is_success() {
            self.next_proof = now + PROOF_MS;
            quarantine::record_progress(&self.shared, &self.context);
        }
    }

    /// Records that the whole answer has arrived.
    fn record_answer(&self) {
        match self.ends_with_connection {
            true => {
                let answer = (self.status, self.answering_ms());
                confirm_answer(&self.shared, &self.context, self.sent_to.clone(), answer);
            }
            false => quarantine::record_answer(&self.shared, &self.context, self.status),
        }
    }

    fn complete(&mut self) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.shared.now();
        if is_healthy_status(self.status) {
            self.record_answer();
            let mut directory = self.shared.directory.borrow_mut();
            if let Some(health) = directory.health(&self.choice.upstream) {
                health.record_success(now);
            }
            if !self.context.route.kind.is_stream() {
                let mut placement = self.shared.placement.borrow_mut();
                let took = now.since(self.context.arrived);
                placement
                    .load_mut(&self.choice.upstream)
                    .record_service_time(took);
            }
        }
        if let Some(connection) = self.connection.take().filter(|_| !self.head.closes) {
            let idle_ms = self.head.idle_ms;
            self.shared
                .pool
                .put(self.sent_to.addr, connection, idle_ms, now);
        }
        self.log("complete", now);
    }

    fn fail(&mut self, cause: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.shared.now();
        let mut directory = self.shared.directory.borrow_mut();
        if let Some(health) = directory.health(&self.choice.upstream) {
            health.record_failure(now);
        }
        drop(directory);
        self.connection = None;
        self.log(cause, now);
    }

    fn log(&self, outcome: &str, now: TimeMs) {
        let first_ms = self.started.since(self.context.arrived);
        let took_ms = now.since(self.context.arrived);
        let metrics = &self.shared.metrics;
        metrics.record_answer(&self.context.route, outcome, first_ms, took_ms);
        let is_complete_success = outcome == "complete" && is_healthy_status(self.status);
        if is_complete_success && !metrics.may_log_success(now) {
            return;
        }
        log::info!(
            request_id = self.context.request_head.request_id.as_str(),
            route = self.context.route.name.as_str(),
            upstream:% = self.choice.upstream, software:% = self.software,
            resumes = self.context.request_head.resumes.as_deref().unwrap_or_default(),
            status = self.status.as_u16(), outcome,
            first_ms = first_ms.0, took_ms = took_ms.0, bytes = self.bytes,
            tries = self.context.attempts.get(), home = self.choice.home,
            compared = self.choice.compared,
            weights = self.choice.weights.unwrap_or_default().0,
            expected_ms = self.choice.first_token_ms.0, backlog_ms = self.choice.backlog_ms.0,
            missing = self.choice.missing_tokens.0,
            missing_shared = self.choice.missing_shared_tokens.0,
            fetched = self.choice.fetched_tokens.0, saves = self.saves;
            "request answered"
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let now = self.shared.now();
        if !self.ended {
            if self.is_at_end() {
                self.complete();
            } else if self.parts.is_none() {
                self.ended = true;
                self.connection = None;
                self.log("caller_left", now);
            }
        }
        if let Some(guard) = &self.guard {
            guard.record_end(now);
        }
    }
}

//! Relaying of an upstream's answer to the caller.

use std::cell::RefCell;
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
use crate::memory::Reservation;
use crate::quarantine;
use crate::read_ahead::Piece;
use crate::read_ahead::ReadAhead;
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
    /// Version of the upstream's software, if it is known.
    pub(crate) software: Option<SoftwareVersion>,
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
    software: Option<SoftwareVersion>,
    status: StatusCode,
    head: ResponseHead,
    parts: Option<http::response::Parts>,
    body: Option<Incoming>,
    read_ahead: ReadAhead,
    events: Option<EventBoundary>,
    /// Whether only the end of the connection ends the body.
    ends_with_connection: bool,
    connection: Option<Connection>,
    /// Until the whole answer has been read.
    in_flight: Option<InFlight>,
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
        let organisation = parts.context.organisation.as_ref();
        let held = Reservation::new(&parts.shared.held, organisation);
        let max_bytes = parts.shared.held.borrow().bounds().answer.0 as usize;
        Relay {
            status: head.status,
            ends_with_connection: !body.is_end_stream() && ends_with_connection(&head.headers),
            parts: Some(head),
            body: Some(body),
            read_ahead: ReadAhead::new(parts.first_data, max_bytes, held),
            events: parts.events,
            connection: Some(parts.connection),
            in_flight: Some(parts.in_flight),
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
        let parts = self.parts.take();
        let shared = self.shared.clone();
        let relay = Rc::new(RefCell::new(*self));
        if let Some(guard) = guard {
            guard.set_answer(&relay);
            relay.borrow_mut().guard = Some(guard);
        }
        let mut response = Response::new(AnswerBody::Relay(relay));
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
        let polled = match self.read_ahead.pop() {
            Some(piece) => Poll::Ready(piece),
            None => self.poll_upstream(cx),
        };
        self.read_ahead.set_caller_waits(polled.is_pending());
        polled.map(|piece| self.pass_on(piece))
    }

    /// Reads what the upstream has sent while the caller does not read, up to the bound of an answer.
    pub(crate) fn read_ahead(&mut self, cx: &mut Context<'_>) {
        while !self.ended && self.read_ahead.wants_more() {
            let Poll::Ready(piece) = self.poll_upstream(cx) else {
                return;
            };
            match piece {
                Piece::Data(_) => {}
                Piece::End => self.release_upstream(),
                Piece::Failed(_) => self.drop_upstream(),
            }
            self.read_ahead.push(piece);
        }
    }

    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        while let Some(body) = &mut self.body {
            match Pin::new(body).poll_frame(cx) {
                Poll::Ready(None) if self.is_inside_event() => {
                    return Poll::Ready(Piece::Failed(RelayError::InsideEvent));
                }
                Poll::Ready(None) => return Poll::Ready(Piece::End),
                Poll::Ready(Some(Err(e))) => return Poll::Ready(Piece::Failed(e.into())),
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers apply only to the connection to the upstream and are not relayed.
                    if let Ok(data) = frame.into_data() {
                        if let Some(events) = &mut self.events {
                            events.push(&data);
                        }
                        self.record_progress();
                        return Poll::Ready(Piece::Data(data));
                    }
                }
                Poll::Pending => break,
            }
        }
        let deadline = self.deadline.as_mut().poll(cx);
        deadline.map(|()| Piece::Failed(RelayError::Timeout))
    }

    fn pass_on(&mut self, piece: Piece) -> Option<Result<Frame<Bytes>, RelayError>> {
        match piece {
            Piece::Data(data) => {
                self.bytes += data.len() as u64;
                Some(Ok(Frame::data(data)))
            }
            Piece::End => {
                self.complete();
                None
            }
            Piece::Failed(e) => {
                match &e {
                    RelayError::Broken(e) => self.fail(&describe(e)),
                    RelayError::InsideEvent => self.fail("stream ended inside an event"),
                    RelayError::Timeout => self.fail("timeout"),
                }
                if !matches!(e, RelayError::Timeout) {
                    self.report_end();
                }
                Some(Err(e))
            }
        }
    }

    /// Returns whether the body has ended.
    pub(crate) fn is_end_stream(&self) -> bool {
        self.ended || self.is_at_end()
    }

    /// Returns whether all of the body has been passed on and none of it is missing.
    fn is_at_end(&self) -> bool {
        let at_end = |body: &Incoming| body.is_end_stream() && !self.is_inside_event();
        let is_whole = self.read_ahead.has_ended() || self.body.as_ref().is_some_and(at_end);
        self.read_ahead.is_drained() && is_whole
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
        self.release_upstream();
        self.log("complete", now);
    }

    /// Records for how long the answer held its slot at a model engine.
    fn record_answer_time(&self) {
        if self.choice.weights.is_some() && self.status.is_success() {
            let admissions = &self.shared.admissions;
            admissions.record_answer_time(&self.context.service, self.answering_ms());
        }
    }

    /// Returns the connection of an upstream whose whole answer has been read.
    fn release_upstream(&mut self) {
        if self.in_flight.take().is_some() {
            self.record_answer_time();
        }
        if let Some(connection) = self.connection.take().filter(|_| !self.head.closes) {
            let idle_ms = self.head.idle_ms;
            let now = self.shared.now();
            self.shared
                .pool
                .put(self.sent_to.addr, connection, idle_ms, now);
        }
    }

    /// Closes the connection of an upstream whose answer is not awaited any longer.
    fn drop_upstream(&mut self) {
        self.in_flight = None;
        self.connection = None;
        self.body = None;
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
        self.drop_upstream();
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
        let software = self.software.clone().unwrap_or_default();
        let judged_by = &self.context.judged_by;
        log::info!(
            request_id = self.context.request_head.request_id.as_str(),
            route = self.context.route.name.as_str(),
            upstream:% = self.choice.upstream, software:% = software,
            resumes = self.context.request_head.resumes.as_deref().unwrap_or_default(),
            status = self.status.as_u16(), outcome,
            config_version:% = judged_by.version, unread_version = judged_by.unread_version(),
            unread_age_ms = judged_by.unread_age_ms(), failing_ms = judged_by.failing_ms(),
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
                self.drop_upstream();
                self.log("caller_left", now);
            }
        }
        if let Some(guard) = &self.guard {
            guard.record_end(now);
        }
    }
}

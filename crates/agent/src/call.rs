//! Runs calls of plain services.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use dw_admit::Finished;
use dw_api::service::CallRequest;
use dw_api::service::CallResponse;
use dw_api::table::ReadRequest;
use dw_base::AttemptId;
use dw_base::DurationMs;
use dw_base::IdempotencyKey;
use dw_base::Incarnation;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_outcome::table_key;
use dw_outcome::Action;
use dw_outcome::Body;
use dw_outcome::Call;
use dw_outcome::Event;
use dw_outcome::Holder;
use dw_outcome::Record;
use dw_outcome::Refusal;
use dw_wire::Answer;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::RefusalReason;
use dw_wire::RepeatRule;
use dw_wire::RunRequest;
use sha2::Digest;
use sha2::Sha256;

use crate::arrival::Arrival;
use crate::client::UpstreamError;
use crate::live::Live;
use crate::queue::Slot;
use crate::shared::lock;
use crate::shared::Explained;
use crate::shared::Shared;
use crate::trace::Trace;
use crate::wait::failed;
use crate::wait::ticket;
use crate::wait::wait_for_slot;

/// Longest body that is kept in the outcome record; longer ones go to the object store.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// Time after the deadline for which the answer of a sent call is awaited, so that its record
/// gets a result.
const LATE_ANSWER: Duration = Duration::from_secs(10);

/// When to come back after the table or the upstream was unavailable.
const RETRY_AFTER_MS: DurationMs = DurationMs(1_000);

/// One call of a plain service.
pub(crate) struct PlainCall {
    shared: Arc<Shared>,
    request: RunRequest,
    key: Option<IdempotencyKey>,
    body: Vec<u8>,
    live: Arc<Live>,
    arrived: TimeMs,
    deadline: TimeMs,
    sent_body: Mutex<Option<String>>,
    trace: Trace,
}

impl PlainCall {
    pub(crate) fn new(
        shared: Arc<Shared>,
        arrival: Arrival,
        work: (Option<IdempotencyKey>, Vec<u8>),
    ) -> Self {
        let Arrival {
            request,
            live,
            arrived,
            trace,
        } = arrival;
        PlainCall {
            deadline: arrived + request.budget_ms,
            shared,
            request,
            key: work.0,
            body: work.1,
            live,
            arrived,
            sent_body: Mutex::new(None),
            trace,
        }
    }

    /// Runs the call to its end.
    pub(crate) async fn run(self) {
        let Ok(body) = serde_json::from_slice(&self.body) else {
            return self.end(&self.refusal(RefusalReason::BadRequest, None));
        };
        let message = CallRequest {
            body,
            key: self.key.as_ref().map(ToString::to_string),
            request_id: self.request.request_id.to_string(),
            service: self.request.service.to_string(),
            user: self.request.org.to_string(),
        };
        let ticket = ticket(&self.shared, &self.request, self.deadline);
        let queued = self.trace.step("queue");
        let slot = wait_for_slot(&self.shared, &self.request, &self.live, &ticket, false).await;
        drop(queued);
        let slot = match slot {
            Ok(slot) => slot,
            Err(refused) => return self.end(&refused),
        };
        match (&self.key, self.request.repeat) {
            (Some(key), RepeatRule::AtMostOnce) => self.run_once(key, &message, slot).await,
            _ => self.run_plainly(&message, slot).await,
        }
    }

    async fn run_plainly(&self, message: &CallRequest, slot: Slot) {
        let opened = self.shared.clock.now();
        let limit = Duration::from(self.deadline.since(opened));
        let frame = tokio::select! {
            biased;
            result = self.send(message) => match result {
                Ok((http_status, body)) => self.answer(http_status, body, false),
                Err(UpstreamError::NotSent(_)) => {
                    self.refusal(RefusalReason::NotReady, Some(RETRY_AFTER_MS))
                }
                Err(error @ UpstreamError::Rejected { .. }) => {
                    self.fail(FailureKind::UpstreamError, error.to_string())
                }
                Err(error) => self.fail(FailureKind::UpstreamLost, error.to_string()),
            },
            () = tokio::time::sleep(limit) => {
                self.fail(FailureKind::DeadlineExceeded, "no answer by the deadline")
            }
            () = self.live.abandoned() => self.fail(FailureKind::Cancelled, "the caller has left"),
        };
        self.release(slot, opened);
        self.end(&frame);
    }

    /// Carries out the actions of the outcome record until nothing is left to settle.
    async fn run_once(&self, key: &IdempotencyKey, message: &CallRequest, slot: Slot) {
        let opened = self.shared.clock.now();
        let record_key = table_key(&self.request.org, &self.request.service, key);
        let holder = Holder {
            agent: self.shared.settings.node.clone(),
            incarnation: self.shared.incarnation,
        };
        let hash = hex::encode(Sha256::digest(&self.body));
        let attempt = AttemptId(rand::random());
        let (mut call, actions) = Call::begin(holder, attempt, hash, self.deadline, opened);
        let mut actions = VecDeque::from(actions);
        let mut slot = Some(slot);
        while let Some(action) = actions.pop_front() {
            if let Some(frame) = self.last_frame(&action).await {
                if let Some(slot) = slot.take() {
                    self.release(slot, opened);
                }
                self.end(&frame);
                continue;
            }
            let event = self.carry_out(&record_key, action, message).await;
            actions.extend(call.handle(event, self.shared.clock.now()));
        }
        if !call.is_ended() {
            log::error!("event=outcome_not_settled key={record_key}");
        }
    }

    /// Returns the frame of an action that answers the caller.
    async fn last_frame(&self, action: &Action) -> Option<Frame> {
        match action {
            Action::Answer {
                http_status,
                body,
                replayed: false,
            } => {
                // The object store is not asked, because a call that ran must not be refused.
                let sent = lock(&self.sent_body).take();
                let body = sent.unwrap_or_else(|| match body {
                    Body::Inline(text) | Body::Object(text) => text.clone(),
                });
                Some(self.answer(*http_status, body, false))
            }
            Action::Answer {
                http_status, body, ..
            } => Some(match self.load_body(body).await {
                Some(body) => self.answer(*http_status, body, true),
                None => self.refusal(RefusalReason::TableUnavailable, Some(RETRY_AFTER_MS)),
            }),
            Action::Refuse(refusal) => Some(self.refused(*refusal)),
            Action::Fail => Some(self.fail(FailureKind::UpstreamLost, "the call may have run")),
            Action::Read { .. } | Action::Send | Action::Write { .. } => None,
        }
    }

    async fn carry_out(&self, key: &str, action: Action, message: &CallRequest) -> Event {
        match action {
            Action::Write {
                record,
                expected,
                after_ms,
            } => {
                tokio::time::sleep(Duration::from(after_ms)).await;
                let _recording = self.trace.step("record");
                match serde_json::to_value(&record) {
                    Ok(value) => {
                        let state = value["state"].as_str().unwrap_or_default().to_owned();
                        let writer = &self.shared.writer;
                        let event = writer.write(key.to_owned(), value, expected).await;
                        if matches!(event, Event::Committed { .. }) {
                            self.shared.metrics.recorded(&state);
                        }
                        event
                    }
                    Err(_) => Event::Unavailable,
                }
            }
            Action::Read { after_ms } => {
                tokio::time::sleep(Duration::from(after_ms)).await;
                self.read(key).await.unwrap_or(Event::ReadFailed)
            }
            _ => self.send_once(message).await,
        }
    }

    async fn send_once(&self, message: &CallRequest) -> Event {
        let limit = Duration::from(self.deadline.since(self.shared.clock.now()));
        let call = self.send(message);
        tokio::pin!(call);
        let result = match tokio::time::timeout(limit, &mut call).await {
            Ok(result) => result,
            Err(_) => {
                let late = "no answer by the deadline; the call may have run";
                self.end(&self.fail(FailureKind::DeadlineExceeded, late));
                let lost = UpstreamError::Lost(late.to_owned());
                tokio::time::timeout(LATE_ANSWER, call)
                    .await
                    .unwrap_or(Err(lost))
            }
        };
        match result {
            Ok((http_status, body)) => {
                *lock(&self.sent_body) = Some(body.clone());
                Event::Answered {
                    http_status,
                    body: self.store_body(body).await,
                }
            }
            Err(UpstreamError::NotSent(_)) => Event::NotSent,
            Err(_) => Event::Lost,
        }
    }

    async fn send(&self, message: &CallRequest) -> Result<(u16, String), UpstreamError> {
        let _calling = self.trace.step("call");
        let answer: CallResponse = self.shared.plain.post("/v1/calls", message).await?;
        if answer.request_id != message.request_id {
            return Err(UpstreamError::Lost(format!(
                "answer to request {} arrived",
                answer.request_id
            )));
        }
        let status = u16::try_from(answer.status).unwrap_or(500);
        Ok((status, answer.body.to_string()))
    }

    async fn read(&self, key: &str) -> Option<Event> {
        let item = self.read_key(key).await?;
        let Some((value, version)) = item else {
            return Some(Event::Found {
                record: None,
                holder: None,
            });
        };
        let record: Record = serde_json::from_value(value).ok()?;
        let holder = match &record {
            Record::Running { agent, .. } => {
                let registered = self.read_key(&format!("agent/{agent}")).await?;
                registered.and_then(|(value, _)| value["incarnation"].as_u64())
            }
            _ => None,
        };
        Some(Event::Found {
            record: Some((record, version)),
            holder: holder.map(Incarnation),
        })
    }

    async fn read_key(&self, key: &str) -> Option<Option<(serde_json::Value, u64)>> {
        let request = ReadRequest {
            after: None,
            keys: vec![key.to_owned()],
            limit: None,
            prefix: None,
        };
        let answer = self.shared.table.read(&request).await.ok()?;
        let item = answer.items.into_iter().find(|item| item.key == key);
        Some(item.map(|item| (item.value, item.version)))
    }

    async fn store_body(&self, body: String) -> Body {
        if body.len() <= MAX_INLINE_BYTES {
            return Body::Inline(body);
        }
        let object = format!("outcome-body/{:016x}", rand::random::<u64>());
        let created = self
            .shared
            .objects
            .create(&object, Bytes::from(body.clone()))
            .await;
        match created {
            Ok(true) => Body::Object(object),
            _ => Body::Inline(body),
        }
    }

    async fn load_body(&self, body: &Body) -> Option<String> {
        match body {
            Body::Inline(text) => Some(text.clone()),
            Body::Object(key) => {
                let bytes = self.shared.objects.get(key).await.ok()??;
                String::from_utf8(bytes.to_vec()).ok()
            }
        }
    }

    fn refused(&self, refusal: Refusal) -> Frame {
        let (reason, retry_after_ms) = match refusal {
            Refusal::TableUnavailable => (RefusalReason::TableUnavailable, Some(RETRY_AFTER_MS)),
            Refusal::TooLate => (RefusalReason::DeadlineUnmeetable, None),
            Refusal::NotSent => (RefusalReason::NotReady, Some(RETRY_AFTER_MS)),
            Refusal::InProgress { retry_after_ms } => {
                (RefusalReason::InProgress, Some(retry_after_ms))
            }
            Refusal::OutcomeUnknown => (RefusalReason::OutcomeUnknown, None),
            Refusal::KeyReused => (RefusalReason::KeyReused, None),
        };
        self.refusal(reason, retry_after_ms)
    }

    fn refusal(&self, reason: RefusalReason, retry_after_ms: Option<DurationMs>) -> Frame {
        let id = &self.request.request_id;
        self.shared.refusal(id, reason, retry_after_ms, None)
    }

    fn answer(&self, http_status: u16, body: String, replayed: bool) -> Frame {
        Frame::Answer(Answer {
            request_id: self.request.request_id.clone(),
            http_status,
            body: body.into_bytes(),
            replayed,
            status: self.shared.status(None),
        })
    }

    fn fail(&self, kind: FailureKind, message: impl Into<String>) -> Frame {
        failed(&self.shared, &self.request, kind, true, message)
    }

    fn release(&self, slot: Slot, opened: TimeMs) {
        let total_ms = self.shared.clock.now().since(opened);
        slot.finish(Finished {
            id: 0,
            computed_tokens: Tokens(0),
            generated_tokens: Tokens(0),
            prefill_ms: total_ms,
            total_ms,
        });
    }

    fn end(&self, frame: &Frame) {
        if self.live.ended() {
            return;
        }
        let result = match frame {
            Frame::Answer(_) => "complete".to_owned(),
            Frame::Refused(refusal) => format!("refused {:?}", refusal.reason),
            Frame::Failed(failure) => format!("failed {:?}", failure.kind),
            _ => "unexpected".to_owned(),
        };
        self.live.end(frame, self.shared.clock.now());
        self.shared.explain(Explained {
            request_id: self.request.request_id.clone(),
            attempt: self.request.attempt,
            arrived: self.arrived,
            warm_depth: 0,
            imported_pieces: 0,
            cached_tokens: None,
            queued_ms: None,
            result,
        });
    }
}

//! Passes an answer on to the caller.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use dw_api::callers::ChatChoice;
use dw_api::callers::ChatChunk;
use dw_api::callers::ChatMessage;
use dw_api::callers::ChatResponse;
use dw_api::callers::ChunkChoice;
use dw_api::callers::CompletionChoice;
use dw_api::callers::CompletionChunk;
use dw_api::callers::CompletionChunkChoice;
use dw_api::callers::CompletionResponse;
use dw_api::callers::Delta;
use dw_api::callers::Usage;
use dw_base::Tokens;
use dw_wire::Frame;
use dw_wire::StreamStart;
use http_body_util::combinators::BoxBody;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::error::CallerError;
use crate::filter::forward::Live;
use crate::filter::forward::Lost;
use crate::filter::validate::Format;
use crate::run::deadline_exceeded;
use crate::run::failure_error;
use crate::run::lost_error;
use crate::run::Job;
use crate::run::Whole;

/// Events that may wait for a slow caller before the agent is no longer read.
const QUEUE_EVENTS: usize = 64;

/// Body of an answer to a caller.
pub(crate) type AnswerBody = BoxBody<Bytes, Infallible>;

/// Returns a body of known content.
pub(crate) fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).boxed()
}

/// Returns the JSON of a whole answer.
pub(crate) fn whole(job: &Job, format: Format, model: &str, whole: Whole) -> Vec<u8> {
    let usage = usage(&whole.start, whole.end.tokens);
    let (id, model) = (job.request_id.to_string(), model.to_owned());
    let finish_reason = whole.end.finish_reason;
    match format {
        Format::Chat => json(&ChatResponse {
            id,
            object: "chat.completion".to_owned(),
            model,
            choices: vec![ChatChoice {
                index: 0,
                finish_reason,
                message: ChatMessage {
                    role: "assistant".to_owned(),
                    content: whole.text,
                },
            }],
            usage,
        }),
        Format::Completion => json(&CompletionResponse {
            id,
            object: "text_completion".to_owned(),
            model,
            choices: vec![CompletionChoice {
                index: 0,
                finish_reason,
                text: whole.text,
            }],
            usage,
        }),
    }
}

/// Returns a body to which `relay` writes, and the end to write to.
pub(crate) fn event_body() -> (mpsc::Sender<Bytes>, AnswerBody) {
    let (events, mut waiting) = mpsc::channel::<Bytes>(QUEUE_EVENTS);
    let stream = futures::stream::poll_fn(move |cx| {
        let event = waiting.poll_recv(cx);
        event.map(|event| event.map(|bytes| Ok(hyper::body::Frame::data(bytes))))
    });
    (events, BodyExt::boxed(StreamBody::new(stream)))
}

/// A stream that is passed on as server-sent events.
pub(crate) struct Relay {
    pub(crate) job: Arc<Job>,
    pub(crate) format: Format,
    pub(crate) model: String,
    pub(crate) start: StreamStart,
    pub(crate) events: mpsc::Sender<Bytes>,
}

impl Relay {
    /// Passes on all frames. An answer that cannot be completed ends with an `error` event and
    /// without `[DONE]`. Returns the tokens generated.
    pub(crate) async fn run(self, mut live: Live, first: Frame) -> Result<Tokens, CallerError> {
        let mut frame = first;
        let mut opening = true;
        loop {
            let error = match frame {
                Frame::Chunk { text, .. } => {
                    if !self.send(self.chunk(text, opening)).await {
                        return Err(caller_gone());
                    }
                    opening = false;
                    match live.next().await {
                        Ok(next) => {
                            frame = next;
                            continue;
                        }
                        Err(lost) => self.lost(&lost),
                    }
                }
                Frame::End(end) => {
                    let tokens = Tokens(end.tokens);
                    let sent = self.send(self.last(end.tokens, end.finish_reason)).await
                        && self.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
                    return if sent { Ok(tokens) } else { Err(caller_gone()) };
                }
                Frame::Failed(failure) => failure_error(&self.job, &failure),
                Frame::Start(_) | Frame::Answer(_) | Frame::Refused(_) => {
                    lost_error(&self.job, "the answer is not in order")
                }
            };
            // Chunks were sent, so that the request has been run in part.
            let error = error.may_have_run(true);
            let body = json(&error.body(&self.job.request_id));
            let event = [b"event: error\ndata: ".as_slice(), &body, b"\n\n"].concat();
            self.send(event.into()).await;
            return Err(error);
        }
    }

    async fn send(&self, event: Bytes) -> bool {
        self.events.send(event).await.is_ok()
    }

    fn lost(&self, lost: &Lost) -> CallerError {
        match lost {
            Lost::Deadline => deadline_exceeded(),
            Lost::NotSent(detail) | Lost::Broken(detail) => lost_error(&self.job, detail),
        }
    }

    fn chunk(&self, text: String, opening: bool) -> Bytes {
        self.event(text, opening, None, None)
    }

    fn last(&self, tokens: u64, finish_reason: String) -> Bytes {
        let usage = usage(&self.start, tokens);
        self.event(String::new(), false, Some(finish_reason), Some(usage))
    }

    fn event(
        &self,
        text: String,
        opening: bool,
        finish_reason: Option<String>,
        usage: Option<Usage>,
    ) -> Bytes {
        let (id, model) = (self.job.request_id.to_string(), self.model.clone());
        let body = match self.format {
            Format::Chat => json(&ChatChunk {
                id,
                object: "chat.completion.chunk".to_owned(),
                model,
                choices: vec![ChunkChoice {
                    index: 0,
                    delta: Delta {
                        role: opening.then(|| "assistant".to_owned()),
                        content: finish_reason.is_none().then_some(text),
                    },
                    finish_reason,
                }],
                usage,
            }),
            Format::Completion => json(&CompletionChunk {
                id,
                object: "text_completion".to_owned(),
                model,
                choices: vec![CompletionChunkChoice {
                    index: 0,
                    text,
                    finish_reason,
                }],
                usage,
            }),
        };
        [b"data: ".as_slice(), &body, b"\n\n"].concat().into()
    }
}

fn caller_gone() -> CallerError {
    CallerError::unavailable("caller_gone", "the caller closed the connection").may_have_run(true)
}

fn usage(start: &StreamStart, completion_tokens: u64) -> Usage {
    Usage {
        prompt_tokens: start.prompt_tokens,
        cached_tokens: start.cached_tokens,
        completion_tokens,
    }
}

/// Serialises a value whose types always have a JSON form.
pub(crate) fn json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

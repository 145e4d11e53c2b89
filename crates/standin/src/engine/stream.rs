//! Server-sent event stream of one generation.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use dw_api::engine::GenerateEvent;
use futures::stream;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::engine::first_token_log::FirstTokenLog;
use crate::engine::generation::EndReason;
use crate::engine::generation::Progress;
use crate::engine::text::token_text;
use crate::server::ConnectionAborted;
use crate::server::Reply;

/// Parameters of an event stream.
pub(crate) struct EventStream {
    pub(crate) request_id: String,
    pub(crate) first_tokens: Arc<FirstTokenLog>,
    pub(crate) progress: watch::Receiver<Progress>,
    /// Closes the connection when it is cancelled.
    pub(crate) disconnect: CancellationToken,
    /// Index of the first token to send; the start event is sent only if it is 0.
    pub(crate) from_index: u64,
}

struct Reader {
    stream: EventStream,
    next_index: u64,
    start_sent: bool,
    pending: VecDeque<GenerateEvent>,
    end_reason: Option<EndReason>,
}

impl EventStream {
    /// Returns the streaming response, in which each event is a separate chunk.
    pub(crate) fn reply(self) -> Reply {
        let reader = Reader {
            next_index: self.from_index,
            start_sent: self.from_index > 0,
            pending: VecDeque::new(),
            end_reason: None,
            stream: self,
        };
        let frames = stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.next_event().await {
                Ok(Some(event)) => Some((encode_frame(&event), Some(reader))),
                Ok(None) => None,
                Err(aborted) => Some((Err(aborted), None)),
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }
}

fn encode_frame(event: &GenerateEvent) -> Result<Frame<Bytes>, ConnectionAborted> {
    let json = serde_json::to_string(event).map_err(|_| ConnectionAborted)?;
    Ok(Frame::data(Bytes::from(format!("data: {json}\n\n"))))
}

impl Reader {
    /// Waits for the next event; the stream of a cancelled generation ends without an end event.
    async fn next_event(&mut self) -> Result<Option<GenerateEvent>, ConnectionAborted> {
        loop {
            if self.stream.disconnect.is_cancelled() {
                return Err(ConnectionAborted);
            }
            if let Some(event) = self.pending.pop_front() {
                if matches!(event, GenerateEvent::Token { index: 0, .. }) {
                    self.stream.first_tokens.record(&self.stream.request_id);
                }
                return Ok(Some(event));
            }
            match self.end_reason {
                Some(EndReason::Crashed) => return Err(ConnectionAborted),
                Some(_) => return Ok(None),
                None => self.queue_new_events(),
            }
            if self.pending.is_empty() && self.end_reason.is_none() {
                self.wait_for_change().await?;
            }
        }
    }

    async fn wait_for_change(&mut self) -> Result<(), ConnectionAborted> {
        tokio::select! {
            () = self.stream.disconnect.cancelled() => Err(ConnectionAborted),
            changed = self.stream.progress.changed() => changed.map_err(|_| ConnectionAborted),
        }
    }

    fn queue_new_events(&mut self) {
        let progress = *self.stream.progress.borrow_and_update();
        if let (Some(start_info), false) = (progress.start_info, self.start_sent) {
            self.start_sent = true;
            self.pending.push_back(GenerateEvent::Start {
                request_id: self.stream.request_id.clone(),
                cached_tokens: start_info.cached_tokens,
                incarnation: start_info.incarnation,
                prompt_tokens: start_info.prompt_tokens,
                weights_version: start_info.weights_version,
            });
        }
        while self.next_index < progress.tokens {
            self.pending.push_back(GenerateEvent::Token {
                request_id: self.stream.request_id.clone(),
                index: self.next_index,
                text: token_text(&self.stream.request_id, self.next_index),
            });
            self.next_index += 1;
        }
        self.end_reason = progress.end_reason;
        if self.end_reason == Some(EndReason::Finished) {
            self.pending.push_back(GenerateEvent::End {
                request_id: self.stream.request_id.clone(),
                finish_reason: "length".to_owned(),
                tokens: progress.tokens,
            });
        }
    }
}

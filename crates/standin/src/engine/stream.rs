//! The event stream of one generation.

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

use crate::engine::generation::Ended;
use crate::engine::generation::Progress;
use crate::engine::send_log::SendLog;
use crate::engine::text::token_text;
use crate::server::Cut;
use crate::server::Reply;

/// Reader of one generation.
pub(crate) struct EventStream {
    pub(crate) request_id: String,
    pub(crate) sent: Arc<SendLog>,
    pub(crate) progress: watch::Receiver<Progress>,
    /// Cuts the connection.
    pub(crate) cut: CancellationToken,
    /// First token wanted; the start event belongs to a stream from 0.
    pub(crate) from_index: u64,
}

struct Reader {
    stream: EventStream,
    next: u64,
    start_sent: bool,
    ready: VecDeque<GenerateEvent>,
    ended: Option<Ended>,
}

impl EventStream {
    /// Returns the answer; each event is a chunk of its own.
    pub(crate) fn reply(self) -> Reply {
        let reader = Reader {
            next: self.from_index,
            start_sent: self.from_index > 0,
            ready: VecDeque::new(),
            ended: None,
            stream: self,
        };
        let frames = stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.next_event().await {
                Ok(Some(event)) => Some((frame(&event), Some(reader))),
                Ok(None) => None,
                Err(cut) => Some((Err(cut), None)),
            }
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        Ok(response)
    }
}

fn frame(event: &GenerateEvent) -> Result<Frame<Bytes>, Cut> {
    let json = serde_json::to_string(event).map_err(|_| Cut)?;
    Ok(Frame::data(Bytes::from(format!("data: {json}\n\n"))))
}

impl Reader {
    /// Waits for the next event; a cancelled generation ends without an end event.
    async fn next_event(&mut self) -> Result<Option<GenerateEvent>, Cut> {
        loop {
            if self.stream.cut.is_cancelled() {
                return Err(Cut);
            }
            if let Some(event) = self.ready.pop_front() {
                if matches!(event, GenerateEvent::Token { index: 0, .. }) {
                    self.stream.sent.record(&self.stream.request_id);
                }
                return Ok(Some(event));
            }
            match self.ended {
                Some(Ended::Crashed) => return Err(Cut),
                Some(_) => return Ok(None),
                None => self.collect(),
            }
            if self.ready.is_empty() && self.ended.is_none() {
                self.changed().await?;
            }
        }
    }

    async fn changed(&mut self) -> Result<(), Cut> {
        tokio::select! {
            () = self.stream.cut.cancelled() => Err(Cut),
            changed = self.stream.progress.changed() => changed.map_err(|_| Cut),
        }
    }

    fn collect(&mut self) {
        let progress = *self.stream.progress.borrow_and_update();
        if let (Some(started), false) = (progress.started, self.start_sent) {
            self.start_sent = true;
            self.ready.push_back(GenerateEvent::Start {
                request_id: self.stream.request_id.clone(),
                cached_tokens: started.cached_tokens,
                incarnation: started.incarnation,
                prompt_tokens: started.prompt_tokens,
                weights_version: started.weights_version,
            });
        }
        while self.next < progress.tokens {
            self.ready.push_back(GenerateEvent::Token {
                request_id: self.stream.request_id.clone(),
                index: self.next,
                text: token_text(&self.stream.request_id, self.next),
            });
            self.next += 1;
        }
        self.ended = progress.ended;
        if self.ended == Some(Ended::Finished) {
            self.ready.push_back(GenerateEvent::End {
                request_id: self.stream.request_id.clone(),
                finish_reason: "length".to_owned(),
                tokens: progress.tokens,
            });
        }
    }
}

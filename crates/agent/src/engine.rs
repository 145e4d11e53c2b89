//! Client of a model engine.

use bytes::BytesMut;
use dw_api::engine::CacheEvents;
use dw_api::engine::CacheSnapshot;
use dw_api::engine::CancelRequest;
use dw_api::engine::CancelResponse;
use dw_api::engine::EngineState;
use dw_api::engine::ExportRequest;
use dw_api::engine::GenerateEvent;
use dw_api::engine::GenerateRequest;
use dw_api::engine::ImportResponse;
use dw_api::engine::KvBlocks;
use dw_api::engine::OrderRequest;
use dw_api::engine::ResumeRequest;
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client::to_json;
use crate::client::UpstreamClient;
use crate::client::UpstreamError;

/// Longest server-sent event accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Client of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    client: UpstreamClient,
}

impl Engine {
    pub(crate) fn new(url: &str) -> Self {
        Engine {
            client: UpstreamClient::pooled(url),
        }
    }

    pub(crate) async fn state(&self) -> Result<EngineState, UpstreamError> {
        self.client.get("/v1/state").await
    }

    pub(crate) async fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<EventStream, UpstreamError> {
        let body = to_json(request)?;
        self.stream("/v1/generate", body, &request.request_id).await
    }

    pub(crate) async fn resume(
        &self,
        request: &ResumeRequest,
    ) -> Result<EventStream, UpstreamError> {
        let body = to_json(request)?;
        self.stream("/v1/resume", body, &request.request_id).await
    }

    pub(crate) async fn cancel(&self, request_id: &str) -> Result<CancelResponse, UpstreamError> {
        let request = CancelRequest {
            request_id: request_id.to_owned(),
        };
        self.client.post("/v1/cancel", &request).await
    }

    pub(crate) async fn snapshot(&self) -> Result<CacheSnapshot, UpstreamError> {
        self.client.get("/v1/cache").await
    }

    pub(crate) async fn events(
        &self,
        after: u64,
        wait_ms: u64,
    ) -> Result<CacheEvents, UpstreamError> {
        let path = format!("/v1/cache/events?after={after}&wait_ms={wait_ms}");
        self.client.get(&path).await
    }

    pub(crate) async fn export(&self, hashes: Vec<String>) -> Result<KvBlocks, UpstreamError> {
        let request = ExportRequest { hashes };
        self.client.post("/v1/cache/export", &request).await
    }

    pub(crate) async fn import(&self, blocks: &KvBlocks) -> Result<ImportResponse, UpstreamError> {
        self.client.post("/v1/cache/import", blocks).await
    }

    pub(crate) async fn order(&self, request: &OrderRequest) -> Result<EngineState, UpstreamError> {
        self.client.post("/v1/orders", request).await
    }

    async fn stream(
        &self,
        path: &str,
        body: Vec<u8>,
        request_id: &str,
    ) -> Result<EventStream, UpstreamError> {
        let response = self.client.open(Method::POST, path, body).await?;
        Ok(EventStream {
            body: response.into_body(),
            buffer: BytesMut::new(),
            request_id: request_id.to_owned(),
        })
    }
}

/// Server-sent events of one generation.
#[derive(Debug)]
pub(crate) struct EventStream {
    body: Incoming,
    buffer: BytesMut,
    request_id: String,
}

impl EventStream {
    /// Returns the next event; it is an error if the input ends without one or the event belongs to
    /// the answer to another request.
    pub(crate) async fn next(&mut self) -> Result<GenerateEvent, UpstreamError> {
        loop {
            while let Some(line) = self.take_line() {
                if let Some(data) = line.strip_prefix(b"data:") {
                    let event = serde_json::from_slice(data)
                        .map_err(|e| UpstreamError::Lost(e.to_string()))?;
                    return self.own(event);
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(UpstreamError::Lost("event is too long".to_owned()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => return Err(UpstreamError::Lost(e.to_string())),
                None => return Err(UpstreamError::Lost("stream ended early".to_owned())),
            }
        }
    }

    fn own(&self, event: GenerateEvent) -> Result<GenerateEvent, UpstreamError> {
        let (GenerateEvent::Start { request_id, .. }
        | GenerateEvent::Token { request_id, .. }
        | GenerateEvent::End { request_id, .. }) = &event;
        if *request_id != self.request_id {
            return Err(UpstreamError::Lost(format!(
                "answer to request {request_id} arrived"
            )));
        }
        Ok(event)
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }
}

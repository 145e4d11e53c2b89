//! HTTP client of agents.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dw_wire::encode;
use dw_wire::Frame;
use dw_wire::FrameDecoder;
use dw_wire::ResumeRequest;
use dw_wire::RunRequest;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use thiserror::Error;

/// Longest wait for a connection. Data centres are 1.5 ms apart, so that a longer wait means that
/// the VM is gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an unused connection is kept.
const POOL_IDLE: Duration = Duration::from_secs(60);

/// An agent gave no usable answer.
#[derive(Clone, Debug, Error)]
pub(crate) enum AgentError {
    /// Nothing was sent.
    #[error("no connection: {0}; the request was not run")]
    NotSent(String),
    /// The connection broke after the request was sent, wholly or in part.
    #[error("connection lost: {0}; the request may have been run")]
    Broken(String),
}

/// Frames of one answer.
#[derive(Debug)]
pub(crate) struct Frames {
    body: Option<Incoming>,
    decoder: FrameDecoder,
}

impl Frames {
    /// Returns an answer that has ended early.
    pub(crate) fn ended() -> Self {
        Frames {
            body: None,
            decoder: FrameDecoder::new(),
        }
    }

    /// Returns the next frame; an answer that ends is a broken one, because a complete answer is
    /// recognised by its last frame.
    pub(crate) async fn next(&mut self) -> Result<Frame, AgentError> {
        let broken = |e: &dyn std::fmt::Display| AgentError::Broken(e.to_string());
        loop {
            if let Some(frame) = self.decoder.next_frame().map_err(|e| broken(&e))? {
                return Ok(frame);
            }
            let Some(body) = &mut self.body else {
                return Err(broken(&"no connection"));
            };
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.decoder.push(data);
                    }
                }
                Some(Err(e)) => return Err(broken(&e)),
                None => return Err(broken(&"answer ended early")),
            }
        }
    }
}

/// Pool of connections to agents.
#[derive(Clone, Debug)]
pub(crate) struct Agents {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Agents {
    pub(crate) fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE)
            .build(connector);
        Agents { client }
    }

    pub(crate) async fn run(
        &self,
        addr: SocketAddr,
        request: &RunRequest,
    ) -> Result<Frames, AgentError> {
        self.post(addr, "/v1/run", request).await
    }

    pub(crate) async fn resume(
        &self,
        addr: SocketAddr,
        request: &ResumeRequest,
    ) -> Result<Frames, AgentError> {
        self.post(addr, "/v1/resume", request).await
    }

    async fn post(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Frames, AgentError> {
        let not_sent = |e: &dyn std::fmt::Display| AgentError::NotSent(e.to_string());
        let body = encode(message).map_err(|e| not_sent(&e))?;
        let request = Request::post(format!("http://{addr}{path}"))
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| not_sent(&e))?;
        let answer = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                return not_sent(&e);
            }
            AgentError::Broken(e.to_string())
        })?;
        if !answer.status().is_success() {
            // Agents state refusals as frames; another status comes from something else.
            return Err(AgentError::Broken(format!("status {}", answer.status())));
        }
        Ok(Frames {
            body: Some(answer.into_body()),
            decoder: FrameDecoder::new(),
        })
    }
}

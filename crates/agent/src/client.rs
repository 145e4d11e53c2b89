//! HTTP client of the upstream.

use std::time::Duration;

use bytes::Bytes;
use dw_api::engine::EngineError;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

/// Longest answer that is read as a whole. A snapshot of 70,000 blocks has about 2.5 MB.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// The upstream is in the same slot, so that a connection takes far less than this.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call of the upstream failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum UpstreamError {
    /// The call certainly did not reach the upstream.
    #[error("upstream cannot be connected to: {0}; check that it runs")]
    NotSent(String),
    /// The upstream answered with an error.
    #[error("upstream answered with status {status} ({kind}): {message}; check its log")]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Kind as named by the upstream.
        kind: String,
        /// What went wrong.
        message: String,
    },
    /// The call may have run.
    #[error("connection to the upstream broke: {0}; resume the call or report it as lost")]
    Lost(String),
}

/// HTTP client of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamClient {
    base: String,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl UpstreamClient {
    /// Creates a client that keeps connections open.
    pub(crate) fn pooled(base: &str) -> Self {
        Self::new(base, usize::MAX)
    }

    /// Creates a client that opens a connection for each call.
    ///
    /// A kept connection that the upstream closes while a call is written leaves open whether the
    /// call ran. With a new connection, a failure to connect shows that it did not.
    pub(crate) fn unpooled(base: &str) -> Self {
        Self::new(base, 0)
    }

    fn new(base: &str, idle_connections: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle_connections)
            .retry_canceled_requests(false)
            .build(connector);
        UpstreamClient {
            base: base.trim_end_matches('/').to_owned(),
            client,
        }
    }

    /// Sends a request and returns the answer once its head has arrived with a good status.
    pub(crate) async fn open(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| UpstreamError::NotSent(e.to_string()))?;
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                UpstreamError::NotSent(e.to_string())
            } else {
                UpstreamError::Lost(e.to_string())
            }
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let bytes = read_all(response).await.unwrap_or_default();
        let error = serde_json::from_slice(&bytes).unwrap_or(EngineError {
            error: "unknown".to_owned(),
            message: String::from_utf8_lossy(&bytes).chars().take(200).collect(),
        });
        Err(UpstreamError::Rejected {
            status,
            kind: error.error,
            message: error.message,
        })
    }

    /// Sends a JSON body and reads a JSON answer.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<T, UpstreamError> {
        let body = to_json(body)?;
        let response = self.open(Method::POST, path, body).await?;
        from_json(&read_all(response).await?)
    }

    /// Reads a JSON answer, once more if it is lost: a kept connection can break under the call
    /// while the upstream serves, and reading changes nothing.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, UpstreamError> {
        match self.get_once(path).await {
            Err(e @ UpstreamError::Lost(_)) => {
                log::warn!("event=answer_lost action=repeat path={path} error={e:?}");
                self.get_once(path).await
            }
            result => result,
        }
    }

    async fn get_once<T: DeserializeOwned>(&self, path: &str) -> Result<T, UpstreamError> {
        let response = self.open(Method::GET, path, Vec::new()).await?;
        from_json(&read_all(response).await?)
    }
}

/// Encodes a body; a failure happens before anything is sent.
pub(crate) fn to_json(body: &impl Serialize) -> Result<Vec<u8>, UpstreamError> {
    serde_json::to_vec(body).map_err(|e| UpstreamError::NotSent(e.to_string()))
}

fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, UpstreamError> {
    serde_json::from_slice(bytes).map_err(|e| UpstreamError::Lost(e.to_string()))
}

async fn read_all(response: Response<Incoming>) -> Result<Bytes, UpstreamError> {
    Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|e| UpstreamError::Lost(e.to_string()))
}

//! The HTTP client that the clients of all platform services share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dw_base::DurationMs;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::budget::NodeBudget;
use crate::error::StoreError;

/// Longest part of an error body that is repeated in a message.
const MAX_DETAIL_BYTES: usize = 200;

/// Whether a lost answer leaves the state of the service unknown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Access {
    /// The call changes nothing.
    Read,
    /// The call may change the state.
    Write,
}

/// Where a platform service is and how long a call may take.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Address of the service.
    pub addr: SocketAddr,
    /// Longest time of one call, connecting included.
    pub deadline: DurationMs,
    /// Rates shared by all clients of this node.
    pub budget: Arc<NodeBudget>,
}

#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    service: &'static str,
    endpoint: Endpoint,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One call before it is sent.
pub(crate) struct Call {
    pub(crate) access: Access,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: &'static [(&'static str, &'static str)],
    pub(crate) body: Bytes,
}

impl HttpClient {
    pub(crate) fn new(service: &'static str, endpoint: Endpoint) -> Self {
        let mut connector = HttpConnector::new();
        // Without this, a request of several segments waits for acknowledgements.
        connector.set_nodelay(true);
        HttpClient {
            service,
            endpoint,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a call and returns status and body of any answer that is not a failure of the service.
    pub(crate) async fn send(&self, call: Call) -> Result<(StatusCode, Bytes), StoreError> {
        let access = call.access;
        if !self.take(access) {
            return Err(StoreError::RateLimited {
                service: self.service,
            });
        }
        let request = self.request(call)?;
        match timeout(
            Duration::from(self.endpoint.deadline),
            self.exchange(request, access),
        )
        .await
        {
            Ok(answer) => answer,
            Err(_) => Err(self.lost(
                access,
                format!("no answer within {}", self.endpoint.deadline),
            )),
        }
    }

    fn take(&self, access: Access) -> bool {
        match access {
            Access::Read => self.endpoint.budget.take_read(),
            Access::Write => self.endpoint.budget.take_write(),
        }
    }

    fn request(&self, call: Call) -> Result<Request<Full<Bytes>>, StoreError> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.endpoint.addr, call.path));
        for (name, value) in call.headers {
            builder = builder.header(*name, *value);
        }
        builder
            .body(Full::new(call.body))
            .map_err(|error| self.rejected(error.to_string()))
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        access: Access,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let response = match self.client.request(request).await {
            Ok(response) => response,
            // Nothing was sent, so a write has certainly not taken effect.
            Err(error) if error.is_connect() => return Err(self.unavailable(error.to_string())),
            Err(error) => return Err(self.lost(access, error.to_string())),
        };
        let (parts, body) = Response::into_parts(response);
        let bytes = body
            .collect()
            .await
            .map_err(|error| self.lost(access, error.to_string()))?
            .to_bytes();
        self.classify(access, parts.status, bytes)
    }

    fn classify(
        &self,
        access: Access,
        status: StatusCode,
        bytes: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let detail = || {
            let shown = &bytes[..bytes.len().min(MAX_DETAIL_BYTES)];
            format!("status {status}: {}", String::from_utf8_lossy(shown))
        };
        match status {
            // The services answer 429 and 503 before they carry out anything.
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(self.unavailable(detail()))
            }
            status if status.is_server_error() => Err(self.lost(access, detail())),
            StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => Ok((status, bytes)),
            status if status.is_success() => Ok((status, bytes)),
            _ => Err(self.rejected(detail())),
        }
    }

    /// Returns the error for a call whose answer did not arrive or cannot be understood.
    pub(crate) fn lost(&self, access: Access, detail: String) -> StoreError {
        match access {
            Access::Read => self.unavailable(detail),
            Access::Write => StoreError::UnknownOutcome {
                service: self.service,
                detail,
            },
        }
    }

    pub(crate) fn rejected(&self, detail: String) -> StoreError {
        StoreError::Rejected {
            service: self.service,
            detail,
        }
    }

    fn unavailable(&self, detail: String) -> StoreError {
        StoreError::Unavailable {
            service: self.service,
            detail,
        }
    }
}

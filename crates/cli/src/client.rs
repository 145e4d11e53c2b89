//! HTTP client of the administration API, and of the explain port of gateways.

use std::time::Duration;

use dw_api::admin::StatementError;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use dw_api::explain::ExplainError;
use dw_api::explain::ExplainRequest;
use dw_api::explain::Explanation;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
use serde::Serialize;
use thiserror::Error;

/// Committing a change can take 10 s, and its confirmation by all live nodes 13 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A request failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The router rejected the statements.
    #[error("{}", .0.message)]
    Refused(Box<StatementError>),
    /// The router is unreachable or returned an invalid response. A change may have been
    /// applied nevertheless.
    #[error("no valid response from router {router}: {detail}")]
    NoResponse {
        /// Address of the router.
        router: String,
        /// Error of the connection or of parsing the response.
        detail: String,
    },
}

/// A gateway gave no explanation.
#[derive(Debug, Error)]
pub enum ExplainFailure {
    /// It cannot explain the request.
    #[error("{}; {}", .0.message, .0.remedy)]
    Refused(ExplainError),
    /// It is unreachable or returned an invalid response.
    #[error("no valid response from gateway {gateway}: {detail}; check the address")]
    NoResponse {
        /// Address of its explain port.
        gateway: String,
        /// Error of the connection or of parsing the response.
        detail: String,
    },
}

/// HTTP client of one router or gateway.
pub struct Client {
    http: oxhttp::Client,
    router: String,
    token: Option<String>,
}

impl Client {
    /// Creates a client for the router at the address `router` (`HOST:PORT`).
    pub fn new(router: &str, token: Option<String>) -> Self {
        Client {
            http: oxhttp::Client::new().with_global_timeout(REQUEST_TIMEOUT),
            router: router.to_owned(),
            token,
        }
    }

    /// Sends statements and returns their results.
    ///
    /// # Errors
    ///
    /// Returns an error if the statements were rejected or no valid response was received.
    pub fn send(&self, request: &StatementRequest) -> Result<StatementResponse, ClientError> {
        let (is_success, body) = self
            .post("/v1/statements", request)
            .map_err(|detail| self.no_response(detail))?;
        if is_success {
            return serde_json::from_str(&body).map_err(|e| self.no_response(e.to_string()));
        }
        let error = serde_json::from_str(&body).map_err(|e| self.no_response(e.to_string()))?;
        Err(ClientError::Refused(Box::new(error)))
    }

    /// Asks where a request would go, without sending it.
    ///
    /// # Errors
    ///
    /// Returns an error if no route takes the request or no valid response was received.
    pub fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ExplainFailure> {
        let no_response = |detail| ExplainFailure::NoResponse {
            gateway: self.router.clone(),
            detail,
        };
        let (is_success, body) = self.post("/v1/explain", request).map_err(no_response)?;
        if is_success {
            return serde_json::from_str(&body).map_err(|e| no_response(e.to_string()));
        }
        let error = serde_json::from_str(&body).map_err(|e| no_response(e.to_string()))?;
        Err(ExplainFailure::Refused(error))
    }

    fn post(&self, path: &str, request: &impl Serialize) -> Result<(bool, String), String> {
        let text = serde_json::to_string(request).map_err(|e| e.to_string())?;
        let mut http_request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.router))
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            http_request = http_request.header(AUTHORIZATION, format!("Bearer {token}"));
        }
        let http_request = http_request
            .body(Body::from(text))
            .map_err(|e| e.to_string())?;
        let response = self.http.request(http_request).map_err(|e| e.to_string())?;
        let is_success = response.status().is_success();
        let body = response
            .into_body()
            .to_string()
            .map_err(|e| e.to_string())?;
        Ok((is_success, body))
    }

    fn no_response(&self, detail: String) -> ClientError {
        ClientError::NoResponse {
            router: self.router.clone(),
            detail,
        }
    }
}

//! HTTP client of the administration API.

use std::time::Duration;

use dw_api::admin::StatementError;
use dw_api::admin::StatementRequest;
use dw_api::admin::StatementResponse;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::header::CONTENT_TYPE;
use oxhttp::model::Body;
use oxhttp::model::Method;
use oxhttp::model::Request;
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

/// HTTP client of the administration API of one router.
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
            .post(request)
            .map_err(|detail| self.no_response(detail))?;
        if is_success {
            return serde_json::from_str(&body).map_err(|e| self.no_response(e.to_string()));
        }
        let error = serde_json::from_str(&body).map_err(|e| self.no_response(e.to_string()))?;
        Err(ClientError::Refused(Box::new(error)))
    }

    fn post(&self, request: &StatementRequest) -> Result<(bool, String), String> {
        let text = serde_json::to_string(request).map_err(|e| e.to_string())?;
        let mut http_request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/statements", self.router))
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

//! Client of the administration API.

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

/// A change may take 10 s to be settled and 13 s to be confirmed everywhere.
const TIMEOUT: Duration = Duration::from_secs(30);

/// A request was not answered with results.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The router refused the statements.
    #[error("{}", .0.message)]
    Refused(Box<StatementError>),
    /// The router could not be reached or gave no usable answer.
    #[error("router {router} gave no usable answer: {detail}")]
    NoAnswer {
        /// Router.
        router: String,
        /// What was seen.
        detail: String,
    },
}

/// Client of the administration API of one router.
pub struct Client {
    http: oxhttp::Client,
    router: String,
    token: Option<String>,
}

impl Client {
    /// Creates a client of the router at `router` (`HOST:PORT`).
    pub fn new(router: &str, token: Option<String>) -> Self {
        Client {
            http: oxhttp::Client::new().with_global_timeout(TIMEOUT),
            router: router.to_owned(),
            token,
        }
    }

    /// Sends statements.
    ///
    /// # Errors
    ///
    /// Returns an error if the statements were refused or the answer is unknown.
    pub fn send(&self, request: &StatementRequest) -> Result<StatementResponse, ClientError> {
        let (is_success, body) = self
            .post(request)
            .map_err(|detail| self.no_answer(detail))?;
        if is_success {
            return serde_json::from_str(&body).map_err(|e| self.no_answer(e.to_string()));
        }
        let error = serde_json::from_str(&body).map_err(|e| self.no_answer(e.to_string()))?;
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

    fn no_answer(&self, detail: String) -> ClientError {
        ClientError::NoAnswer {
            router: self.router.clone(),
            detail,
        }
    }
}

//! Answers of the gateway itself.

use bytes::Bytes;
use dw_base::DurationMs;
use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;

use crate::body::AnswerBody;

/// Why the gateway itself answers a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum GatewayAnswer {
    /// The head of the request cannot be read.
    BadRequest(String),
    /// No route has the host and path.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The body is longer than allowed.
    TooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// It was not run and the caller may come back.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after_ms: DurationMs,
    },
    /// It was sent, and its outcome is not known.
    Unknown,
    /// It was sent, and there was no answer in time.
    Timeout,
}

impl GatewayAnswer {
    /// Returns the status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            GatewayAnswer::BadRequest(_) => StatusCode::BAD_REQUEST,
            GatewayAnswer::NoRoute => StatusCode::NOT_FOUND,
            GatewayAnswer::NoKey => StatusCode::UNAUTHORIZED,
            GatewayAnswer::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            GatewayAnswer::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            GatewayAnswer::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            GatewayAnswer::Unknown => StatusCode::BAD_GATEWAY,
            GatewayAnswer::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns a word for logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            GatewayAnswer::BadRequest(_) => "bad_request",
            GatewayAnswer::NoRoute => "no_route",
            GatewayAnswer::NoKey => "no_key",
            GatewayAnswer::TooLarge => "too_large",
            GatewayAnswer::BodyTimeout => "body_timeout",
            GatewayAnswer::NotRun { reason, .. } => reason,
            GatewayAnswer::Unknown => "unknown_outcome",
            GatewayAnswer::Timeout => "timeout",
        }
    }

    fn message(&self) -> String {
        match self {
            GatewayAnswer::BadRequest(detail) => detail.clone(),
            GatewayAnswer::NoRoute => "no route has this host and path".to_owned(),
            GatewayAnswer::NoKey => "the key is missing or unknown; send a valid one".to_owned(),
            GatewayAnswer::TooLarge => "the body is too long; send a shorter one".to_owned(),
            GatewayAnswer::BodyTimeout => {
                "the body did not arrive in time; send it again".to_owned()
            }
            GatewayAnswer::NotRun { reason, .. } => {
                format!("the request was not run ({reason}); send it again after Retry-After")
            }
            GatewayAnswer::Unknown => "the upstream gave no answer; it may have run".to_owned(),
            GatewayAnswer::Timeout => "there was no answer in time; it may have run".to_owned(),
        }
    }

    /// Builds the answer.
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let body = serde_json::json!({ "error": self.label(), "message": self.message() });
        let body = Full::new(Bytes::from(body.to_string()));
        let mut response = Response::new(AnswerBody::Gateway(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let GatewayAnswer::NotRun { retry_after_ms, .. } = self {
            let seconds = format!("{:.3}", retry_after_ms.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if matches!(self, GatewayAnswer::TooLarge | GatewayAnswer::BodyTimeout) {
            // The rest of the body is not read, so the connection cannot be used again.
            let close = HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        response
    }
}

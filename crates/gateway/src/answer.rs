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
pub(crate) enum OwnAnswer {
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

impl OwnAnswer {
    /// Returns the status.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            OwnAnswer::BadRequest(_) => StatusCode::BAD_REQUEST,
            OwnAnswer::NoRoute => StatusCode::NOT_FOUND,
            OwnAnswer::NoKey => StatusCode::UNAUTHORIZED,
            OwnAnswer::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            OwnAnswer::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            OwnAnswer::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            OwnAnswer::Unknown => StatusCode::BAD_GATEWAY,
            OwnAnswer::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns a word for logs and metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            OwnAnswer::BadRequest(_) => "bad_request",
            OwnAnswer::NoRoute => "no_route",
            OwnAnswer::NoKey => "no_key",
            OwnAnswer::TooLarge => "too_large",
            OwnAnswer::BodyTimeout => "body_timeout",
            OwnAnswer::NotRun { reason, .. } => reason,
            OwnAnswer::Unknown => "unknown_outcome",
            OwnAnswer::Timeout => "timeout",
        }
    }

    fn message(&self) -> String {
        match self {
            OwnAnswer::BadRequest(detail) => detail.clone(),
            OwnAnswer::NoRoute => "no route has this host and path".to_owned(),
            OwnAnswer::NoKey => "the key is missing or unknown; send a valid one".to_owned(),
            OwnAnswer::TooLarge => "the body is too long; send a shorter one".to_owned(),
            OwnAnswer::BodyTimeout => "the body did not arrive in time; send it again".to_owned(),
            OwnAnswer::NotRun { reason, .. } => {
                format!("the request was not run ({reason}); send it again after Retry-After")
            }
            OwnAnswer::Unknown => "the upstream gave no answer; it may have run".to_owned(),
            OwnAnswer::Timeout => "there was no answer in time; it may have run".to_owned(),
        }
    }

    /// Builds the answer.
    pub(crate) fn response(&self) -> Response<AnswerBody> {
        let body = serde_json::json!({ "error": self.label(), "message": self.message() });
        let body = Full::new(Bytes::from(body.to_string()));
        let mut response = Response::new(AnswerBody::Own(body));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let OwnAnswer::NotRun { retry_after_ms, .. } = self {
            let seconds = format!("{:.3}", retry_after_ms.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if matches!(self, OwnAnswer::TooLarge | OwnAnswer::BodyTimeout) {
            // The rest of the body is not read, so the connection cannot be used again.
            let close = HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        response
    }
}

//! Bodies of answers with a bounded length.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use thiserror::Error;

/// A body cannot be read whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It has more bytes than allowed, perhaps without end.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The connection broke.
    #[error("the body broke off: {0}")]
    Broken(Box<dyn std::error::Error + Send + Sync>),
}

/// Reads a whole body of at most `max_encoded_bytes` bytes.
///
/// # Errors
///
/// Returns an error if the body is longer or breaks off; the connection is then of no use.
pub async fn read_body(body: Incoming, max_encoded_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, max_encoded_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLong(max_encoded_bytes)),
        Err(e) => Err(BodyError::Broken(e)),
    }
}

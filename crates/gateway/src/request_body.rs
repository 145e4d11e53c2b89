//! Reading of the bodies of requests.
//!
//! Load pattern: callers send bodies of up to some megabytes, slowly or many at a time. The memory of a
//! body is reserved before it is read, and a body for which there is no room is never held.

use bytes::Bytes;
use bytes::BytesMut;
use dw_admit::NoRoom;
use dw_base::DurationMs;
use http::header;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::answer::GatewayAnswer;
use crate::memory::Reservation;

/// Memory that is reserved for a body whose length is not declared, until it is longer.
const UNDECLARED_BYTES: u64 = 16_384;

/// Maximum that is read and discarded of a refused body, so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 262_144;

/// Time in which a refused body must arrive for its connection to be used again.
const DISCARD_TIMEOUT_MS: DurationMs = DurationMs(100);

/// Why a body was not read.
pub(crate) enum BodyError {
    /// The gateway answers this.
    Answer(GatewayAnswer),
    /// There is no memory for it.
    NoRoom(NoRoom),
}

/// Bounds for reading a body.
pub(crate) struct BodyBounds {
    /// Maximum length.
    pub(crate) max_bytes: usize,
    /// Time in which it must have arrived.
    pub(crate) timeout_ms: DurationMs,
    /// Priority of the request.
    pub(crate) priority: u8,
}

/// Reads a whole body whose memory `held` accounts for.
pub(crate) async fn read(
    body: &mut Incoming,
    bounds: &BodyBounds,
    held: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact().unwrap_or(UNDECLARED_BYTES);
    let reserved = declared.min(bounds.max_bytes as u64);
    held.take(reserved, bounds.priority)
        .map_err(BodyError::NoRoom)?;
    let read = timeout(
        bounds.timeout_ms.into(),
        collect(body, bounds.max_bytes, held),
    );
    let body = match read.await {
        Ok(body) => body?,
        Err(_) => return Err(BodyError::Answer(GatewayAnswer::BodyTimeout)),
    };
    let unused = held.bytes().saturating_sub(body.len() as u64);
    if unused > 0 {
        held.shrink(unused);
    }
    Ok(body)
}

async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    held: &mut Reservation,
) -> Result<Bytes, BodyError> {
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let detail = format!("cannot read the request body: {e}");
            BodyError::Answer(GatewayAnswer::BadRequest(detail))
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = first.len() + whole.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::Answer(GatewayAnswer::TooLarge));
        }
        let missing = (length as u64).saturating_sub(held.bytes());
        if missing > 0 {
            held.grow(missing).map_err(BodyError::NoRoom)?;
        }
        // Most bodies arrive as one frame, which needs no copy.
        if length == data.len() {
            first = data;
        } else {
            whole.extend_from_slice(&std::mem::take(&mut first));
            whole.extend_from_slice(&data);
        }
    }
    match whole.is_empty() {
        true => Ok(first),
        false => Ok(whole.freeze()),
    }
}

/// Reads and discards what is left of a refused request's body, if it is short and arrives without delay;
/// otherwise the connection is closed after the answer.
pub(crate) async fn discard(body: &mut Incoming, headers: &HeaderMap) {
    // A caller that waits for permission to send its body needs none of it to be read.
    if body.is_end_stream() || headers.contains_key(header::EXPECT) {
        return;
    }
    let declared = body.size_hint().exact().unwrap_or_default();
    if declared > MAX_DISCARDED_BYTES as u64 {
        return;
    }
    let read = async {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // The answer is the same when the rest is late.
    let _ = timeout(DISCARD_TIMEOUT_MS.into(), read).await;
}

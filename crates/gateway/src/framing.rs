//! How the end of an upstream's answer is known.

use http::header;
use http::HeaderMap;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether only the end of the connection ends the body.
pub(crate) fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether the body of a streaming answer consists of events, which must all be whole. A body
/// without a type is taken for one if nothing but its last event can show that it is complete.
pub(crate) fn has_events(headers: &HeaderMap) -> bool {
    let Some(media_type) = headers.get(header::CONTENT_TYPE) else {
        return ends_with_connection(headers);
    };
    let media_type = media_type.to_str().unwrap_or_default();
    let media_type = media_type.split(';').next().unwrap_or_default();
    media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
}

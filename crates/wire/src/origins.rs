//! Messages about where streams began.

use dw_base::DurationMs;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::StreamKey;
use serde::Deserialize;
use serde::Serialize;

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service of the upstream that sent its first event.
    pub service: ServiceId,
    /// Version of the upstream's software.
    pub software: SoftwareVersion,
}

/// Tells a sidecar where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// Time for which the stream may be taken up.
    pub retention_ms: DurationMs,
}

/// Asks a sidecar where a stream began.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginQuery {
    /// Number that the answer repeats.
    pub number: u32,
    /// Stream.
    pub stream: StreamKey,
}

/// Answer to an [`OriginQuery`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginAnswer {
    /// Number of the query.
    pub number: u32,
    /// Where the stream began, if the sidecar was told.
    pub origin: Option<StreamOrigin>,
}

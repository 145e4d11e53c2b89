//! Upstreams among which a policy chooses.

use dw_base::DataCentreId;
use dw_base::TokensPerS;
use dw_base::UpstreamId;

/// An upstream that can serve the request according to configuration and membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Declared prefill speed.
    pub prefill_tokens_per_s: TokensPerS,
    /// Declared decode speed of one stream.
    pub decode_tokens_per_s: TokensPerS,
    /// Maximum number of concurrent requests.
    pub max_batch: u32,
}

//! Registration of an upstream.

use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::ModelId;
use dw_base::ServiceId;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;

/// What an upstream says of itself in the platform's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegisteredUpstream {
    /// Id of this start of the upstream.
    pub upstream: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Models with their weights; empty for a plain service.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// Start in milliseconds since the Unix epoch; differs after a restart under the same id.
    pub started_ms: u64,
}

impl RegisteredUpstream {
    /// Returns the weights of a model.
    pub fn weights(&self, model: &ModelId) -> Option<WeightsVersion> {
        let held = self.models.iter().find(|(name, _)| name == model);
        held.map(|(_, weights)| *weights)
    }
}

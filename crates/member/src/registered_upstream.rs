//! Registration of an upstream.

use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::ModelId;
use dw_base::ServiceId;
use dw_base::SoftwareVersion;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;

/// Registration of an upstream in the platform's table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegisteredUpstream {
    /// Id of the upstream instance.
    pub upstream: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// Models with their weights versions; empty if the upstream is not a model engine.
    pub models: Vec<(ModelId, WeightsVersion)>,
    /// Start time in milliseconds since the Unix epoch; changes on a restart under the same id.
    pub started_ms: u64,
}

impl RegisteredUpstream {
    /// Returns the weights version of a model.
    pub fn weights(&self, model: &ModelId) -> Option<WeightsVersion> {
        let held = self.models.iter().find(|(name, _)| name == model);
        held.map(|(_, weights)| *weights)
    }
}

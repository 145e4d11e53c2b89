//! Services behind routes.

use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::ServiceId;
use dw_base::Tokens;

/// A service that routes lead to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name.
    pub service: ServiceId,
    /// Connections that one of its upstreams accepts from all callers.
    pub max_connections: u32,
    /// Memory for prompts of one of its upstreams; absent for a plain service.
    pub kv_capacity: Option<Tokens>,
}

/// A store of kept KV cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvStore {
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Room.
    pub capacity: Tokens,
}

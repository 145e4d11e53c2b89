//! Services and KV stores.

use std::net::SocketAddr;

use dw_base::DataCentreId;
use dw_base::ServiceId;
use dw_base::Tokens;

/// A service to which routes forward requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name.
    pub service: ServiceId,
    /// Maximum number of connections that one of its upstreams accepts.
    pub max_connections: u32,
    /// KV cache capacity of one of its upstreams; absent for a plain service.
    pub kv_capacity: Option<Tokens>,
}

/// A store of KV cache blocks that engines have computed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvStore {
    /// Address.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Capacity.
    pub capacity: Tokens,
}

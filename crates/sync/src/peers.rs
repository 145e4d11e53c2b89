//! The other nodes, as far as the configuration is concerned.

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_base::NodeId;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use thiserror::Error;

/// A peer did not answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("node {node} did not answer: {detail}; it is asked again later")]
pub struct PeerError {
    /// Peer.
    pub node: NodeId,
    /// What was seen.
    pub detail: String,
}

/// Calls of the other nodes.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Returns the live nodes without this one.
    fn live(&self) -> Vec<NodeId>;

    /// Returns the version that the peer announces in `hello`.
    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError>;

    /// Offers a newer configuration.
    async fn offer(&self, node: &NodeId, update: ConfigUpdate) -> Result<ConfigAck, PeerError>;

    /// Asks for the configuration if it is newer than `than`.
    async fn newer(
        &self,
        node: &NodeId,
        than: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError>;
}

//! Access to a router for parts that are created before it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_base::NodeId;
use dw_base::RequestId;
use dw_sync::PeerError;
use dw_sync::Peers;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;

use crate::shared::Shared;

/// Access to a router. It is empty until the router has started and after it has stopped.
#[derive(Default)]
pub struct NodeHandle(OnceLock<Weak<Shared>>);

impl NodeHandle {
    /// Creates an empty handle; pass it to the router's parts.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub(crate) fn fill(&self, shared: &Arc<Shared>) {
        // A handle belongs to one router; a second start leaves it with the first.
        let _ = self.0.set(Arc::downgrade(shared));
    }

    fn shared(&self) -> Option<Arc<Shared>> {
        self.0.get()?.upgrade()
    }

    /// Returns the placement record of a recent request as JSON.
    pub fn explain(&self, request_id: &RequestId) -> Option<String> {
        self.shared()?.explain(request_id)
    }

    /// Returns the state of the router as JSON.
    pub fn node_state(&self) -> Option<String> {
        Some(self.shared()?.node_state())
    }

    /// Asks another node for the placement record of a recent request.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn explain_at(
        &self,
        node: &NodeId,
        request_id: RequestId,
    ) -> Result<Option<String>, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.explain(context, request_id).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }

    /// Asks another node for its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn state_of(&self, node: &NodeId) -> Result<String, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.node_state(context).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }

    fn peer(&self, node: &NodeId) -> Result<(Arc<Shared>, SocketAddr), PeerError> {
        let shared = self
            .shared()
            .ok_or_else(|| failed(node, "this router does not run"))?;
        let addr = shared.members.control_addr(node);
        let addr = addr.ok_or_else(|| failed(node, "the VM list does not contain it"))?;
        Ok((shared, addr))
    }
}

fn failed(node: &NodeId, detail: impl Into<String>) -> PeerError {
    PeerError {
        node: node.clone(),
        detail: detail.into(),
    }
}

#[async_trait]
impl Peers for NodeHandle {
    fn live(&self) -> Vec<NodeId> {
        let Some(shared) = self.shared() else {
            return Vec::new();
        };
        let mut nodes = shared.members.live_nodes();
        nodes.retain(|node| *node != shared.settings.node);
        nodes
    }

    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let hello = shared.hello();
        let answer = shared.pool.call(addr, |client, context| async move {
            client.hello(context, hello).await
        });
        let answer = answer.await.map_err(|detail| failed(node, detail))?;
        Ok(answer.config_version)
    }

    async fn offer(&self, node: &NodeId, update: ConfigUpdate) -> Result<ConfigAck, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.offer_config(context, update).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }

    async fn newer(
        &self,
        node: &NodeId,
        than: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.newer_config(context, than).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }
}

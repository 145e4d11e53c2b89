//! Calls of the other nodes that keep the configuration current.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_store::VmSource;
use dw_sync::ConfigNode;
use dw_sync::PeerError;
use dw_sync::Peers;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use dw_wire::ControlClient;
use dw_wire::Hello;
use tarpc::client::Config;
use tarpc::client::RpcError;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;

use crate::parts::ConfigPeer;
use crate::shared::lock;

/// Time between two reads of the VM list.
const REFRESH_EVERY: Duration = Duration::from_secs(4);

/// The nodes of the VM list, or those of the settings while the list has not been read.
pub(crate) struct ListedPeers {
    node: NodeId,
    incarnation: Incarnation,
    vms: Arc<dyn VmSource>,
    addrs: Mutex<BTreeMap<NodeId, SocketAddr>>,
}

impl ListedPeers {
    pub(crate) fn new(
        node: NodeId,
        incarnation: Incarnation,
        vms: Arc<dyn VmSource>,
        configured: impl Iterator<Item = SocketAddr>,
    ) -> Self {
        // An address is a valid id; the name of the node is not known.
        let named = configured.filter_map(|addr| Some((addr.to_string().parse().ok()?, addr)));
        ListedPeers {
            node,
            incarnation,
            vms,
            addrs: Mutex::new(named.collect()),
        }
    }

    /// Reads the VM list once; a failed read leaves the peers as they are.
    pub(crate) async fn refresh(&self) {
        let Ok(list) = self.vms.vms().await else {
            return;
        };
        let listed = list.vms.iter().filter_map(|vm| {
            let name: NodeId = vm.name.parse().ok()?;
            Some((name, vm.control_addr.parse().ok()?))
        });
        let listed: BTreeMap<NodeId, SocketAddr> =
            listed.filter(|(name, _)| *name != self.node).collect();
        if !listed.is_empty() {
            *lock(&self.addrs) = listed;
        }
    }

    /// Refreshes until the future is dropped.
    pub(crate) async fn run(&self) {
        loop {
            tokio::time::sleep(REFRESH_EVERY).await;
            self.refresh().await;
        }
    }

    async fn call<T, F: Future<Output = Result<T, RpcError>>>(
        &self,
        node: &NodeId,
        call: impl FnOnce(ControlClient) -> F,
    ) -> Result<T, PeerError> {
        let error = |detail: String| PeerError {
            node: node.clone(),
            detail,
        };
        let addr = lock(&self.addrs).get(node).copied();
        let addr = addr.ok_or_else(|| error("is not in the VM list".to_owned()))?;
        let transport = serde_transport::tcp::connect(addr, Bincode::default)
            .await
            .map_err(|e| error(e.to_string()))?;
        let client = ControlClient::new(Config::default(), transport).spawn();
        call(client).await.map_err(|e| error(e.to_string()))
    }
}

#[async_trait]
impl Peers for ListedPeers {
    fn live(&self) -> Vec<NodeId> {
        lock(&self.addrs).keys().cloned().collect()
    }

    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError> {
        // Version 0 announces nothing, so the peer does not take this node for current.
        let hello = Hello {
            node: self.node.clone(),
            incarnation: self.incarnation,
            config_version: ConfigVersion(0),
            leaving: false,
            status: None,
        };
        let context = tarpc::context::current();
        let call = |client: ControlClient| async move { client.hello(context, hello).await };
        Ok(self.call(node, call).await?.config_version)
    }

    async fn offer(&self, node: &NodeId, update: ConfigUpdate) -> Result<ConfigAck, PeerError> {
        let context = tarpc::context::current();
        let call =
            |client: ControlClient| async move { client.offer_config(context, update).await };
        self.call(node, call).await
    }

    async fn newer(
        &self,
        node: &NodeId,
        than: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError> {
        let context = tarpc::context::current();
        let call = |client: ControlClient| async move { client.newer_config(context, than).await };
        self.call(node, call).await
    }
}

#[async_trait]
impl ConfigPeer for ConfigNode {
    async fn offer(&self, update: ConfigUpdate) -> ConfigVersion {
        self.accept(&update).in_force
    }

    async fn newer(&self, than: ConfigVersion) -> Option<ConfigUpdate> {
        ConfigNode::newer(self, than)
    }

    fn isolated(&self) -> bool {
        !self.is_current()
    }

    fn announced(&self) -> ConfigVersion {
        self.announced_version()
    }
}

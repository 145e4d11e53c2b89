//! Keeps the configuration of an agent current.

use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use dw_base::Clock;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_store::Objects;
use dw_store::Table;
use dw_store::VmSource;
use dw_sync::ConfigNode;
use tokio::task::JoinSet;

use crate::peers::ListedPeers;

/// What a [`ConfigFollower`] is made of.
#[derive(Builder)]
pub struct FollowParts {
    /// Name of the agent.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Control addresses to use until the VM list can be read.
    #[builder(default)]
    pub peers: Vec<SocketAddr>,
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// VM list.
    pub vms: Arc<dyn VmSource>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
}

/// Keeps the configuration of an agent current until it is dropped.
pub struct ConfigFollower {
    node: Arc<ConfigNode>,
    _tasks: JoinSet<()>,
}

impl ConfigFollower {
    /// Gets the first configuration, if there is one, and follows it.
    pub async fn start(parts: FollowParts) -> Self {
        let configured = parts.peers.into_iter();
        let (id, incarnation) = (parts.node.clone(), parts.incarnation);
        let peers = ListedPeers::new(id, incarnation, parts.vms, configured);
        let peers = Arc::new(peers);
        peers.refresh().await;
        let node = ConfigNode::builder()
            .id(parts.node)
            .table(parts.table)
            .objects(parts.objects)
            .peers(peers.clone())
            .clock(parts.clock)
            .seed(incarnation.0)
            .build();
        let node = Arc::new(node);
        node.start().await;
        let polling = Arc::clone(&node);
        let mut tasks = JoinSet::new();
        tasks.spawn(async move { polling.run().await });
        tasks.spawn(async move { peers.run().await });
        ConfigFollower {
            node,
            _tasks: tasks,
        }
    }

    /// Returns the part that holds the configuration.
    pub fn node(&self) -> &Arc<ConfigNode> {
        &self.node
    }
}

//! A router that keeps its configuration current and executes statements.

use std::sync::Arc;

use bon::Builder;
use dw_admin::Administration;
use dw_admin::RuntimeHandler;
use dw_base::Clock;
use dw_base::SystemClock;
use dw_net::BindError;
use dw_place::Policy;
use dw_store::Objects;
use dw_store::Table;
use dw_store::VmSource;
use dw_sync::ConfigNode;
use dw_telem::Metrics;
use tokio::task::JoinHandle;

use crate::handle::NodeHandle;
use crate::parts::Parts;
use crate::router::Router;
use crate::settings::Settings;
use crate::sync::SyncDelegate;

/// What a synced router is made of.
#[derive(Builder)]
pub struct SyncedParts {
    /// Settings; `store` and `config_file` are not used.
    pub settings: Settings,
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// List of VMs.
    pub vms: Arc<dyn VmSource>,
    /// Placement policy.
    pub policy: Box<dyn Policy>,
    /// Source of time.
    #[builder(default = Arc::new(SystemClock::new()))]
    pub clock: Arc<dyn Clock>,
    /// Registry of metrics.
    #[builder(default)]
    pub metrics: Metrics,
    /// Seed of the generators for placement and backoff.
    #[builder(default = rand::random())]
    pub seed: u64,
}

/// A router that keeps its configuration current and executes statements.
pub struct SyncedRouter {
    router: Router,
    node: Arc<ConfigNode>,
    syncing: JoinHandle<()>,
}

impl SyncedRouter {
    /// Starts the router. It refuses requests until its configuration is known.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(parts: SyncedParts) -> Result<Self, BindError> {
        let handle = NodeHandle::new();
        let node = ConfigNode::builder()
            .id(parts.settings.node.clone())
            .table(parts.table)
            .objects(parts.objects)
            .peers(handle.clone())
            .clock(parts.clock.clone())
            .seed(parts.seed)
            .build();
        let node = Arc::new(node);
        let administration = Administration::builder()
            .config(node.clone())
            .log(node.clone())
            .cluster(handle.clone())
            .clock(parts.clock.clone())
            .maybe_bootstrap_token_sha256(parts.settings.bootstrap_token_sha256.clone())
            .build();
        let runtime = tokio::runtime::Handle::current();
        let parts = Parts::builder()
            .settings(parts.settings)
            .statements(Arc::new(RuntimeHandler::new(administration, runtime)))
            .config(node.clone())
            .vms(parts.vms)
            .policy(parts.policy)
            .delegate(Arc::new(SyncDelegate(node.clone())))
            .handle(handle)
            .clock(parts.clock)
            .metrics(parts.metrics)
            .seed(parts.seed)
            .build();
        // The router starts first, because peers are found through its VM list.
        let router = Router::start(parts).await?;
        let synced = node.clone();
        let syncing = tokio::spawn(async move {
            synced.start().await;
            synced.run().await;
        });
        Ok(SyncedRouter {
            router,
            node,
            syncing,
        })
    }

    /// Returns the router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the part that keeps the configuration current.
    pub fn node(&self) -> &Arc<ConfigNode> {
        &self.node
    }

    /// Drains the router and stops.
    pub async fn shutdown(self) {
        self.router.shutdown().await;
        self.syncing.abort();
    }
}

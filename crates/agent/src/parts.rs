//! What an agent is built from.

use std::sync::Arc;

use async_trait::async_trait;
use dw_admit::Gate;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::Incarnation;
use dw_base::SystemClock;
use dw_config::ConfigSource;
use dw_store::Objects;
use dw_store::Table;
use dw_store::VmSource;
use dw_wire::ConfigUpdate;

use crate::settings::Settings;

/// Takes part in the propagation of configurations.
#[async_trait]
pub trait ConfigPeer: Send + Sync {
    /// Takes an offered configuration and returns the version in force afterwards.
    async fn offer(&self, update: ConfigUpdate) -> ConfigVersion;

    /// Returns a configuration that is newer than `than`.
    async fn newer(&self, than: ConfigVersion) -> Option<ConfigUpdate>;

    /// Returns whether the node cannot know that its version is current.
    fn isolated(&self) -> bool;

    /// Returns the version to announce to peers; 0 until it is known to be current.
    fn announced(&self) -> ConfigVersion;
}

/// A peer with a configuration that never changes.
#[derive(Clone, Copy, Debug)]
pub struct FixedPeer(pub ConfigVersion);

#[async_trait]
impl ConfigPeer for FixedPeer {
    async fn offer(&self, _update: ConfigUpdate) -> ConfigVersion {
        self.0
    }

    async fn newer(&self, _than: ConfigVersion) -> Option<ConfigUpdate> {
        None
    }

    fn isolated(&self) -> bool {
        false
    }

    fn announced(&self) -> ConfigVersion {
        self.0
    }
}

/// What an agent is built from.
#[derive(bon::Builder)]
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Configuration.
    pub config: Arc<dyn ConfigSource>,
    /// Propagation of configurations.
    pub peer: Arc<dyn ConfigPeer>,
    /// Table service.
    pub table: Arc<dyn Table>,
    /// Object store.
    pub objects: Arc<dyn Objects>,
    /// Admission control.
    pub gate: Box<dyn Gate>,
    /// VM list, from which the routers for the leaving notice are taken.
    pub vms: Option<Arc<dyn VmSource>>,
    /// Clock.
    #[builder(default = Arc::new(SystemClock::new()))]
    pub clock: Arc<dyn Clock>,
    /// Incarnation; by default the start time, which grows from one life to the next.
    pub incarnation: Option<Incarnation>,
}

//! Joins a router with the part that keeps its configuration current.

use std::sync::Arc;

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_sync::ConfigNode;
use dw_wire::ConfigUpdate;
use dw_wire::Hello;

use crate::control::ControlDelegate;

/// Answers configuration calls from a [`ConfigNode`].
pub struct SyncDelegate(pub Arc<ConfigNode>);

#[async_trait]
impl ControlDelegate for SyncDelegate {
    async fn offer_config(&self, update: ConfigUpdate) {
        self.0.accept(&update);
    }

    async fn newer_config(&self, than: ConfigVersion) -> Option<ConfigUpdate> {
        self.0.newer(than)
    }

    fn version_seen(&self, hello: &Hello) {
        self.0.observe(&hello.node, hello.config_version);
    }

    fn announced_version(&self) -> Option<ConfigVersion> {
        Some(self.0.announced_version())
    }

    fn isolated(&self) -> bool {
        !self.0.is_current()
    }
}

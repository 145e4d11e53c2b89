//! Polling of the VM list.

use async_trait::async_trait;
use dw_api::vms::VmList;
use dw_store::StoreError;
use dw_store::VmSource;

use crate::shared::Shared;

/// A VM list that never changes, for nodes whose settings name their peers.
#[derive(Debug)]
pub struct FixedVms(pub VmList);

#[async_trait]
impl VmSource for FixedVms {
    async fn vms(&self) -> Result<VmList, StoreError> {
        Ok(self.0.clone())
    }
}

/// Takes the peers of the settings, then reads the list once.
pub(crate) async fn start(shared: &Shared) {
    if let Some(peers) = &shared.settings.peers {
        // Any list that is read later counts as newer.
        let peers = VmList {
            seq: 0,
            ..peers.clone()
        };
        shared.members.listed(&peers, shared.clock.now());
        shared.count_routers();
    }
    poll_once(shared).await;
}

/// Reads the list once. On a failure the last known list stays in use.
pub(crate) async fn poll_once(shared: &Shared) {
    // The age of the configuration must not depend on how often metrics are read.
    shared.see_config();
    match shared.vms.vms().await {
        Ok(list) => {
            for name in shared.members.listed(&list, shared.clock.now()) {
                log::warn!(vm = name.as_str(); "entry of the VM list is ignored because it is malformed");
            }
            shared.count_routers();
        }
        Err(e) => log::warn!(error:% = e; "VM list is not available"),
    }
}

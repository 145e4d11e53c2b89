//! Answers control calls of other nodes.

use std::sync::Arc;

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::RequestId;
use dw_base::Suspect;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use dw_wire::ControlHandler;
use dw_wire::Hello;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use dw_wire::SuspectReport;

use crate::shared::Shared;

/// Answers the control calls that concern the configuration.
#[async_trait]
pub trait ControlDelegate: Send + Sync {
    /// Takes an offered configuration if it is newer.
    async fn offer_config(&self, update: ConfigUpdate);

    /// Returns the configuration if it is newer than `than`.
    async fn newer_config(&self, than: ConfigVersion) -> Option<ConfigUpdate>;

    /// Learns the configuration version of another node.
    fn version_seen(&self, hello: &Hello);

    /// Returns the version to announce, if it is not the one in force.
    fn announced_version(&self) -> Option<ConfigVersion>;

    /// Returns whether the node cannot know that its configuration is current.
    fn isolated(&self) -> bool;
}

/// Takes no configuration, for a router with a fixed configuration.
#[derive(Clone, Copy, Debug)]
pub struct NoDelegate;

#[async_trait]
impl ControlDelegate for NoDelegate {
    async fn offer_config(&self, _update: ConfigUpdate) {}

    async fn newer_config(&self, _than: ConfigVersion) -> Option<ConfigUpdate> {
        None
    }

    fn version_seen(&self, _hello: &Hello) {}

    fn announced_version(&self) -> Option<ConfigVersion> {
        None
    }

    fn isolated(&self) -> bool {
        false
    }
}

/// The handler that a router serves.
pub(crate) struct Handler(pub(crate) Arc<Shared>);

/// Records what another node has said of itself.
pub(crate) fn heard(shared: &Shared, hello: &Hello) {
    let now = shared.clock.now();
    if hello.leaving {
        shared.members.left(&hello.node, hello.incarnation, now);
    } else {
        shared.members.answered(&hello.node, hello.incarnation, now);
    }
    shared.count_routers();
    if let Some(status) = &hello.status {
        shared.report(&status.upstream, status, None);
    }
    shared.delegate.version_seen(hello);
}

#[async_trait]
impl ControlHandler for Handler {
    async fn hello(&self, hello: Hello) -> Hello {
        heard(&self.0, &hello);
        self.0.hello()
    }

    async fn offer_config(&self, update: ConfigUpdate) -> ConfigAck {
        self.0.delegate.offer_config(update).await;
        ConfigAck {
            node: self.0.settings.node.clone(),
            in_force: self.0.config.current().version,
        }
    }

    async fn newer_config(&self, than: ConfigVersion) -> Option<ConfigUpdate> {
        self.0.delegate.newer_config(than).await
    }

    async fn borrow(&self, request: LoanRequest) -> Result<Loan, LoanDenied> {
        self.0.limiter.lend(&request, self.0.clock.now())
    }

    async fn explain(&self, request_id: RequestId) -> Option<String> {
        self.0.explain(&request_id)
    }

    async fn node_state(&self) -> String {
        self.0.node_state()
    }

    async fn suspects(&self, reports: Vec<SuspectReport>) {
        self.0.quarantine.merge(reports, self.0.clock.now());
    }

    async fn request_probe(&self, parts: Vec<ModelPart>) -> DurationMs {
        let suspects: Vec<Suspect> = parts.into_iter().map(Suspect::Part).collect();
        self.0.quarantine.grant_probe(&suspects, self.0.clock.now())
    }

    async fn suspect_requests(&self, reports: Vec<SuspectReport<RequestDigest>>) {
        let now = self.0.clock.now();
        self.0.quarantine.merge_requests(reports, now);
    }

    async fn request_suspect_probe(&self, suspects: Vec<Suspect>) -> DurationMs {
        self.0.quarantine.grant_probe(&suspects, self.0.clock.now())
    }
}

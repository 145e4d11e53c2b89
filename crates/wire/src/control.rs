//! Control traffic between nodes.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::OrgId;
use dw_base::RequestId;
use dw_base::ServiceId;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::status::Status;

/// Who calls, and what it knows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// Node that speaks.
    pub node: NodeId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its configuration version.
    pub config_version: ConfigVersion,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// State of the upstream, if the node is an agent.
    pub status: Option<Status>,
}

/// A newer configuration than the receiver has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigUpdate {
    /// The changes after one version up to another. A whole configuration of the target size is
    /// about 1 MB, which would exceed the control budget of 6 KB/s at 1,600 changes a day.
    Changes {
        /// Version that the receiver must have.
        from: ConfigVersion,
        /// Version after the changes.
        to: ConfigVersion,
        /// The changes as JSON, the oldest first.
        json: String,
    },
    /// The whole configuration, for a receiver that lags too far.
    Snapshot {
        /// Version of the configuration.
        version: ConfigVersion,
        /// The configuration as JSON.
        json: String,
    },
}

/// Confirms the configuration version that is in force at a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigAck {
    /// Node that confirms.
    pub node: NodeId,
    /// Version in force there.
    pub in_force: ConfigVersion,
}

/// Asks the owner router of an organisation for allowance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoanRequest {
    /// Router that borrows.
    pub router: NodeId,
    /// Organisation whose limit it is.
    pub org: OrgId,
    /// Service whose limit it is; absent for the organisation's overall limit.
    pub service: Option<ServiceId>,
    /// Requests wanted.
    pub requests: f64,
    /// Tokens wanted.
    pub tokens: f64,
}

/// Allowance lent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loan {
    /// Requests lent.
    pub requests: f64,
    /// Tokens lent.
    pub tokens: f64,
    /// How long the loan may be used.
    pub valid_ms: DurationMs,
    /// When more will be there, if less was lent than wanted.
    pub retry_after_ms: DurationMs,
}

/// Why no loan was made.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum LoanDenied {
    /// The receiver is not the owner.
    #[error("this node does not own the limit: ask {owner:?}")]
    NotOwner {
        /// The owner that the receiver knows.
        owner: Option<NodeId>,
    },
    /// The receiver knows no such limit.
    #[error("no such limit: update the configuration")]
    NoLimit,
}

/// Calls that every node answers.
#[tarpc::service]
pub trait Control {
    /// Exchanges state; also serves as the heartbeat of an idle pair and as the leaving notice.
    async fn hello(hello: Hello) -> Hello;
    /// Offers a newer configuration and returns what is in force afterwards.
    async fn offer_config(update: ConfigUpdate) -> ConfigAck;
    /// Asks for the configuration if it is newer than `than`.
    async fn newer_config(than: ConfigVersion) -> Option<ConfigUpdate>;
    /// Asks for allowance.
    async fn borrow(request: LoanRequest) -> Result<Loan, LoanDenied>;
    /// Returns the placement record of a recent request as JSON, if it is kept.
    async fn explain(request_id: RequestId) -> Option<String>;
    /// Returns the state of the node as JSON.
    async fn node_state() -> String;
}

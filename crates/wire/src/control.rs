//! Messages and service of the control traffic between nodes.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::ModelPart;
use dw_base::NodeId;
use dw_base::OrgId;
use dw_base::RequestDigest;
use dw_base::RequestId;
use dw_base::ServiceId;
use dw_base::Suspect;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::gossip::SuspectReport;
use crate::status::Status;

/// Identity and state of a node, exchanged with its peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// Node that sends the message.
    pub node: NodeId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its configuration version.
    pub config_version: ConfigVersion,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// State of the agent and its upstream, if the node is an agent.
    pub status: Option<Status>,
}

/// A newer configuration than the receiver has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigUpdate {
    /// Changes between two versions. A full configuration of the target size is about 1 MB; sending
    /// it for each of 1,600 changes a day would exceed the control budget of 6 KB/s.
    Changes {
        /// Version that the receiver must have.
        from: ConfigVersion,
        /// Version after the changes.
        to: ConfigVersion,
        /// The changes as JSON, the oldest first.
        json: String,
    },
    /// The full configuration, for a receiver that is too far behind for changes.
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

/// Request to borrow allowance from the router that owns an organisation's limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoanRequest {
    /// Router that borrows.
    pub router: NodeId,
    /// Organisation that the limit applies to.
    pub org: OrgId,
    /// Service that the limit applies to; absent for the organisation's overall limit.
    pub service: Option<ServiceId>,
    /// Number of requests to borrow.
    pub requests: f64,
    /// Number of tokens to borrow.
    pub tokens: f64,
}

/// Allowance granted to a borrowing router.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loan {
    /// Number of requests granted.
    pub requests: f64,
    /// Number of tokens granted.
    pub tokens: f64,
    /// Time for which the loan is valid.
    pub valid_ms: DurationMs,
    /// Delay until more is available, if less was granted than requested.
    pub retry_after_ms: DurationMs,
}

/// Reason for denying a loan.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum LoanDenied {
    /// The receiver does not own the limit.
    #[error("this node does not own the limit: ask {owner:?}")]
    NotOwner {
        /// Owner of the limit, if the receiver knows it.
        owner: Option<NodeId>,
    },
    /// The limit is not in the receiver's configuration.
    #[error("no such limit: update the configuration")]
    NoLimit,
}

/// Control service that every node provides.
#[tarpc::service]
pub trait Control {
    /// Exchanges state; also serves as the heartbeat between idle nodes and as the notice of shutdown.
    async fn hello(hello: Hello) -> Hello;
    /// Offers a newer configuration and returns the version in force afterwards.
    async fn offer_config(update: ConfigUpdate) -> ConfigAck;
    /// Returns the configuration if it is newer than `than`.
    async fn newer_config(than: ConfigVersion) -> Option<ConfigUpdate>;
    /// Borrows allowance from the owner of a limit.
    async fn borrow(request: LoanRequest) -> Result<Loan, LoanDenied>;
    /// Returns the placement record of a recent request as JSON, if it is still stored.
    async fn explain(request_id: RequestId) -> Option<String>;
    /// Returns the state of the node as JSON.
    async fn node_state() -> String;
    /// Tells a router which parts of prompts upstreams ended under.
    async fn suspects(reports: Vec<SuspectReport>);
    /// Asks the router that grants probes of these quarantined parts for one; returns zero if a request
    /// may be sent, and otherwise the time until the next one may be.
    async fn request_probe(parts: Vec<ModelPart>) -> DurationMs;
    /// Tells a router which requests upstreams ended under.
    async fn suspect_requests(reports: Vec<SuspectReport<RequestDigest>>);
    /// As [`Control::request_probe`], of prompt parts and requests.
    async fn request_suspect_probe(suspects: Vec<Suspect>) -> DurationMs;
}

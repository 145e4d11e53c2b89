//! What the administration needs from the node on which it runs.

use async_trait::async_trait;
use dw_base::BlockHash;
use dw_base::ConfigVersion;
use dw_base::RequestId;
use dw_config::Change;
use dw_config::CommitError;
use dw_config::CommittedChange;
use dw_sync::CommitReport;
use dw_sync::ConfigNode;
use serde_json::Map;
use serde_json::Value;

/// The log of changes.
#[async_trait]
pub trait ChangeLog: Send + Sync {
    /// Commits a change that is based on version `base` and waits for the live nodes.
    async fn commit(
        &self,
        change: Change,
        base: ConfigVersion,
    ) -> Result<CommitReport, CommitError>;

    /// Returns the newest `limit` changes, the newest first; the error says why it cannot.
    async fn history(&self, limit: u64) -> Result<Vec<CommittedChange>, String>;
}

#[async_trait]
impl ChangeLog for ConfigNode {
    async fn commit(
        &self,
        change: Change,
        base: ConfigVersion,
    ) -> Result<CommitReport, CommitError> {
        ConfigNode::commit(self, change, base).await
    }

    async fn history(&self, limit: u64) -> Result<Vec<CommittedChange>, String> {
        ConfigNode::history(self, limit)
            .await
            .map_err(|error| error.to_string())
    }
}

/// States and records of all nodes as JSON objects, whose fields become columns.
#[async_trait]
pub trait ClusterState: Send + Sync {
    /// Returns the states of all known nodes; each has at least the field `name`.
    async fn nodes(&self) -> Vec<Map<String, Value>>;

    /// Returns the placement record of a request, if a node still keeps it.
    async fn explain(&self, request_id: &RequestId) -> Option<Map<String, Value>>;

    /// Returns one object for each upstream that is a home of the prefix or known to hold it.
    async fn prefix(&self, hash: BlockHash) -> Vec<Map<String, Value>>;
}

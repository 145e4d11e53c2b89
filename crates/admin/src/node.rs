//! Interfaces that a node provides to the administration API.

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

/// Log of configuration changes.
#[async_trait]
pub trait ChangeLog: Send + Sync {
    /// Commits a change that is based on version `base` and waits until the live nodes confirm it.
    async fn commit(
        &self,
        change: Change,
        base: ConfigVersion,
    ) -> Result<CommitReport, CommitError>;

    /// Returns the latest `limit` changes, newest first, or a message about the failure.
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

/// State of all nodes, as JSON objects whose fields become columns.
#[async_trait]
pub trait ClusterState: Send + Sync {
    /// Returns the state of each known node, with at least the field `name`.
    async fn nodes(&self) -> Vec<Map<String, Value>>;

    /// Returns the placement record of a request, or `None` if no node retains it.
    async fn explain(&self, request_id: &RequestId) -> Option<Map<String, Value>>;

    /// Returns one object per upstream that is a home of the prefix or is known to cache it.
    async fn prefix(&self, hash: BlockHash) -> Vec<Map<String, Value>>;
}

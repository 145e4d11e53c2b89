//! Access to a router for parts that are created before it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::Weak;

use async_trait::async_trait;
use dw_admin::ClusterState;
use dw_base::BlockHash;
use dw_base::ConfigVersion;
use dw_base::NodeId;
use dw_base::RequestId;
use dw_base::TimeMs;
use dw_sync::PeerError;
use dw_sync::Peers;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use futures::StreamExt;
use serde_json::Map;
use serde_json::Value;

use crate::shared::Shared;

/// Nodes that are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

/// Access to a router. It is empty until the router has started and after it has stopped.
#[derive(Default)]
pub struct NodeHandle(OnceLock<Weak<Shared>>);

impl NodeHandle {
    /// Creates an empty handle; pass it to the router's parts.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub(crate) fn fill(&self, shared: &Arc<Shared>) {
        // A handle belongs to one router; a second start leaves it with the first.
        let _ = self.0.set(Arc::downgrade(shared));
    }

    fn shared(&self) -> Option<Arc<Shared>> {
        self.0.get()?.upgrade()
    }

    /// Returns the placement record of a recent request as JSON.
    pub fn explain(&self, request_id: &RequestId) -> Option<String> {
        self.shared()?.explain(request_id)
    }

    /// Returns the state of the router as JSON.
    pub fn node_state(&self) -> Option<String> {
        Some(self.shared()?.node_state())
    }

    /// Asks another node for the placement record of a recent request.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn explain_at(
        &self,
        node: &NodeId,
        request_id: RequestId,
    ) -> Result<Option<String>, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.explain(context, request_id).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }

    /// Asks another node for its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer.
    pub async fn state_of(&self, node: &NodeId) -> Result<String, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.node_state(context).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }

    /// Returns the routers that are not leaving.
    pub(crate) fn routers(&self) -> Vec<NodeId> {
        let shared = self.shared();
        shared.map_or_else(Vec::new, |shared| shared.members.routers())
    }

    /// Returns the time; zero before the start.
    pub(crate) fn now(&self) -> TimeMs {
        let shared = self.shared();
        shared.map_or(TimeMs(0), |shared| shared.clock.now())
    }

    /// Asks another router for allowance; a router that does not answer becomes suspect.
    pub(crate) async fn borrow_from(
        &self,
        node: &NodeId,
        request: LoanRequest,
    ) -> Result<Result<Loan, LoanDenied>, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.borrow(context, request).await
        });
        answer.await.map_err(|detail| {
            shared.members.failed(node, shared.clock.now());
            failed(node, detail)
        })
    }

    fn peer(&self, node: &NodeId) -> Result<(Arc<Shared>, SocketAddr), PeerError> {
        let shared = self
            .shared()
            .ok_or_else(|| failed(node, "this router does not run"))?;
        let addr = shared.members.control_addr(node);
        let addr = addr.ok_or_else(|| failed(node, "the VM list does not contain it"))?;
        Ok((shared, addr))
    }
}

fn failed(node: &NodeId, detail: impl Into<String>) -> PeerError {
    PeerError {
        node: node.clone(),
        detail: detail.into(),
    }
}

#[async_trait]
impl Peers for NodeHandle {
    fn live(&self) -> Vec<NodeId> {
        let Some(shared) = self.shared() else {
            return Vec::new();
        };
        let mut nodes = shared.members.live_nodes();
        nodes.retain(|node| *node != shared.settings.node);
        nodes
    }

    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let hello = shared.hello();
        let answer = shared.pool.call(addr, |client, context| async move {
            client.hello(context, hello).await
        });
        let answer = answer.await.map_err(|detail| failed(node, detail))?;
        Ok(answer.config_version)
    }

    async fn offer(&self, node: &NodeId, update: ConfigUpdate) -> Result<ConfigAck, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.offer_config(context, update).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }

    async fn newer(
        &self,
        node: &NodeId,
        than: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError> {
        let (shared, addr) = self.peer(node)?;
        let answer = shared.pool.call(addr, |client, context| async move {
            client.newer_config(context, than).await
        });
        answer.await.map_err(|detail| failed(node, detail))
    }
}

fn object(json: &str) -> Option<Map<String, Value>> {
    serde_json::from_str(json).ok()
}

#[async_trait]
impl ClusterState for NodeHandle {
    async fn nodes(&self) -> Vec<Map<String, Value>> {
        let others = futures::stream::iter(self.live())
            .map(|node| async move {
                let state = self.state_of(&node).await;
                let mut state = match state.as_deref().map(object) {
                    Ok(Some(state)) => state,
                    Ok(None) => Map::from_iter([("error".to_owned(), "not readable".into())]),
                    Err(e) => Map::from_iter([("error".to_owned(), e.to_string().into())]),
                };
                state.insert("name".to_owned(), node.to_string().into());
                state
            })
            .buffered(ASKED_AT_ONCE);
        let mut states: Vec<_> = others.collect().await;
        if let Some(mut own) = self.node_state().as_deref().and_then(object) {
            let name = own.get("node").cloned().unwrap_or_default();
            own.insert("name".to_owned(), name);
            states.push(own);
        }
        states
    }

    async fn explain(&self, request_id: &RequestId) -> Option<Map<String, Value>> {
        let wrap = |record: String| {
            let attempts: Value = serde_json::from_str(&record).ok()?;
            let id = request_id.to_string().into();
            let fields = [
                ("request_id".to_owned(), id),
                ("attempts".to_owned(), attempts),
            ];
            Some(Map::from_iter(fields))
        };
        if let Some(record) = NodeHandle::explain(self, request_id) {
            return wrap(record);
        }
        let routers = self.shared()?.members.routers();
        let mut answers = futures::stream::iter(routers)
            .map(|node| async move { self.explain_at(&node, request_id.clone()).await })
            .buffer_unordered(ASKED_AT_ONCE);
        while let Some(answer) = answers.next().await {
            if let Ok(Some(record)) = answer {
                return wrap(record);
            }
        }
        None
    }

    /// Answers from the placements that this router has kept, each upstream once.
    async fn prefix(&self, hash: BlockHash) -> Vec<Map<String, Value>> {
        let Some(shared) = self.shared() else {
            return Vec::new();
        };
        let mut rows: Vec<Map<String, Value>> = Vec::new();
        for placed in shared.records.with_block(hash) {
            for candidate in placed.decision.candidates {
                let known = rows
                    .iter()
                    .any(|row| row["upstream"] == candidate.upstream.as_str());
                if known || !(candidate.home || candidate.warm_depth > 0) {
                    continue;
                }
                let fields = [
                    ("upstream", candidate.upstream.to_string().into()),
                    ("home", candidate.home.into()),
                    ("warm_depth", candidate.warm_depth.into()),
                    ("placed_at_ms", placed.at.0.into()),
                ];
                let fields = fields.map(|(key, value): (&str, Value)| (key.to_owned(), value));
                rows.push(Map::from_iter(fields));
            }
        }
        rows
    }
}

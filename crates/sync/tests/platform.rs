//! A node against the stand-ins of the platform, over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::SystemClock;
use dw_config::Change;
use dw_config::CommitError;
use dw_config::ConfigSource;
use dw_config::Edit;
use dw_standin::ephemeral_addr;
use dw_standin::start_objects;
use dw_standin::start_table;
use dw_standin::MemoryTable;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::NodeBudget;
use dw_sync::ConfigNode;
use dw_sync::PeerError;
use dw_sync::Peers;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use serde_json::json;

/// A deployment of one node.
struct NoPeers;

fn nobody(node: &NodeId) -> PeerError {
    PeerError {
        node: node.clone(),
        detail: "there are no peers".to_owned(),
    }
}

#[async_trait]
impl Peers for NoPeers {
    fn live(&self) -> Vec<NodeId> {
        Vec::new()
    }

    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError> {
        Err(nobody(node))
    }

    async fn offer(&self, node: &NodeId, _: ConfigUpdate) -> Result<ConfigAck, PeerError> {
        Err(nobody(node))
    }

    async fn newer(
        &self,
        node: &NodeId,
        _: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError> {
        Err(nobody(node))
    }
}

fn endpoint(addr: SocketAddr) -> Endpoint {
    Endpoint {
        addr,
        deadline: DurationMs(60_000),
        budget: Arc::new(NodeBudget::new(10_000.0, 10_000.0)),
    }
}

fn node(table: SocketAddr, objects: SocketAddr) -> ConfigNode {
    ConfigNode::builder()
        .id("r1".parse().expect("a name"))
        .table(Arc::new(HttpTable::new(endpoint(table))))
        .objects(Arc::new(HttpObjects::new(endpoint(objects))))
        .peers(Arc::new(NoPeers))
        .clock(Arc::new(SystemClock::new()))
        .seed(1)
        .build()
}

fn change(id: &str, weights: u64) -> Change {
    change_of("m", id, weights)
}

fn change_of(name: &str, id: &str, weights: u64) -> Change {
    let model = json!({"object": "model", "name": name, "weights": weights});
    Change {
        id: id.parse().expect("an id"),
        operator: "ngozi".parse().expect("a name"),
        text: format!("load model {name} weights {weights}"),
        edits: vec![Edit::Put(serde_json::from_value(model).expect("an object"))],
    }
}

/// Guards against a commit that fits the table in memory of the other tests only, and against a
/// restart that finds another configuration than the one committed.
#[tokio::test]
async fn changes_survive_lost_answers_outages_and_a_restart() {
    let memory = Arc::new(MemoryTable::default());
    let table = start_table(ephemeral_addr(), Arc::clone(&memory))
        .await
        .expect("a port is free");
    let objects = start_objects(ephemeral_addr(), Arc::default())
        .await
        .expect("a port is free");
    let first = node(table.addr(), objects.addr());
    assert!(first.start().await);
    for weights in 1..=64 {
        memory.set_faults(PlatformFaults {
            lose_answers: u64::from(weights % 3 == 0),
            ..PlatformFaults::default()
        });
        let id = format!("c-{weights}");
        let base = ConfigVersion(weights - 1);
        let report = first
            .commit(change(&id, weights), base)
            .await
            .expect("accepted");
        assert_eq!(report.version, ConfigVersion(weights));
    }
    memory.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let refused = first.commit(change("c-65", 65), ConfigVersion(64)).await;
    assert!(
        matches!(refused, Err(CommitError::Unavailable(_))),
        "{refused:?}"
    );
    let without_table = node(table.addr(), objects.addr());
    assert!(!without_table.start().await);
    assert_eq!(*without_table.current(), *first.current());
    memory.set_faults(PlatformFaults::default());
    let restarted = node(table.addr(), objects.addr());
    assert!(restarted.start().await);
    assert_eq!(*restarted.current(), *first.current());
    assert_eq!(
        restarted
            .history(100)
            .await
            .expect("the log is readable")
            .len(),
        64
    );
}

/// Guards against nodes that keep changes which a restored table has lost, and skip those that were
/// committed under the same versions since.
#[tokio::test]
async fn restored_table_leaves_nodes_with_lost_changes() {
    let memory = Arc::new(MemoryTable::default());
    let table = start_table(ephemeral_addr(), Arc::clone(&memory))
        .await
        .expect("a port is free");
    let objects = start_objects(ephemeral_addr(), Arc::default())
        .await
        .expect("a port is free");
    let follower = node(table.addr(), objects.addr());
    assert!(follower.start().await);
    let first = node(table.addr(), objects.addr());
    assert!(first.start().await);
    let commit = async |node: &ConfigNode, name: &str, id: &str, base| {
        let change = change_of(name, id, base + 1);
        let committed = node.commit(change, ConfigVersion(base)).await;
        committed.expect("accepted");
    };
    commit(&first, "kept", "c-1", 0).await;
    let copy = memory.copy();
    commit(&first, "lost", "c-2", 1).await;
    commit(&first, "lost", "c-3", 2).await;
    follower.poll().await;
    assert_eq!(*follower.current(), *first.current());
    memory.restore(copy);
    let restarted = node(table.addr(), objects.addr());
    assert!(restarted.start().await);
    commit(&restarted, "new", "c-4", 1).await;
    commit(&restarted, "new", "c-5", 2).await;
    commit(&restarted, "kept", "c-6", 3).await;
    follower.poll().await;
    assert_eq!(*follower.current(), *restarted.current());
}

//! Many nodes in one process, around a table and an object store in memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::table::Conflict;
use dw_api::table::Item;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_api::table::TxnRequest;
use dw_api::table::TxnResponse;
use dw_base::seeded_rng;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::NodeId;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_config::Change;
use dw_config::Edit;
use dw_store::Objects;
use dw_store::StoreError;
use dw_store::Table;
use dw_sync::ConfigNode;
use dw_sync::PeerError;
use dw_sync::Peers;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use rand::RngExt;
use tokio::time::sleep;
use tokio::time::Instant;

/// What goes wrong at the stores.
#[derive(Default)]
pub(crate) struct Faults {
    pub(crate) table_down: bool,
    pub(crate) objects_down: bool,
    /// Share of transactions whose answer is lost.
    pub(crate) lost: f64,
    /// Whether the table goes down after the next lost answer.
    pub(crate) down_after_loss: bool,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    version: u64,
    objects: BTreeMap<String, Bytes>,
}

/// The table and the object store.
pub(crate) struct Stores {
    pub(crate) faults: Mutex<Faults>,
    data: Mutex<Data>,
    rng: Mutex<Rng>,
}

impl Stores {
    fn down(&self) -> Result<(), StoreError> {
        if self.faults.lock().unwrap().table_down {
            let detail = "outage".to_owned();
            return Err(StoreError::Unavailable {
                service: "table",
                detail,
            });
        }
        Ok(())
    }

    fn roll(&self, chance: f64) -> bool {
        self.rng.lock().unwrap().random_bool(chance)
    }

    async fn delay(&self) {
        let ms = self.rng.lock().unwrap().random_range(1..20);
        sleep(Duration::from_millis(ms)).await;
    }

    fn apply(&self, request: &TxnRequest) -> TxnResponse {
        let mut data = self.data.lock().unwrap();
        let version_of = |key| data.items.get(key).map_or(0, |item: &Item| item.version);
        let conflicts: Vec<Conflict> = request
            .checks
            .iter()
            .filter(|check| version_of(&check.key) != check.version)
            .map(|check| Conflict {
                key: check.key.clone(),
                version: version_of(&check.key),
            })
            .collect();
        let committed = conflicts.is_empty();
        if committed {
            data.version += 1;
            let version = data.version;
            for write in &request.writes {
                let key = write.key.clone();
                let value = write.value.clone().expect("the log deletes nothing");
                let item = Item {
                    key: key.clone(),
                    value,
                    version,
                };
                data.items.insert(key, item);
            }
        }
        TxnResponse {
            committed,
            conflicts,
            version: data.version,
        }
    }

    pub(crate) fn item(&self, key: &str) -> Option<serde_json::Value> {
        let data = self.data.lock().unwrap();
        data.items.get(key).map(|item| item.value.clone())
    }

    /// Writes a value as another program would.
    pub(crate) fn put(&self, key: &str, value: serde_json::Value) {
        let write = dw_api::table::Write {
            key: key.to_owned(),
            value: Some(value),
        };
        self.apply(&TxnRequest {
            checks: Vec::new(),
            writes: vec![write],
        });
    }

    pub(crate) fn head(&self) -> u64 {
        self.item("config/head")
            .and_then(|v| v.as_u64())
            .unwrap_or(0)
    }

    pub(crate) fn snapshots(&self) -> Vec<String> {
        self.data.lock().unwrap().objects.keys().cloned().collect()
    }

    /// Returns the version that a change id has in the log.
    pub(crate) fn version_of_change(&self, id: &str) -> Option<u64> {
        self.item(&format!("config/change-id/{id}"))
            .and_then(|v| v.as_u64())
    }
}

/// The stores as the nodes see them.
pub(crate) struct StoreClient(pub(crate) Arc<Stores>);

#[async_trait]
impl Table for StoreClient {
    async fn transact(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        let stores = &self.0;
        stores.delay().await;
        stores.down()?;
        let lost = stores.faults.lock().unwrap().lost;
        if !stores.roll(lost) {
            let answer = stores.apply(request);
            stores.delay().await;
            return Ok(answer);
        }
        // Of the lost answers, some writes take effect at once, some late and some never.
        match stores.rng.lock().unwrap().random_range(0..3) {
            0 => drop(stores.apply(request)),
            1 => {
                let (stores, request) = (Arc::clone(stores), request.clone());
                tokio::spawn(async move {
                    sleep(Duration::from_millis(300)).await;
                    stores.apply(&request);
                });
            }
            _ => {}
        }
        let mut faults = stores.faults.lock().unwrap();
        faults.table_down |= faults.down_after_loss;
        Err(StoreError::UnknownOutcome {
            service: "table",
            detail: "lost".to_owned(),
        })
    }

    async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, StoreError> {
        self.0.delay().await;
        self.0.down()?;
        let data = self.0.data.lock().unwrap();
        let items = request
            .keys
            .iter()
            .filter_map(|key| data.items.get(key).cloned());
        Ok(ReadResponse {
            items: items.collect(),
        })
    }
}

#[async_trait]
impl Objects for StoreClient {
    async fn create(&self, key: &str, value: Bytes) -> Result<bool, StoreError> {
        if self.0.faults.lock().unwrap().objects_down {
            let detail = "outage".to_owned();
            return Err(StoreError::Unavailable {
                service: "objects",
                detail,
            });
        }
        let mut data = self.0.data.lock().unwrap();
        let absent = !data.objects.contains_key(key);
        data.objects.entry(key.to_owned()).or_insert(value);
        Ok(absent)
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        Ok(self.0.data.lock().unwrap().objects.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let keys = self.snapshot_keys();
        Ok(keys
            .into_iter()
            .filter(|key| key.starts_with(prefix))
            .collect())
    }
}

impl StoreClient {
    fn snapshot_keys(&self) -> Vec<String> {
        self.0.snapshots()
    }
}

/// Table client of a node that may be cut off.
struct NodeTable {
    node: NodeId,
    world: Arc<World>,
}

#[async_trait]
impl Table for NodeTable {
    async fn transact(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        self.world.reach_store(&self.node)?;
        StoreClient(Arc::clone(&self.world.stores))
            .transact(request)
            .await
    }

    async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, StoreError> {
        self.world.reach_store(&self.node)?;
        StoreClient(Arc::clone(&self.world.stores))
            .read(request)
            .await
    }
}

/// All nodes and stores.
pub(crate) struct World {
    pub(crate) stores: Arc<Stores>,
    nodes: Mutex<BTreeMap<NodeId, Arc<ConfigNode>>>,
    cut: Mutex<BTreeSet<NodeId>>,
}

struct Net {
    node: NodeId,
    world: Arc<World>,
}

impl Net {
    async fn reach(&self, to: &NodeId) -> Result<Arc<ConfigNode>, PeerError> {
        sleep(Duration::from_millis(2)).await;
        let cut = self.world.cut.lock().unwrap();
        let found = self.world.nodes.lock().unwrap().get(to).cloned();
        found
            .filter(|_| !cut.contains(to) && !cut.contains(&self.node))
            .ok_or(PeerError {
                node: to.clone(),
                detail: "cut off".to_owned(),
            })
    }
}

#[async_trait]
impl Peers for Net {
    fn live(&self) -> Vec<NodeId> {
        let nodes = self.world.nodes.lock().unwrap();
        nodes
            .keys()
            .filter(|id| **id != self.node)
            .cloned()
            .collect()
    }

    async fn version(&self, node: &NodeId) -> Result<ConfigVersion, PeerError> {
        Ok(self.reach(node).await?.announced_version())
    }

    async fn offer(&self, node: &NodeId, update: ConfigUpdate) -> Result<ConfigAck, PeerError> {
        Ok(self.reach(node).await?.accept(&update))
    }

    async fn newer(
        &self,
        node: &NodeId,
        than: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, PeerError> {
        Ok(self.reach(node).await?.newer(than))
    }
}

/// A clock that follows the time of the test's executor.
struct ExecutorClock(Instant);

impl Clock for ExecutorClock {
    fn now(&self) -> TimeMs {
        TimeMs(self.0.elapsed().as_millis() as u64)
    }
}

impl World {
    pub(crate) fn new(seed: u64) -> Arc<Self> {
        Arc::new(World {
            stores: Arc::new(Stores {
                faults: Mutex::default(),
                data: Mutex::default(),
                rng: Mutex::new(seeded_rng(seed)),
            }),
            nodes: Mutex::default(),
            cut: Mutex::default(),
        })
    }

    fn reach_store(&self, node: &NodeId) -> Result<(), StoreError> {
        if self.cut.lock().unwrap().contains(node) {
            let detail = "cut off".to_owned();
            return Err(StoreError::Unavailable {
                service: "table",
                detail,
            });
        }
        Ok(())
    }

    /// Starts or restarts a node; its poll loop ends when the node is replaced.
    pub(crate) async fn start(self: &Arc<Self>, name: &str, seed: u64) -> Arc<ConfigNode> {
        let id: NodeId = name.parse().unwrap();
        let node = Arc::new(
            ConfigNode::builder()
                .id(id.clone())
                .table(Arc::new(NodeTable {
                    node: id.clone(),
                    world: Arc::clone(self),
                }))
                .objects(Arc::new(StoreClient(Arc::clone(&self.stores))))
                .peers(Arc::new(Net {
                    node: id.clone(),
                    world: Arc::clone(self),
                }))
                .clock(Arc::new(ExecutorClock(Instant::now())))
                .seed(seed)
                .build(),
        );
        self.nodes.lock().unwrap().insert(id, Arc::clone(&node));
        node.start().await;
        let running = Arc::clone(&node);
        tokio::spawn(async move { running.run().await });
        node
    }

    pub(crate) fn remove(&self, name: &str) {
        self.nodes
            .lock()
            .unwrap()
            .remove(&name.parse::<NodeId>().unwrap());
    }

    pub(crate) fn cut(&self, name: &str, cut: bool) {
        let id: NodeId = name.parse().unwrap();
        let mut all = self.cut.lock().unwrap();
        if cut {
            all.insert(id);
        } else {
            all.remove(&id);
        }
    }

    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.stores.faults.lock().unwrap());
    }
}

/// A change that writes the weights version of a model.
pub(crate) fn change(id: &str, model: &str, weights: u64) -> Change {
    let json = serde_json::json!({"object": "model", "name": model, "weights": weights});
    Change {
        id: id.parse().unwrap(),
        operator: "ngozi".parse().unwrap(),
        text: format!("load model {model} weights {weights}"),
        edits: vec![Edit::Put(serde_json::from_value(json).unwrap())],
    }
}

/// Makes `count` changes that depend on nothing.
pub(crate) async fn make_changes(node: &ConfigNode, prefix: &str, count: u64) {
    for n in 0..count {
        let base = ConfigVersion(u64::MAX);
        node.commit(change(&format!("{prefix}-{n}"), "arches", n), base)
            .await
            .unwrap();
    }
}

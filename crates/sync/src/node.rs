//! The part of a node that keeps its configuration current.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bon::bon;
use bytes::Bytes;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_base::seeded_rng;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::Rng;
use dw_config::decode_changes;
use dw_config::decode_snapshot;
use dw_config::encode_snapshot;
use dw_config::read_changes;
use dw_config::snapshot_key;
use dw_config::snapshot_version;
use dw_config::whole;
use dw_config::CommittedChange;
use dw_config::Config;
use dw_config::ConfigSource;
use dw_config::Isolation;
use dw_config::HEAD_KEY;
use dw_config::MAX_DELTA_CHANGES;
use dw_config::SNAPSHOT_INTERVAL;
use dw_config::SNAPSHOT_PREFIX;
use dw_store::Objects;
use dw_store::StoreError;
use dw_store::Table;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use futures::stream;
use futures::StreamExt;
use rand::seq::SliceRandom;
use rand::RngExt;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cell::Cell;
use crate::error::SyncError;
use crate::peers::Peers;

/// Mean time between two polls of the head; 1,120 nodes then cause 280 reads/s.
const POLL_INTERVAL_MS: u64 = 4_000;

/// Greatest deviation from the poll interval, so that nodes started together do not poll together.
const POLL_JITTER_MS: u64 = 1_000;

/// Time after which a silent peer counts as not reached.
pub(crate) const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a silent table or object store counts as not reached.
pub(crate) const STORE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Peers that are asked at each poll while the table cannot be reached.
const PEERS_PER_POLL: usize = 3;

/// Most peers that are called at the same time.
pub(crate) const PARALLEL_CALLS: usize = 64;

/// Keeps the configuration of a node current.
pub struct ConfigNode {
    pub(crate) id: NodeId,
    pub(crate) table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) cell: Cell,
    contact: Mutex<Contact>,
    rng: Mutex<Rng>,
    hint: Mutex<Option<NodeId>>,
    pub(crate) wake: Notify,
    due_snapshot: Mutex<Option<Arc<Config>>>,
}

#[derive(Debug)]
struct Contact {
    isolation: Isolation,
    /// Whether the table or an established peer has answered since the process started.
    established: bool,
}

pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[bon]
impl ConfigNode {
    /// Creates a node without a configuration; call [`ConfigNode::start`] next.
    #[builder]
    pub fn new(
        id: NodeId,
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        peers: Arc<dyn Peers>,
        clock: Arc<dyn Clock>,
        seed: u64,
    ) -> Self {
        let isolation = Isolation::new(clock.now());
        ConfigNode {
            id,
            table,
            objects,
            peers,
            clock,
            cell: Cell::new(),
            contact: Mutex::new(Contact {
                isolation,
                established: false,
            }),
            rng: Mutex::new(seeded_rng(seed)),
            hint: Mutex::new(None),
            wake: Notify::new(),
            due_snapshot: Mutex::new(None),
        }
    }
}

impl ConfigNode {
    /// Gets the first configuration, from the table or, if it is down, from the newest of the peers
    /// and the snapshot. Returns whether the node may serve; if not, [`ConfigNode::run`] goes on.
    pub async fn start(&self) -> bool {
        if let Err(error) = self.poll_table().await {
            log::warn!(event = "config-start-without-table", error:% = error; "table not reached");
            self.start_without_table().await;
        }
        self.is_current()
    }

    /// Polls until the future is dropped.
    pub async fn run(&self) {
        loop {
            let pause = self.poll_pause();
            tokio::select! {
                () = sleep(pause) => self.poll().await,
                () = self.wake.notified() => self.follow_hint().await,
            }
        }
    }

    /// Looks for a newer configuration once, in the table or, if it is down, at some peers.
    pub async fn poll(&self) {
        if let Err(error) = self.poll_table().await {
            log::warn!(event = "config-poll-failed", error:% = error; "asking peers instead");
            if self.is_established() {
                self.poll_peers().await;
            } else {
                self.start_without_table().await;
            }
        }
        self.put_due_snapshot().await;
    }

    /// Returns the version to announce to peers; it is zero until the node knows that its version
    /// is not older than it was before a restart, so that two nodes that have just restarted do not
    /// take each other for current.
    pub fn announced_version(&self) -> ConfigVersion {
        if self.is_established() {
            return self.cell.current().version;
        }
        ConfigVersion(0)
    }

    /// Returns whether the node may serve: it has got a configuration and is not isolated.
    pub fn is_current(&self) -> bool {
        let contact = locked(&self.contact);
        contact.established && !contact.isolation.is_isolated(self.clock.now())
    }

    /// Notes the version that a peer announced in a `Status` or `hello`.
    pub fn observe(&self, node: &NodeId, version: ConfigVersion) {
        if version == ConfigVersion(0) {
            return;
        }
        self.note_contact();
        if version > self.cell.current().version {
            *locked(&self.hint) = Some(node.clone());
            self.wake.notify_one();
        }
    }

    /// Accepts an offered configuration if it is newer, and confirms what is in force.
    pub fn accept(&self, update: &ConfigUpdate) -> ConfigAck {
        if let Err(error) = self.cell.apply_update(update) {
            log::warn!(event = "config-offer-not-applied", error:% = error; "reading the table");
            self.wake.notify_one();
        }
        self.note_contact();
        ConfigAck {
            node: self.id.clone(),
            in_force: self.cell.current().version,
        }
    }

    /// Returns the configuration if it is newer than `than`.
    pub fn newer(&self, than: ConfigVersion) -> Option<ConfigUpdate> {
        if !self.is_established() {
            return None;
        }
        self.cell.newer(than).unwrap_or_else(|error| {
            log::error!(event = "config-not-encoded", error:% = error; "no update is offered");
            None
        })
    }

    /// Returns the newest `limit` changes in the table, the newest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be read or holds something else.
    pub async fn history(&self, limit: u64) -> Result<Vec<CommittedChange>, SyncError> {
        let head = self.read_head().await?;
        let mut after = ConfigVersion(head.0.saturating_sub(limit));
        let mut changes = Vec::new();
        while after < head {
            let answer = self.read(&read_changes(after, head)).await?;
            let part = decode_changes(&answer)?;
            after = match part.last() {
                Some(last) => last.version,
                None => return Err(SyncError::MissingChange(after)),
            };
            changes.extend(part);
        }
        changes.reverse();
        Ok(changes)
    }

    fn is_established(&self) -> bool {
        locked(&self.contact).established
    }

    fn note_contact(&self) {
        locked(&self.contact).isolation.contact(self.clock.now());
    }

    fn establish(&self) {
        locked(&self.contact).established = true;
        self.note_contact();
    }

    fn poll_pause(&self) -> Duration {
        let range = POLL_INTERVAL_MS - POLL_JITTER_MS..=POLL_INTERVAL_MS + POLL_JITTER_MS;
        DurationMs(locked(&self.rng).random_range(range)).into()
    }

    pub(crate) fn jitter(&self, max_ms: u64) -> Duration {
        DurationMs(locked(&self.rng).random_range(0..=max_ms)).into()
    }

    async fn follow_hint(&self) {
        let hint = locked(&self.hint).take();
        let fetched = match &hint {
            Some(node) => self.fetch_from(node).await,
            None => false,
        };
        if !fetched {
            self.poll().await;
        }
    }

    pub(crate) async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, SyncError> {
        match timeout(STORE_TIMEOUT, self.table.read(request)).await {
            Ok(answer) => Ok(answer?),
            Err(_) => Err(silent("table")),
        }
    }

    pub(crate) async fn poll_table(&self) -> Result<(), SyncError> {
        let mut head = self.read_head().await?;
        let current = self.cell.current().version;
        if head.0.saturating_sub(current.0) > MAX_DELTA_CHANGES {
            self.load_snapshot_or_log().await;
        }
        while self.cell.current().version < head {
            let before = self.cell.current().version;
            let answer = self.read(&read_changes(before, head)).await?;
            self.cell.apply_changes(decode_changes(&answer)?)?;
            if self.cell.current().version == before {
                return Err(SyncError::MissingChange(before));
            }
            head = head.max(self.cell.current().version);
        }
        self.establish();
        Ok(())
    }

    async fn read_head(&self) -> Result<ConfigVersion, SyncError> {
        let request = ReadRequest {
            after: None,
            keys: vec![HEAD_KEY.to_owned()],
            limit: None,
            prefix: None,
        };
        let answer = self.read(&request).await?;
        let Some(item) = answer.items.first() else {
            return Ok(ConfigVersion(0));
        };
        let version = item.value.as_u64().ok_or(SyncError::BadHead)?;
        Ok(ConfigVersion(version))
    }

    /// Asks `node` for a newer configuration; returns whether there was one.
    async fn fetch_from(&self, node: &NodeId) -> bool {
        let than = self.cell.current().version;
        let Ok(Ok(Some(update))) = timeout(PEER_TIMEOUT, self.peers.newer(node, than)).await else {
            return false;
        };
        match self.cell.apply_update(&update) {
            Ok(()) => self.cell.current().version > than,
            Err(error) => {
                log::warn!(event = "config-from-peer-not-applied", peer:% = node, error:% = error;
                    "trying another source");
                false
            }
        }
    }

    async fn poll_peers(&self) {
        let mut nodes = self.peers.live();
        nodes.shuffle(&mut *locked(&self.rng));
        let rest = nodes.split_off(PEERS_PER_POLL.min(nodes.len()));
        let mut found = self.versions_of(nodes).await;
        // A few dead peers must not make the node count as isolated.
        if found.is_empty() {
            found = self.versions_of(rest).await;
        }
        for (version, node) in found {
            self.note_contact();
            if version > self.cell.current().version {
                self.fetch_from(&node).await;
            }
        }
    }

    /// Returns the versions that established nodes announce, the newest first.
    async fn versions_of(&self, nodes: Vec<NodeId>) -> Vec<(ConfigVersion, NodeId)> {
        let calls = nodes.into_iter().map(|node| async move {
            match timeout(PEER_TIMEOUT, self.peers.version(&node)).await {
                Ok(Ok(version)) if version > ConfigVersion(0) => Some((version, node)),
                _ => None,
            }
        });
        let mut found: Vec<_> = stream::iter(calls)
            .buffer_unordered(PARALLEL_CALLS)
            .filter_map(|found| async move { found })
            .collect()
            .await;
        found.sort();
        found.reverse();
        found
    }

    async fn start_without_table(&self) {
        self.load_snapshot_or_log().await;
        let found = self.versions_of(self.peers.live()).await;
        let Some(newest) = found.first().map(|(version, _)| *version) else {
            return;
        };
        for (_, node) in &found {
            if self.cell.current().version >= newest {
                break;
            }
            self.fetch_from(node).await;
        }
        // An older version than a peer's must not be served.
        if self.cell.current().version >= newest {
            self.establish();
        }
    }

    async fn load_snapshot_or_log(&self) {
        if let Err(error) = self.load_snapshot().await {
            log::warn!(event = "config-snapshot-not-read", error:% = error; "going on without it");
        }
    }

    async fn load_snapshot(&self) -> Result<(), SyncError> {
        let listed = timeout(STORE_TIMEOUT, self.objects.list(SNAPSHOT_PREFIX)).await;
        let keys = listed.map_err(|_| silent("object store"))??;
        let newest = keys
            .last()
            .and_then(|key| Some((key, snapshot_version(key)?)));
        let current = self.cell.current().version;
        // A snapshot is about 1 MB, too much to read again at every poll.
        let Some((key, _)) = newest.filter(|(_, version)| *version > current) else {
            return Ok(());
        };
        let got = timeout(STORE_TIMEOUT, self.objects.get(key)).await;
        let Some(bytes) = got.map_err(|_| silent("object store"))?? else {
            return Ok(());
        };
        let config = decode_snapshot(&bytes)?;
        Ok(self.cell.apply_update(&whole(&config)?)?)
    }

    /// Notes that a snapshot is due if this node made a version that asks for one. The snapshot may
    /// be of a later version, if other changes have been applied in the meantime.
    pub(crate) fn note_snapshot(&self, version: ConfigVersion) {
        let current = self.cell.current();
        if current.version >= version && version.0.is_multiple_of(SNAPSHOT_INTERVAL) {
            *locked(&self.due_snapshot) = Some(current);
        }
    }

    /// Puts the due snapshot into the object store; it stays due if that fails.
    pub(crate) async fn put_due_snapshot(&self) {
        let due = locked(&self.due_snapshot).clone();
        let Some(config) = due else {
            return;
        };
        match self.put_snapshot(&config).await {
            Ok(()) => *locked(&self.due_snapshot) = None,
            Err(error) => {
                log::warn!(event = "config-snapshot-not-put", error:% = error; "trying again later");
            }
        }
    }

    async fn put_snapshot(&self, config: &Config) -> Result<(), SyncError> {
        let value = Bytes::from(encode_snapshot(config)?);
        let key = snapshot_key(config.version);
        let put = timeout(STORE_TIMEOUT, self.objects.create(&key, value)).await;
        put.map_err(|_| silent("object store"))??;
        Ok(())
    }
}

impl ConfigSource for ConfigNode {
    fn current(&self) -> Arc<Config> {
        self.cell.current()
    }

    fn changes(&self) -> watch::Receiver<Arc<Config>> {
        self.cell.subscribe()
    }
}

fn silent(service: &'static str) -> SyncError {
    SyncError::Store(StoreError::Unavailable {
        service,
        detail: "no answer in time".to_owned(),
    })
}

//! Commit of a change and its propagation to all live nodes.

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_config::Change;
use dw_config::Commit;
use dw_config::CommitAction;
use dw_config::CommitError;
use dw_config::CommitEvent;
use dw_config::Committed;
use dw_config::Confirmation;
use dw_config::InForce;
use dw_store::StoreError;
use futures::stream;
use futures::StreamExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::error::SyncError;
use crate::node::ConfigNode;
use crate::node::PARALLEL_CALLS;
use crate::node::PEER_TIMEOUT;
use crate::node::STORE_TIMEOUT;

/// Time within which a commit must be settled.
const COMMIT_TIMEOUT_MS: DurationMs = DurationMs(10_000);

/// Longest pause before the table is asked again for an open outcome.
const RETRY_PAUSE_MS: u64 = 500;

/// Longest pause between two rounds of offers to nodes that have not confirmed.
const OFFER_PAUSE_MS: u64 = 250;

/// What became of an accepted change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitReport {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Live nodes that have not confirmed the version in time.
    pub unconfirmed: Vec<NodeId>,
}

impl ConfigNode {
    /// Commits a change that is based on version `base`, and waits until all live nodes have
    /// confirmed it or the time for that has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was refused, the table is down or the outcome is unknown.
    pub async fn commit(
        &self,
        change: Change,
        base: ConfigVersion,
    ) -> Result<CommitReport, CommitError> {
        let committed = self.write_change(change, base).await?;
        let version = committed.version;
        let started = self.clock.now();
        if let Err(error) = self.cell.apply_changes(committed.changes) {
            log::warn!(event = "config-own-change-not-applied", error:% = error; "reading the table");
        }
        self.note_snapshot(version);
        let mut in_force = InForce::new(version, started);
        let unconfirmed = self.propagate(&mut in_force, version).await;
        self.put_due_snapshot().await;
        Ok(CommitReport {
            version,
            unconfirmed,
        })
    }

    async fn write_change(
        &self,
        change: Change,
        base: ConfigVersion,
    ) -> Result<Committed, CommitError> {
        let now = self.clock.now();
        let deadline = now + COMMIT_TIMEOUT_MS;
        let config = self.cell.current().as_ref().clone();
        let (mut commit, mut action) = Commit::start(change, base, config, now);
        loop {
            let event = match action {
                CommitAction::Done(result) => return result,
                _ if self.clock.now() >= deadline => CommitEvent::Deadline,
                action => self.carry_out(action).await,
            };
            action = commit.step(event);
        }
    }

    async fn carry_out(&self, action: CommitAction) -> CommitEvent {
        match action {
            CommitAction::Read(request) => read_event(self.read(&request).await),
            CommitAction::ReadLater(request) => {
                sleep(self.jitter(RETRY_PAUSE_MS)).await;
                read_event(self.read(&request).await)
            }
            CommitAction::Transact(request) => {
                match timeout(STORE_TIMEOUT, self.table.transact(&request)).await {
                    Ok(Ok(answer)) => CommitEvent::Answer(answer),
                    Ok(Err(StoreError::UnknownOutcome { .. })) | Err(_) => {
                        CommitEvent::UnknownOutcome
                    }
                    Ok(Err(error)) => CommitEvent::Unavailable(error.to_string()),
                }
            }
            CommitAction::Done(_) => CommitEvent::Deadline,
        }
    }

    /// Offers `version` until all live nodes have confirmed; returns those that have not in time.
    async fn propagate(&self, in_force: &mut InForce, version: ConfigVersion) -> Vec<NodeId> {
        loop {
            self.catch_up_with(version).await;
            let own = self.cell.current().version;
            in_force.confirm(self.id.clone(), own);
            let mut live = self.peers.live();
            live.push(self.id.clone());
            let asked = in_force.missing(&live);
            self.offer_to(in_force, asked).await;
            match in_force.state(&live, self.clock.now()) {
                Confirmation::Everywhere => return Vec::new(),
                Confirmation::TimedOut(missing) => return missing,
                Confirmation::Waiting(_) => sleep(self.jitter(OFFER_PAUSE_MS)).await,
            }
        }
    }

    async fn catch_up_with(&self, version: ConfigVersion) {
        if self.cell.current().version >= version {
            return;
        }
        if let Err(error) = self.poll_table().await {
            log::warn!(event = "config-own-change-not-read", error:% = error; "trying again");
        }
    }

    async fn offer_to(&self, in_force: &mut InForce, nodes: Vec<NodeId>) {
        let others = nodes.into_iter().filter(|node| *node != self.id);
        let calls: Vec<_> = others
            .map(|node| {
                let known = in_force.confirmed(&node);
                async move {
                    self.offer(&node, known)
                        .await
                        .map(|version| (node, version))
                }
            })
            .collect();
        let confirmed: Vec<_> = stream::iter(calls)
            .buffer_unordered(PARALLEL_CALLS)
            .collect()
            .await;
        for (node, version) in confirmed.into_iter().flatten() {
            in_force.confirm(node, version);
        }
    }

    /// Offers what a node lacks that has confirmed `known`; the newest change if that is unknown.
    async fn offer(&self, node: &NodeId, known: Option<ConfigVersion>) -> Option<ConfigVersion> {
        let newest = self.cell.current().version;
        let known = known.unwrap_or(ConfigVersion(newest.0.saturating_sub(1)));
        let update = self.newer(known)?;
        match timeout(PEER_TIMEOUT, self.peers.offer(node, update)).await {
            Ok(Ok(ack)) => Some(ack.in_force),
            _ => None,
        }
    }
}

fn read_event(result: Result<dw_api::table::ReadResponse, SyncError>) -> CommitEvent {
    match result {
        Ok(answer) => CommitEvent::Read(answer),
        Err(error) => CommitEvent::Unavailable(error.to_string()),
    }
}

//! The configuration in force at a node, which only grows.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dw_base::ConfigVersion;
use dw_config::delta;
use dw_config::whole;
use dw_config::Advanced;
use dw_config::CommittedChange;
use dw_config::Config;
use dw_config::UpdateError;
use dw_config::MAX_DELTA_CHANGES;
use dw_wire::ConfigUpdate;
use tokio::sync::watch;

/// The configuration in force and the changes that led to it.
#[derive(Debug)]
pub(crate) struct Cell {
    sender: watch::Sender<Arc<Config>>,
    recent: Mutex<VecDeque<CommittedChange>>,
}

impl Cell {
    pub(crate) fn new() -> Self {
        Cell {
            sender: watch::Sender::new(Arc::new(Config::default())),
            recent: Mutex::new(VecDeque::new()),
        }
    }

    pub(crate) fn current(&self) -> Arc<Config> {
        Arc::clone(&self.sender.borrow())
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Config>> {
        self.sender.subscribe()
    }

    pub(crate) fn apply_update(&self, update: &ConfigUpdate) -> Result<(), UpdateError> {
        let recent = self.lock();
        let advanced = self.current().advance_by(update)?;
        self.install(recent, advanced);
        Ok(())
    }

    pub(crate) fn apply_changes(&self, changes: Vec<CommittedChange>) -> Result<(), UpdateError> {
        let recent = self.lock();
        let advanced = self.current().advance(changes)?;
        self.install(recent, advanced);
        Ok(())
    }

    /// Returns what a node with version `than` lacks: a delta, or the whole if it lags too far.
    pub(crate) fn newer(&self, than: ConfigVersion) -> Result<Option<ConfigUpdate>, UpdateError> {
        let recent = self.lock();
        let current = self.current();
        if than >= current.version {
            return Ok(None);
        }
        let missing: Vec<CommittedChange> = recent
            .iter()
            .filter(|change| change.version > than)
            .cloned()
            .collect();
        if missing.len() as u64 == current.version.0 - than.0 {
            return delta(&missing);
        }
        whole(&current).map(Some)
    }

    /// The lock over `recent` also orders the writers of the configuration.
    fn lock(&self) -> MutexGuard<'_, VecDeque<CommittedChange>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn install(
        &self,
        mut recent: MutexGuard<'_, VecDeque<CommittedChange>>,
        advanced: Option<Advanced>,
    ) {
        let Some(advanced) = advanced else {
            return;
        };
        if advanced.changes.is_empty() {
            recent.clear();
        }
        recent.extend(advanced.changes);
        while recent.len() as u64 > MAX_DELTA_CHANGES {
            recent.pop_front();
        }
        self.sender.send_replace(Arc::new(advanced.config));
    }
}

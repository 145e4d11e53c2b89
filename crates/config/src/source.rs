//! Access to the configuration in force at a node.

use std::sync::Arc;

use tokio::sync::watch;

use crate::view::Config;

/// Source of the configuration in force at a node.
pub trait ConfigSource: Send + Sync {
    /// Returns the configuration in force.
    fn current(&self) -> Arc<Config>;

    /// Returns a receiver that is notified of each newer configuration.
    fn changes(&self) -> watch::Receiver<Arc<Config>>;
}

/// A configuration that changes only when it is told to.
#[derive(Debug)]
pub struct FixedConfig {
    sender: watch::Sender<Arc<Config>>,
}

impl FixedConfig {
    /// Creates a source of `config`.
    pub fn new(config: Config) -> Self {
        FixedConfig {
            sender: watch::Sender::new(Arc::new(config)),
        }
    }

    /// Replaces the configuration.
    pub fn set(&self, config: Config) {
        self.sender.send_replace(Arc::new(config));
    }
}

impl ConfigSource for FixedConfig {
    fn current(&self) -> Arc<Config> {
        Arc::clone(&self.sender.borrow())
    }

    fn changes(&self) -> watch::Receiver<Arc<Config>> {
        self.sender.subscribe()
    }
}

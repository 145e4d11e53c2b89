//! Where a node finds its current configuration.

use std::sync::Arc;

use crate::view::Config;

/// Function that is called with each new configuration.
pub type Listener = Box<dyn Fn(&Arc<Config>) + Send + Sync>;

/// Gives access to the current configuration of a node.
pub trait ConfigSource: Send + Sync {
    /// Returns the configuration that is in force.
    fn current(&self) -> Arc<Config>;

    /// Calls `listener` after each change of the configuration.
    fn subscribe(&self, listener: Listener);
}

/// A configuration that never changes.
#[derive(Debug)]
pub struct FixedConfig {
    config: Arc<Config>,
}

impl FixedConfig {
    /// Creates a source of `config`.
    pub fn new(config: Config) -> Self {
        FixedConfig {
            config: Arc::new(config),
        }
    }
}

impl ConfigSource for FixedConfig {
    fn current(&self) -> Arc<Config> {
        Arc::clone(&self.config)
    }

    fn subscribe(&self, _listener: Listener) {}
}

//! Metrics registry.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Metric;
use prometheus_client::registry::Registry;

/// A shared registry whose metrics all have the prefix `dandelionwall`.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl Metrics {
    /// Content type of [`Metrics::render`].
    pub const CONTENT_TYPE: &'static str =
        "application/openmetrics-text; version=1.0.0; charset=utf-8";

    /// Creates an empty registry.
    pub fn new() -> Self {
        Metrics {
            registry: Arc::new(Mutex::new(Registry::with_prefix("dandelionwall"))),
        }
    }

    /// Registers a metric and returns a handle to it. `name` is given without the prefix
    /// `dandelionwall` and without the suffix `_total`.
    pub fn add<M: Clone + Metric>(&self, name: &str, help: &str, metric: M) -> M {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, metric.clone());
        metric
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail, only the encoder of a metric can. The metrics encoded
        // before it are still returned.
        let _ = encode(&mut text, &registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

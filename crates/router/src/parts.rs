//! What a router is made of.

use std::sync::Arc;

use bon::Builder;
use dw_admin::StatementHandler;
use dw_base::Clock;
use dw_base::SystemClock;
use dw_config::ConfigSource;
use dw_place::Policy;
use dw_store::VmSource;
use dw_telem::Metrics;

use crate::control::ControlDelegate;
use crate::control::NoDelegate;
use crate::filter::limit::Limiter;
use crate::handle::NodeHandle;
use crate::settings::Settings;

/// What a router is made of.
#[derive(Builder)]
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Current configuration.
    pub config: Arc<dyn ConfigSource>,
    /// List of VMs.
    pub vms: Arc<dyn VmSource>,
    /// Placement policy.
    pub policy: Box<dyn Policy>,
    /// Limits of organisations; those of the configuration, shared by loans, if absent.
    pub limiter: Option<Arc<dyn Limiter>>,
    /// Answers configuration calls.
    #[builder(default = Arc::new(NoDelegate))]
    pub delegate: Arc<dyn ControlDelegate>,
    /// Executes statements; absent to refuse them.
    pub statements: Option<Arc<dyn StatementHandler>>,
    /// Handle that is filled at the start.
    #[builder(default)]
    pub handle: Arc<NodeHandle>,
    /// Source of time.
    #[builder(default = Arc::new(SystemClock::new()))]
    pub clock: Arc<dyn Clock>,
    /// Registry of metrics.
    #[builder(default)]
    pub metrics: Metrics,
    /// Seed of the generators for placement and backoff.
    #[builder(default = rand::random())]
    pub seed: u64,
}

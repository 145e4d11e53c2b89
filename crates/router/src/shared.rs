//! State that all tasks of a router share.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::Incarnation;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_config::ConfigSource;
use dw_place::Observation;
use dw_place::Policy;
use dw_store::VmSource;
use dw_telem::Metrics;
use dw_wire::Hello;
use dw_wire::Status;
use tokio_util::task::TaskTracker;

use crate::agents::Agents;
use crate::control::ControlDelegate;
use crate::error::CallerError;
use crate::explain::Records;
use crate::filter::limit::Limiter;
use crate::measures::Measures;
use crate::members::Fresh;
use crate::members::Members;
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::retry::Retries;
use crate::settings::Settings;
use crate::tokens::Tokens;

/// A policy with its generator.
pub(crate) struct Placer {
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) rng: Rng,
}

/// State that all tasks of a router share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) config: Arc<dyn ConfigSource>,
    pub(crate) vms: Arc<dyn VmSource>,
    pub(crate) placer: Mutex<Placer>,
    pub(crate) limiter: Arc<dyn Limiter>,
    pub(crate) retries: Mutex<Retries>,
    pub(crate) quarantine: Quarantine,
    pub(crate) delegate: Arc<dyn ControlDelegate>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Metrics,
    pub(crate) measures: Measures,
    /// Configuration that was last measured, and when it was first seen.
    pub(crate) config_seen: Mutex<(ConfigVersion, TimeMs)>,
    pub(crate) tokens: Tokens,
    pub(crate) members: Members,
    pub(crate) records: Records,
    pub(crate) agents: Agents,
    pub(crate) pool: Pool,
    pub(crate) work: TaskTracker,
    pub(crate) draining: AtomicBool,
}

impl Shared {
    pub(crate) fn placer(&self) -> MutexGuard<'_, Placer> {
        self.placer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn retries(&self) -> MutexGuard<'_, Retries> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the policy how many routers share the traffic.
    pub(crate) fn count_routers(&self) {
        let mut routers = self.members.routers();
        if !routers.contains(&self.settings.node) {
            routers.push(self.settings.node.clone());
        }
        let routers = u32::try_from(routers.len()).unwrap_or(u32::MAX);
        self.placer().policy.set_routers(routers);
    }

    pub(crate) fn observe(&self, observation: &Observation) {
        let now = self.clock.now();
        self.placer().policy.observe(observation, now);
    }

    /// Passes a report on to membership and, unless it is old, to the policy.
    pub(crate) fn report(
        &self,
        upstream: &UpstreamId,
        status: &Status,
        chain: Option<&dw_base::Chain>,
    ) {
        if status.upstream != *upstream {
            return;
        }
        let fresh = self.members.report(upstream, status, self.clock.now());
        if fresh == Fresh::Old {
            return;
        }
        if fresh == Fresh::Restarted {
            self.observe(&Observation::CacheLost {
                upstream: upstream.clone(),
            });
        }
        self.observe(&Observation::Report {
            upstream: upstream.clone(),
            queue_wait_ms: status.queue_wait_ms,
            running: status.running,
            queued: status.queued,
            prefill_tokens_per_s: status.prefill_tokens_per_s,
            warm: chain.map(|chain| (chain.clone(), status.warm_depth)),
        });
        if !status.recent.is_empty() {
            self.observe(&Observation::Cached {
                upstream: upstream.clone(),
                blocks: status.recent.clone(),
            });
        }
    }

    /// Returns all metrics as text.
    pub(crate) fn metrics_text(&self) -> String {
        self.see_config();
        self.metrics.render()
    }

    /// Measures the version and the age of the configuration.
    pub(crate) fn see_config(&self) {
        let (version, now) = (self.config.current().version, self.clock.now());
        let seen = self.config_seen.lock();
        let mut seen = seen.unwrap_or_else(PoisonError::into_inner);
        if seen.0 != version {
            *seen = (version, now);
        }
        let age_s = now.since(seen.1).0 / 1_000;
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.measures.config_version.set(gauge(version.0));
        self.measures.config_age_s.set(gauge(age_s));
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns whether new requests are taken.
    pub(crate) fn is_ready(&self) -> bool {
        self.not_ready().is_none()
    }

    /// Returns why no new requests are taken.
    pub(crate) fn not_ready(&self) -> Option<CallerError> {
        let (kind, message) = if self.is_draining() {
            ("draining", "this router is leaving")
        } else if self.delegate.isolated() {
            ("isolated", "this router cannot confirm its configuration")
        } else if self.config.current().entries.is_empty() {
            ("unavailable", "this router has no configuration yet")
        } else {
            return None;
        };
        Some(CallerError::unavailable(kind, message))
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            node: self.settings.node.clone(),
            incarnation: self.incarnation,
            config_version: self
                .delegate
                .announced_version()
                .unwrap_or_else(|| self.config.current().version),
            leaving: self.is_draining(),
            status: None,
        }
    }

    /// Returns the state of the node as JSON.
    pub(crate) fn node_state(&self) -> String {
        let agents: Vec<_> = self
            .members
            .summary(self.clock.now())
            .into_iter()
            .map(|(upstream, node, usable)| {
                serde_json::json!({"upstream": upstream, "node": node, "usable": usable})
            })
            .collect();
        serde_json::json!({
            "node": self.settings.node,
            "role": "router",
            "incarnation": self.incarnation,
            "config_version": self.config.current().version,
            "draining": self.is_draining(),
            "ready": self.is_ready(),
            "policy": self.placer().policy.name(),
            "routers": self.members.routers(),
            "agents": agents,
        })
        .to_string()
    }

    /// Returns the placement record of a recent request as JSON.
    pub(crate) fn explain(&self, request_id: &dw_base::RequestId) -> Option<String> {
        let placed = self.records.of(request_id);
        if placed.is_empty() {
            return None;
        }
        serde_json::to_string(&placed).ok()
    }
}

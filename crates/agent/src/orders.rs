//! Brings the upstream into the state that the configuration wants.

use std::sync::Arc;
use std::time::Duration;

use dw_api::engine::EngineRole;
use dw_api::engine::EngineState;
use dw_api::engine::Order as EngineOrder;
use dw_api::engine::OrderRequest;
use dw_api::table::Check;
use dw_api::table::Item;
use dw_api::table::ReadRequest;
use dw_api::table::TxnRequest;
use dw_api::table::Write;
use dw_base::FenceNumber;
use dw_base::Incarnation;
use dw_base::WeightsVersion;
use dw_config::Config;
use dw_config::Object;
use dw_config::ObjectKind;
use dw_config::Setting;
use dw_config::Upstream;
use dw_config::UpstreamKind;
use dw_config::UpstreamState;
use dw_order::claim;
use dw_order::decide;
use dw_order::Claim;
use dw_order::Desired;
use dw_order::HeldLease;
use dw_order::Lease;
use dw_order::LeaseTable;
use dw_order::Observed;
use dw_order::Order;
use dw_order::Step;
use dw_order::View;
use dw_order::LEASE_MS;
use dw_wire::RefusalReason;
use serde_json::json;
use serde_json::Value;
use tokio::sync::watch;

use crate::client::UpstreamError;
use crate::shared::lock;
use crate::shared::Shared;

/// Time between two looks at the engine; it bounds how late a crash is noticed without traffic.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Time between two looks while the engine changes.
const LOOK_SOON: Duration = Duration::from_millis(20);

/// Pause after the table failed.
const TABLE_RETRY: Duration = Duration::from_secs(1);

/// Longest time that one call of the engine is waited for.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Concurrent weight loads if the configuration does not say.
const DEFAULT_WEIGHT_LOADS: u64 = 2;

/// Sender of orders to one upstream.
pub(crate) struct Orders {
    shared: Arc<Shared>,
    changes: watch::Receiver<Arc<Config>>,
    fence: Option<FenceNumber>,
    seen_fence: u64,
    lease: Option<HeldLease>,
    superseded: bool,
}

impl Orders {
    /// Creates a sender that looks at once after a change of the configuration.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Orders {
            changes: shared.config.changes(),
            shared,
            fence: None,
            seen_fence: 0,
            lease: None,
            superseded: false,
        }
    }

    /// Runs for ever.
    pub(crate) async fn run(mut self) {
        loop {
            let pause = self.look().await;
            let changed = tokio::time::timeout(pause, self.changes.changed()).await;
            if let Ok(Err(_)) = changed {
                // The source is gone, so nothing will wake the loop earlier.
                tokio::time::sleep(pause).await;
            }
        }
    }

    async fn look(&mut self) -> Duration {
        let config = self.shared.config();
        if self.superseded {
            self.set_ready(false);
            return LOOK_EVERY;
        }
        let Some(declared) = self.shared.declared(&config) else {
            self.set_ready(false);
            return LOOK_EVERY;
        };
        if declared.kind == UpstreamKind::Plain {
            self.set_ready(true);
            if self.fence.is_none() && !self.raise_fence().await {
                return TABLE_RETRY;
            }
            return LOOK_EVERY;
        }
        let state = tokio::time::timeout(CALL_TIMEOUT, self.shared.engine.state()).await;
        let state = state.ok().and_then(Result::ok);
        if let Some(state) = &state {
            self.seen_fence = state.fence;
            let weights = WeightsVersion(state.weights_version);
            self.shared.observe(Incarnation(state.incarnation), weights);
        }
        let view = View {
            desired: desired(&config, declared),
            observed: state.as_ref().map(observed),
            fence: self.fence,
            lease: self.lease,
            running: self.shared.queue.begun(),
        };
        let loading = view.observed.as_ref().is_none_or(|state| state.loading);
        self.carry_out(&config, loading, decide(&view, self.shared.clock.now()))
            .await
    }

    async fn carry_out(&mut self, config: &Config, loading: bool, step: Step) -> Duration {
        match step {
            Step::Wait => {
                self.set_ready(false);
                LOOK_SOON
            }
            Step::Serve => {
                self.set_ready(true);
                // The number is raised at the start, so that it is there when an order is due.
                if self.fence.is_none() && !self.raise_fence().await {
                    return TABLE_RETRY;
                }
                LOOK_EVERY
            }
            Step::RaiseFence => {
                self.set_ready(true);
                if self.raise_fence().await {
                    LOOK_SOON
                } else {
                    TABLE_RETRY
                }
            }
            Step::TakeLease => {
                self.set_ready(!loading);
                let taken = self.take_lease(config).await;
                // All leases may be held, which is normal in a rolling change.
                if taken {
                    LOOK_SOON
                } else {
                    LOOK_EVERY
                }
            }
            Step::GiveBackLease(held) => {
                self.give_back(held).await;
                LOOK_SOON
            }
            Step::Drain => {
                self.set_ready(false);
                self.shared.queue.refuse_waiting(RefusalReason::NotReady);
                LOOK_SOON
            }
            Step::Send {
                fence,
                order: order @ Order::LoadAdapter(_),
            } => {
                self.set_ready(true);
                self.send(fence, order).await;
                LOOK_SOON
            }
            Step::Send { fence, order } => {
                self.set_ready(false);
                // A request that got its slot before readiness went off must finish first.
                if self.shared.queue.begun() == 0 {
                    self.send(fence, order).await;
                }
                LOOK_SOON
            }
        }
    }

    fn set_ready(&self, ready: bool) {
        let mut view = lock(&self.shared.upstream);
        if view.ready != ready {
            log::info!("event=readiness ready={ready} weights={}", view.weights);
        }
        view.ready = ready;
        view.lease = self.lease;
    }

    /// Raises the fencing number and registers the incarnation; returns whether both are written.
    async fn raise_fence(&mut self) -> bool {
        let shared = &self.shared;
        let fence_key = format!("fence/{}", shared.settings.upstream);
        let agent_key = format!("agent/{}", shared.settings.node);
        let keys = vec![fence_key.clone(), agent_key.clone()];
        let Some(items) = self.read(keys).await else {
            return false;
        };
        let find = |key: &str| items.iter().find(|item| item.key == key);
        let stored = find(&fence_key);
        let stored_fence = stored.and_then(|item| serde_json::from_value(item.value.clone()).ok());
        let (node, seen) = (&shared.settings.node, FenceNumber(self.seen_fence));
        let claimed = claim(stored_fence.as_ref(), node, shared.incarnation, seen);
        let fence = match claimed {
            Claim::Own(number) => {
                self.fence = Some(number);
                return true;
            }
            Claim::Raise(fence) => fence,
            Claim::Superseded => {
                log::error!("event=superseded node={node}");
                self.superseded = true;
                return false;
            }
        };
        let next = fence.fence;
        let Ok(fence) = serde_json::to_value(&fence) else {
            return false;
        };
        let agent = json!({ "incarnation": shared.incarnation });
        let version = |key: &str| find(key).map_or(0, |item| item.version);
        let writes = vec![
            (fence_key.clone(), version(&fence_key), Some(fence)),
            (agent_key.clone(), version(&agent_key), Some(agent)),
        ];
        if self.write(writes).await.is_none() {
            return false;
        }
        log::info!("event=fence_raised fence={next}");
        self.fence = Some(next);
        true
    }

    async fn take_lease(&mut self, config: &Config) -> bool {
        let slots = weight_loads(config);
        let keys: Vec<String> = (0..slots).map(lease_key).collect();
        let Some(items) = self.read(keys).await else {
            return false;
        };
        let leases = (0..slots)
            .map(|slot| {
                let item = items.iter().find(|item| item.key == lease_key(slot))?;
                let lease = serde_json::from_value(item.value.clone()).ok()?;
                Some((lease, item.version))
            })
            .collect();
        let written = self.shared.clock.now();
        let slots = LeaseTable { leases };
        let Some(choice) = slots.choose(&self.shared.settings.node, written) else {
            self.lease = None;
            return false;
        };
        let lease = Lease {
            holder: self.shared.settings.node.clone(),
            incarnation: self.shared.incarnation,
            until: written + LEASE_MS,
        };
        let Ok(value) = serde_json::to_value(&lease) else {
            return false;
        };
        let write = vec![(lease_key(choice.slot), choice.expected, Some(value))];
        let version = self.write(write).await;
        self.lease = version.map(|version| HeldLease {
            slot: choice.slot,
            version,
            written,
        });
        self.lease.is_some()
    }

    async fn give_back(&mut self, held: HeldLease) {
        // If the write fails, the lease ends by itself.
        self.write(vec![(lease_key(held.slot), held.version, None)])
            .await;
        self.lease = None;
    }

    async fn send(&mut self, fence: FenceNumber, order: Order) {
        let order = match order {
            Order::Load(desired) => EngineOrder::LoadWeights {
                model: desired.model.to_string(),
                weights_version: desired.weights.0,
            },
            Order::LoadAdapter(adapter) => EngineOrder::LoadAdapter {
                adapter: adapter.to_string(),
            },
            Order::Serve => EngineOrder::SetRole {
                role: EngineRole::Serve,
            },
            Order::Standby => EngineOrder::SetRole {
                role: EngineRole::Standby,
            },
        };
        let request = OrderRequest {
            fence: fence.0,
            order,
        };
        log::info!("event=order_sent fence={fence} order={:?}", request.order);
        let sent = tokio::time::timeout(CALL_TIMEOUT, self.shared.engine.order(&request)).await;
        match sent {
            Ok(Err(UpstreamError::Rejected { kind, .. })) if kind == "stale_fence" => {
                self.fence = None;
            }
            Ok(Err(error)) => log::warn!("event=order_failed error={:?}", error.to_string()),
            // The state is read again in any case, so a lost answer needs no handling.
            Ok(Ok(_)) | Err(_) => {}
        }
    }

    async fn read(&self, keys: Vec<String>) -> Option<Vec<Item>> {
        let request = ReadRequest {
            after: None,
            keys,
            limit: None,
            prefix: None,
        };
        match self.shared.table.read(&request).await {
            Ok(answer) => Some(answer.items),
            Err(error) => {
                log::warn!("event=table_read_failed error={:?}", error.to_string());
                None
            }
        }
    }

    /// Writes keys that have the given versions; returns their new version.
    async fn write(&self, writes: Vec<(String, u64, Option<Value>)>) -> Option<u64> {
        let check = |(key, version, _): &(String, u64, Option<Value>)| Check {
            key: key.clone(),
            version: *version,
        };
        let request = TxnRequest {
            checks: writes.iter().map(check).collect(),
            writes: writes
                .into_iter()
                .map(|(key, _, value)| Write { key, value })
                .collect(),
        };
        match self.shared.table.transact(&request).await {
            Ok(answer) if answer.committed => Some(answer.version),
            Ok(_) => None,
            Err(error) => {
                log::warn!("event=table_write_failed error={:?}", error.to_string());
                None
            }
        }
    }
}

fn lease_key(slot: u64) -> String {
    format!("lease/weights/{slot}")
}

fn weight_loads(config: &Config) -> u64 {
    match config.get(ObjectKind::Setting, Setting::WEIGHT_LOADS) {
        Some(Object::Setting(setting)) => setting.value,
        _ => DEFAULT_WEIGHT_LOADS,
    }
}

fn desired(config: &Config, declared: &Upstream) -> Option<Desired> {
    let model = config.model(declared.model.as_ref()?)?;
    Some(Desired {
        model: model.name.clone(),
        weights: model.weights,
        adapters: model.adapters.clone(),
        serving: declared.state == UpstreamState::Active,
    })
}

fn observed(state: &EngineState) -> Observed {
    Observed {
        model: state.model.clone(),
        weights: WeightsVersion(state.weights_version),
        loading: state.loading,
        serving: state.role == EngineRole::Serve,
        adapters: state.adapters.clone(),
    }
}

//! Decision on the next step for one engine.

use dw_base::AdapterId;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;

use crate::lease::HeldLease;

/// Desired state of the engine, from the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Desired {
    /// Model to serve.
    pub model: ModelId,
    /// Weights to serve.
    pub weights: WeightsVersion,
    /// Adapters to load.
    pub adapters: Vec<AdapterId>,
    /// Whether the engine is to have the serving role; a drained engine gets the standby role.
    pub serving: bool,
}

/// State that was read from the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observed {
    /// Loaded model, under the engine's name for it.
    pub model: String,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Whether the engine has the serving role.
    pub serving: bool,
    /// Loaded adapters, under the engine's names for them.
    pub adapters: Vec<String>,
}

/// Content of an order to the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load weights.
    Load(Desired),
    /// Load an adapter.
    LoadAdapter(AdapterId),
    /// Change to the serving role.
    Serve,
    /// Change to the standby role.
    Standby,
}

/// Inputs of [`decide`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Desired state; `None` if the configuration does not contain the engine's model.
    pub desired: Option<Desired>,
    /// State just read from the engine; `None` if it could not be read.
    pub observed: Option<Observed>,
    /// The agent's own fencing number, once it is in the table.
    pub fence: Option<FenceNumber>,
    /// Lease that the agent holds.
    pub lease: Option<HeldLease>,
    /// Number of requests running on the engine.
    pub running: u32,
}

/// Next step for the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Serve nothing and decide again later.
    Wait,
    /// Serve with the current state of the engine.
    Serve,
    /// Serve with the current state of the engine, and raise the fencing number in the table.
    RaiseFence,
    /// Acquire or renew a lease; serve with the current state of the engine unless it is loading.
    TakeLease,
    /// Release the lease and decide again.
    GiveBackLease(HeldLease),
    /// Accept no new requests and wait for the running ones.
    Drain,
    /// Send an order, then read the state of the engine again before serving.
    Send {
        /// Fencing number of the order.
        fence: FenceNumber,
        /// Order to send.
        order: Order,
    },
}

/// Returns the next step.
pub fn decide(view: &View, now: TimeMs) -> Step {
    let Some(observed) = &view.observed else {
        return Step::Wait;
    };
    if observed.loading {
        return match view.lease {
            Some(lease) if lease.due(now) => Step::TakeLease,
            _ => Step::Wait,
        };
    }
    let Some(order) = required_order(view.desired.as_ref(), observed) else {
        let steady_step = if observed.serving {
            Step::Serve
        } else {
            Step::Wait
        };
        return view.lease.map_or(steady_step, Step::GiveBackLease);
    };
    let Some(fence) = view.fence else {
        return Step::RaiseFence;
    };
    match (&order, view.lease) {
        (Order::Load(_), _) => {}
        // The load is complete, and another engine may be waiting for the lease.
        (_, Some(lease)) => return Step::GiveBackLease(lease),
        // Accepted requests are finished first. The configuration already keeps new ones away.
        (Order::Standby, None) if view.running > 0 => return Step::Serve,
        _ => return Step::Send { fence, order },
    }
    match view.lease {
        Some(_) if view.running > 0 => Step::Drain,
        Some(lease) if lease.confirmed(now) => Step::Send { fence, order },
        _ => Step::TakeLease,
    }
}

fn required_order(desired: Option<&Desired>, observed: &Observed) -> Option<Order> {
    let desired = desired?;
    if observed.model != desired.model.as_str() || observed.weights != desired.weights {
        return Some(Order::Load(desired.clone()));
    }
    let is_loaded = |adapter: &&AdapterId| observed.adapters.iter().any(|a| a == adapter.as_str());
    let missing = desired.adapters.iter().find(|adapter| !is_loaded(adapter));
    if let Some(adapter) = missing {
        return Some(Order::LoadAdapter(adapter.clone()));
    }
    match (desired.serving, observed.serving) {
        (true, false) => Some(Order::Serve),
        (false, true) => Some(Order::Standby),
        _ => None,
    }
}

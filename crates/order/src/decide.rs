//! The decision.

use dw_base::AdapterId;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;

use crate::lease::HeldLease;

/// What the configuration wants.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Desired {
    /// Model to serve.
    pub model: ModelId,
    /// Weights to serve.
    pub weights: WeightsVersion,
    /// Adapters to load.
    pub adapters: Vec<AdapterId>,
    /// Whether the role is to serve; a drained engine is put on standby.
    pub serving: bool,
}

/// What was read from the engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Observed {
    /// Loaded model as the engine names it.
    pub model: String,
    /// Loaded weights.
    pub weights: WeightsVersion,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Whether the role is to serve.
    pub serving: bool,
    /// Loaded adapters as the engine names them.
    pub adapters: Vec<String>,
}

/// What an order asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load weights.
    Load(Desired),
    /// Load an adapter.
    LoadAdapter(AdapterId),
    /// Take the serving role.
    Serve,
    /// Take the standby role.
    Standby,
}

/// Everything that the decision depends on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// What the configuration wants; absent if it does not name the engine's model.
    pub desired: Option<Desired>,
    /// What was read from the engine just now.
    pub observed: Option<Observed>,
    /// Own fencing number, once it is in the table.
    pub fence: Option<FenceNumber>,
    /// Lease that is held.
    pub lease: Option<HeldLease>,
    /// Requests that run on the engine.
    pub running: u32,
}

/// What the agent does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Serve nothing and ask again.
    Wait,
    /// Serve what the engine has.
    Serve,
    /// Serve what the engine has, and raise the fencing number in the table.
    RaiseFence,
    /// Write a lease, new or held; serve what the engine has unless it loads.
    TakeLease,
    /// Delete the held lease and ask again.
    GiveBackLease(HeldLease),
    /// Take no new work and wait for the running work.
    Drain,
    /// Send an order, then read the engine's state again before serving.
    Send {
        /// Fencing number of the order.
        fence: FenceNumber,
        /// The order.
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
    let Some(order) = needed(view.desired.as_ref(), observed) else {
        let idle = if observed.serving {
            Step::Serve
        } else {
            Step::Wait
        };
        return view.lease.map_or(idle, Step::GiveBackLease);
    };
    let Some(fence) = view.fence else {
        return Step::RaiseFence;
    };
    match (&order, view.lease) {
        (Order::Load(_), _) => {}
        // An earlier load is complete, and another engine waits for its lease.
        (_, Some(lease)) => return Step::GiveBackLease(lease),
        // Accepted work is finished; the configuration keeps new work away.
        (Order::Standby, None) if view.running > 0 => return Step::Serve,
        _ => return Step::Send { fence, order },
    }
    match view.lease {
        Some(_) if view.running > 0 => Step::Drain,
        Some(lease) if lease.confirmed(now) => Step::Send { fence, order },
        _ => Step::TakeLease,
    }
}

fn needed(desired: Option<&Desired>, observed: &Observed) -> Option<Order> {
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

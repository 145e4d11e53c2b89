//! Interface of placement policies.

use dw_base::Chain;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_base::UpstreamId;

use crate::decision::Decision;
use crate::observation::Observation;
use crate::target::Target;

/// Exact cost of a request that an agent reported when it refused the request because another
/// upstream is cheaper.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownCost {
    /// Upstream of the agent.
    pub upstream: UpstreamId,
    /// Number of leading blocks of the chain that are cached there.
    pub warm_depth: u32,
    /// Queue wait of the request there.
    pub wait_ms: DurationMs,
}

/// A request that needs an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceRequest {
    /// Chain of the prompt; absent for a call of a plain service.
    pub chain: Option<Chain>,
    /// Priority.
    pub priority: Priority,
    /// Remaining time until the deadline.
    pub budget_ms: DurationMs,
    /// Data centre of the router.
    pub data_centre: DataCentreId,
    /// Upstream that an agent suggested as a better home.
    pub hint: Option<UpstreamId>,
    /// Exact costs at the upstreams that refused this request because another is cheaper.
    pub known: Vec<KnownCost>,
    /// Upstreams that refused or failed this request.
    pub excluded: Vec<UpstreamId>,
}

impl PlaceRequest {
    /// Returns the exact cost at an upstream, if its agent has reported it.
    pub fn known(&self, upstream: &UpstreamId) -> Option<&KnownCost> {
        self.known.iter().find(|known| known.upstream == *upstream)
    }
}

/// Placement policy.
pub trait Policy: Send {
    /// Returns the name of the policy.
    fn name(&self) -> &'static str;

    /// Chooses one of `targets`; returns `None` if all are excluded.
    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        now: TimeMs,
        rng: &mut Rng,
    ) -> Option<Decision>;

    /// Updates the policy's state from an observation.
    fn observe(&mut self, observation: &Observation, now: TimeMs);

    /// Sets the number of routers that share the traffic.
    fn set_routers(&mut self, _routers: u32) {}
}

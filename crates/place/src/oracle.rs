//! Reference policy with exact fleet state, as an upper bound in benchmarks.

use dw_base::Chain;
use dw_base::DurationMs;
use dw_base::Priority;
use dw_base::Rng;
use dw_base::TimeMs;
use dw_base::Tokens;
use dw_base::TokensPerS;
use dw_base::UpstreamId;

use crate::decision::Decision;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Access to the exact state of all upstreams.
pub trait FleetView: Send {
    /// Returns the number of the chain's tokens that the upstream has cached.
    fn cached_tokens(&self, upstream: &UpstreamId, chain: &Chain) -> Tokens;
    /// Returns the queue wait of a new request.
    fn wait_ms(&self, upstream: &UpstreamId, priority: Priority) -> DurationMs;
    /// Returns the current prefill speed.
    fn prefill_tokens_per_s(&self, upstream: &UpstreamId) -> TokensPerS;
}

/// Chooses the target with the earliest first token.
pub struct Oracle {
    view: Box<dyn FleetView>,
}

impl Oracle {
    /// Creates the policy from a view of the fleet.
    pub fn new(view: Box<dyn FleetView>) -> Self {
        Oracle { view }
    }

    fn first_token_ms(&self, request: &PlaceRequest, upstream: &UpstreamId) -> f64 {
        let uncached = request.chain.as_ref().map_or(0, |chain| {
            let cached = self.view.cached_tokens(upstream, chain);
            chain.prompt_tokens.0.saturating_sub(cached.0)
        });
        let speed = self.view.prefill_tokens_per_s(upstream).get().max(1.0);
        let wait_ms = self.view.wait_ms(upstream, request.priority).0 as f64;
        wait_ms + uncached as f64 * 1_000.0 / speed
    }
}

impl Policy for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        _now: TimeMs,
        _rng: &mut Rng,
    ) -> Option<Decision> {
        let target = targets
            .iter()
            .filter(|target| !request.excluded.contains(&target.upstream))
            .min_by(|a, b| {
                let time = |t: &Target| self.first_token_ms(request, &t.upstream);
                time(a).total_cmp(&time(b))
            })?;
        Some(Decision {
            policy: self.name().to_owned(),
            upstream: target.upstream.clone(),
            candidates: Vec::new(),
            alternative: None,
            reason: "earliest first token by exact state".to_owned(),
        })
    }

    fn observe(&mut self, _observation: &Observation, _now: TimeMs) {}
}

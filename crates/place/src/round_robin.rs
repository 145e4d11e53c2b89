//! Baseline policy: round robin.

use dw_base::Rng;
use dw_base::TimeMs;

use crate::decision::Decision;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Chooses targets in round-robin order.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn name(&self) -> &'static str {
        "round-robin"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        _now: TimeMs,
        _rng: &mut Rng,
    ) -> Option<Decision> {
        let allowed: Vec<&Target> = targets
            .iter()
            .filter(|target| !request.excluded.contains(&target.upstream))
            .collect();
        let target = allowed.get(self.next.checked_rem(allowed.len())?)?;
        self.next = self.next.wrapping_add(1);
        Some(Decision {
            policy: self.name().to_owned(),
            upstream: target.upstream.clone(),
            candidates: Vec::new(),
            alternative: None,
            reason: "next in turn".to_owned(),
        })
    }

    fn observe(&mut self, _observation: &Observation, _now: TimeMs) {}
}

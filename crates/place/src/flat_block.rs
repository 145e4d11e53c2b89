//! Consistent hash of the first block, as a baseline.

use dw_base::rendezvous_score;
use dw_base::Rng;
use dw_base::TimeMs;

use crate::decision::Decision;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Consistent hash of the first block.
#[derive(Debug, Default)]
pub struct FlatBlock;

impl Policy for FlatBlock {
    fn name(&self) -> &'static str {
        "flat-block"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        _now: TimeMs,
        _rng: &mut Rng,
    ) -> Option<Decision> {
        let key = request.chain.as_ref().map_or(0, |chain| chain.shallow().0);
        let score = |target: &Target| {
            let weight = target.prefill_tokens_per_s.get();
            rendezvous_score(key, target.upstream.as_str(), weight)
        };
        let target = targets
            .iter()
            .filter(|target| !request.excluded.contains(&target.upstream))
            .max_by(|a, b| score(a).total_cmp(&score(b)))?;
        Some(Decision {
            policy: self.name().to_owned(),
            upstream: target.upstream.clone(),
            candidates: Vec::new(),
            alternative: None,
            reason: "hash of the first block".to_owned(),
        })
    }

    fn observe(&mut self, _observation: &Observation, _now: TimeMs) {}
}

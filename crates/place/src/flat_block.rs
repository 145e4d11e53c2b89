//! Baseline policy: consistent hashing of the first block.

use dw_base::Rng;
use dw_base::TimeMs;

use crate::decision::Decision;
use crate::homes::first_choice;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Places requests by consistent hashing of the first block.
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
        let key = request
            .chain
            .as_ref()
            .map_or(0, |chain| chain.first_hash().0);
        let target = first_choice(key, request, targets)?;
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

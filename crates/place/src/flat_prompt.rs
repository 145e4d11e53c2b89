//! Baseline policy: consistent hashing of the whole prompt.

use dw_base::Rng;
use dw_base::TimeMs;

use crate::decision::Decision;
use crate::homes::first_choice;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Places requests by consistent hashing of the whole prompt.
#[derive(Debug, Default)]
pub struct FlatPrompt;

impl Policy for FlatPrompt {
    fn name(&self) -> &'static str {
        "flat-prompt"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        _now: TimeMs,
        _rng: &mut Rng,
    ) -> Option<Decision> {
        let key = request.chain.as_ref().map_or(0, |chain| {
            let last = chain.blocks.last().copied().unwrap_or(chain.root);
            last.0 ^ u128::from(chain.prompt_tokens.0)
        });
        let target = first_choice(key, request, targets)?;
        Some(Decision {
            policy: self.name().to_owned(),
            upstream: target.upstream.clone(),
            candidates: Vec::new(),
            alternative: None,
            reason: "hash of the whole prompt".to_owned(),
        })
    }

    fn observe(&mut self, _observation: &Observation, _now: TimeMs) {}
}

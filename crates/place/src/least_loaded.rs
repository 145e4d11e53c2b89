//! Baseline policy: the least-loaded upstream.

use std::collections::HashMap;

use dw_base::Rng;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use rand::RngExt;

use crate::decision::Decision;
use crate::observation::Observation;
use crate::policy::PlaceRequest;
use crate::policy::Policy;
use crate::target::Target;

/// Chooses the target with the fewest requests relative to its prefill speed.
#[derive(Debug, Default)]
pub struct LeastLoaded {
    /// Running and queued requests at the last report, adjusted for requests sent and finished since.
    requests: HashMap<UpstreamId, u32>,
}

impl Policy for LeastLoaded {
    fn name(&self) -> &'static str {
        "least-loaded"
    }

    fn place(
        &mut self,
        request: &PlaceRequest,
        targets: &[Target],
        _now: TimeMs,
        rng: &mut Rng,
    ) -> Option<Decision> {
        let load = |target: &Target| {
            let requests = self.requests.get(&target.upstream).copied().unwrap_or(0);
            f64::from(requests) / target.prefill_tokens_per_s.get().max(1.0)
        };
        let start = rng.random_range(0..targets.len().max(1));
        let (before, after) = targets.split_at(start.min(targets.len()));
        let target = after
            .iter()
            .chain(before)
            .filter(|target| !request.excluded.contains(&target.upstream))
            .min_by(|a, b| load(a).total_cmp(&load(b)))?;
        let upstream = target.upstream.clone();
        *self.requests.entry(upstream.clone()).or_default() += 1;
        Some(Decision {
            policy: self.name().to_owned(),
            upstream,
            candidates: Vec::new(),
            alternative: None,
            reason: "fewest requests for its speed".to_owned(),
        })
    }

    fn observe(&mut self, observation: &Observation, _now: TimeMs) {
        match observation {
            Observation::Report {
                upstream,
                running,
                queued,
                ..
            } => {
                self.requests.insert(upstream.clone(), running + queued);
            }
            Observation::Finished { upstream } => {
                if let Some(requests) = self.requests.get_mut(upstream) {
                    *requests = requests.saturating_sub(1);
                }
            }
            _ => {}
        }
    }
}

//! Budgets of retries, one for each destination service.

use std::collections::HashMap;

use dw_base::seeded_rng;
use dw_base::Rng;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_retry::decide;
use dw_retry::Attempt;
use dw_retry::Backoff;
use dw_retry::Budget;
use dw_retry::Decision;

/// Budgets of retries, with the generator of backoff.
pub(crate) struct Retries {
    budgets: HashMap<ServiceId, Budget>,
    backoff: Backoff,
    rng: Rng,
}

impl Retries {
    pub(crate) fn new(seed: u64) -> Self {
        Retries {
            budgets: HashMap::new(),
            backoff: Backoff::default(),
            rng: seeded_rng(seed),
        }
    }

    /// Earns from an answered first attempt.
    pub(crate) fn answered(&mut self, service: &ServiceId) {
        self.budgets
            .entry(service.clone())
            .or_default()
            .record_answer();
    }

    /// Decides whether a failed attempt is made again.
    pub(crate) fn decide(
        &mut self,
        service: &ServiceId,
        attempt: &Attempt,
        now: TimeMs,
    ) -> Decision {
        let budget = self.budgets.entry(service.clone()).or_default();
        decide(attempt, budget, &self.backoff, now, &mut self.rng)
    }
}

//! Budget of retries.

use std::collections::HashMap;

use dw_base::ServiceId;

/// Retries earned by one answered first attempt (section 5.4 of the design).
const EARNED: f64 = 0.1;

/// Most retries saved up.
const MOST: f64 = 10.0;

/// Retries available before any answer.
const FIRST: f64 = 1.0;

/// Decides whether a destination service can bear another attempt.
pub trait RetryBudget: Send {
    /// Earns from an answered first attempt.
    fn answered(&mut self, service: &ServiceId);

    /// Spends one retry; returns false if none is left.
    fn spend(&mut self, service: &ServiceId) -> bool;
}

/// A token bucket for each service.
#[derive(Debug, Default)]
pub struct SimpleBudget {
    tokens: HashMap<ServiceId, f64>,
}

impl RetryBudget for SimpleBudget {
    fn answered(&mut self, service: &ServiceId) {
        let tokens = self.tokens.entry(service.clone()).or_insert(FIRST);
        *tokens = (*tokens + EARNED).min(MOST);
    }

    fn spend(&mut self, service: &ServiceId) -> bool {
        let tokens = self.tokens.entry(service.clone()).or_insert(FIRST);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}

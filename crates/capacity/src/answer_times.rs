//! Time for which answers hold their slots, as one router measures it.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ServiceId;

/// Assumed time of an answer while none was measured in its service.
const PRIOR_MS: f64 = 500.0;

/// Weight of the newest answer in the moving average of a service.
const SMOOTHING: f64 = 0.05;

/// Mean time from the first token of an answer to its end, by service.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    means_ms: HashMap<ServiceId, f64>,
}

impl AnswerTimes {
    /// Records how long an answer took from its first token to its end.
    pub fn record(&mut self, service: &ServiceId, took_ms: DurationMs) {
        let took_ms = took_ms.0 as f64;
        match self.means_ms.get_mut(service) {
            Some(mean_ms) => *mean_ms += SMOOTHING * (took_ms - *mean_ms),
            None => {
                self.means_ms.insert(service.clone(), took_ms);
            }
        }
    }

    /// Returns the mean time of the answers of a service.
    pub fn mean_ms(&self, service: &ServiceId) -> DurationMs {
        let mean_ms = self.means_ms.get(service).copied();
        DurationMs(mean_ms.unwrap_or(PRIOR_MS) as u64)
    }
}

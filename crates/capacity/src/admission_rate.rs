//! Part of admissions among the answers of the sidecars of a service.

use dw_base::TimeMs;

/// Time constant with which earlier answers count less in the chance of an admission.
const CHANCE_DECAY_MS: f64 = 1_000.0;

/// Admissions among the answers of sidecars, the latest most.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdmissionRate {
    granted: f64,
    all: f64,
    at: TimeMs,
}

impl AdmissionRate {
    /// Records an answer.
    pub(crate) fn record(&mut self, is_granted: bool, now: TimeMs) {
        let decay = (-(now.since(self.at).0 as f64) / CHANCE_DECAY_MS).exp();
        self.granted = self.granted * decay + f64::from(u8::from(is_granted));
        self.all = self.all * decay + 1.0;
        self.at = now;
    }

    /// Returns the expected chance of an admission; one answer of each kind is assumed before the first.
    pub(crate) fn chance(&self) -> f64 {
        (self.granted + 1.0) / (self.all + 2.0)
    }
}

//! Weights that operators have named, and those that upstreams were seen with.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_order::WeightsDeclarations;

/// Time from the naming of weights until answers on older ones are avoided.
const TOLERATED_MS: DurationMs = DurationMs(1_200);

/// Time before the limit from which an engine on older weights is not used: a request may wait
/// there before it begins.
const MARGIN_MS: DurationMs = DurationMs(700);

/// How an answer on given weights counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Age {
    /// As one on the newest.
    Current,
    /// Newer ones have been named for a while.
    Old,
    /// The engine must not be used before it has newer ones.
    TooOld,
}

/// Weights that operators have named, and those that upstreams were seen with.
#[derive(Debug)]
pub(crate) struct Weights {
    pub(crate) namings: WeightsDeclarations,
    seen: HashMap<UpstreamId, WeightsVersion>,
    limit_ms: DurationMs,
}

impl Weights {
    /// Creates the state for weights that must be in use `limit_ms` after their naming.
    pub(crate) fn new(limit_ms: DurationMs) -> Self {
        Weights {
            namings: WeightsDeclarations::default(),
            seen: HashMap::new(),
            limit_ms,
        }
    }

    /// Records the weights that an upstream answered with.
    pub(crate) fn saw(&mut self, upstream: &UpstreamId, weights: WeightsVersion) {
        if self.seen.get(upstream) != Some(&weights) {
            self.seen.insert(upstream.clone(), weights);
        }
    }

    /// Returns the weights that an upstream was last seen with.
    pub(crate) fn seen(&self, upstream: &UpstreamId) -> Option<WeightsVersion> {
        self.seen.get(upstream).copied()
    }

    /// Forgets upstreams for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.seen.retain(|id, _| keep(id));
    }

    /// Returns whether answers on weights are worth less by now, or nothing at all.
    pub(crate) fn age(&self, model: &ModelId, held: WeightsVersion, now: TimeMs) -> Age {
        match self.namings.behind_ms(model, held, now) {
            Some(behind) if behind + MARGIN_MS >= self.limit_ms => Age::TooOld,
            Some(behind) if behind >= TOLERATED_MS => Age::Old,
            _ => Age::Current,
        }
    }
}

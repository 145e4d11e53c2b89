//! Weights that operators have named, and those that upstreams were seen with.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_order::WeightsDeclarations;

/// Time from the naming of weights until answers on older ones are avoided.
const OUTDATED_AFTER_MS: DurationMs = DurationMs(1_200);

/// Time before the limit from which an engine on older weights is not used: a request may wait
/// there before it begins.
const EXPIRY_MARGIN_MS: DurationMs = DurationMs(700);

/// How an answer on given weights counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// As one on the newest.
    Current,
    /// Newer ones have been named for a while.
    Outdated,
    /// The engine must not be used before it has newer ones.
    Expired,
}

/// Weights that operators have named, and those that upstreams were seen with.
#[derive(Debug)]
pub(crate) struct Weights {
    pub(crate) declarations: WeightsDeclarations,
    observed: HashMap<UpstreamId, WeightsVersion>,
    limit_ms: DurationMs,
}

impl Weights {
    /// Creates the state for weights that must be in use `limit_ms` after their naming.
    pub(crate) fn new(limit_ms: DurationMs) -> Self {
        Weights {
            declarations: WeightsDeclarations::default(),
            observed: HashMap::new(),
            limit_ms,
        }
    }

    /// Records the weights that an upstream answered with.
    pub(crate) fn record_observed(&mut self, upstream: &UpstreamId, weights: WeightsVersion) {
        if self.observed.get(upstream) != Some(&weights) {
            self.observed.insert(upstream.clone(), weights);
        }
    }

    /// Returns the weights that an upstream was last seen with.
    pub(crate) fn observed(&self, upstream: &UpstreamId) -> Option<WeightsVersion> {
        self.observed.get(upstream).copied()
    }

    /// Forgets upstreams for which `keep` is false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.observed.retain(|id, _| keep(id));
    }

    /// Returns whether answers on weights are worth less by now, or nothing at all.
    pub(crate) fn freshness(
        &self,
        model: &ModelId,
        held: WeightsVersion,
        now: TimeMs,
    ) -> Freshness {
        match self.declarations.behind_ms(model, held, now) {
            Some(behind) if behind + EXPIRY_MARGIN_MS >= self.limit_ms => Freshness::Expired,
            Some(behind) if behind >= OUTDATED_AFTER_MS => Freshness::Outdated,
            _ => Freshness::Current,
        }
    }
}

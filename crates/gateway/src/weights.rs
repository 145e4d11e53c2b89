//! Published weights and the weights that upstreams reported in their answers.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_order::WeightsDeclarations;

/// Time after the publication of weights from which answers with older ones are avoided.
const OUTDATED_AFTER_MS: DurationMs = DurationMs(1_200);

/// Time before the limit from which an engine with older weights is not used: a request may wait
/// in its queue before it starts.
const EXPIRY_MARGIN_MS: DurationMs = DurationMs(700);

/// Freshness of an engine's weights compared with the published ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// The newest weights, or older ones shortly after a publication.
    Current,
    /// Newer weights were published some time ago; other engines are preferred.
    Outdated,
    /// The engine must not be used until it has newer weights.
    Expired,
}

/// Published weights and the weights that upstreams reported in their answers.
#[derive(Debug)]
pub(crate) struct Weights {
    pub(crate) declarations: WeightsDeclarations,
    /// By upstream and model: the versions of two models have nothing to do with each other.
    observed: HashMap<UpstreamId, HashMap<ModelId, WeightsVersion>>,
    limit_ms: DurationMs,
}

impl Weights {
    /// Creates the state for weights that must be in use `limit_ms` after their publication.
    pub(crate) fn new(limit_ms: DurationMs) -> Self {
        Weights {
            declarations: WeightsDeclarations::default(),
            observed: HashMap::new(),
            limit_ms,
        }
    }

    /// Records the weights of a model that an upstream reported in an answer.
    pub(crate) fn record_observed(
        &mut self,
        upstream: &UpstreamId,
        model: &ModelId,
        weights: WeightsVersion,
    ) {
        if self.observed(upstream, model) != Some(weights) {
            let observed = self.observed.entry(upstream.clone()).or_default();
            observed.insert(model.clone(), weights);
        }
    }

    /// Returns the weights of a model that the upstream reported in its latest answer on it.
    pub(crate) fn observed(
        &self,
        upstream: &UpstreamId,
        model: &ModelId,
    ) -> Option<WeightsVersion> {
        self.observed.get(upstream)?.get(model).copied()
    }

    /// Drops upstreams for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.observed.retain(|id, _| keep(id));
    }

    /// Returns how fresh weights are compared with the newest published ones.
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

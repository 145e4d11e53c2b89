//! Weights that operators have named, and those that upstreams were seen with.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_port::NamedWeights;
use dw_wire::WeightsNews;

/// Time from the naming of weights until answers on older ones are avoided.
const TOLERATED_MS: DurationMs = DurationMs(1_200);

#[derive(Clone, Debug)]
struct Named {
    news: NamedWeights,
    heard: TimeMs,
}

/// Weights that operators have named, and those that upstreams were seen with.
#[derive(Debug, Default)]
pub(crate) struct Weights {
    named: HashMap<ModelId, Named>,
    seen: HashMap<UpstreamId, WeightsVersion>,
}

impl Weights {
    /// Takes over named weights; returns whether they are news.
    pub(crate) fn name(&mut self, news: NamedWeights, heard: TimeMs) -> bool {
        let known = self.named.get(&news.model);
        if known.is_some_and(|known| known.news.weights >= news.weights) {
            return false;
        }
        self.named.insert(news.model.clone(), Named { news, heard });
        true
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

    /// Returns the newest weights of a model if answers on older ones are to be avoided by now.
    pub(crate) fn wanted(&self, model: &ModelId, now: TimeMs) -> Option<WeightsVersion> {
        let named = self.named.get(model)?;
        (now.since(named.heard) >= TOLERATED_MS).then_some(named.news.weights)
    }

    /// Returns all named weights for sidecars.
    pub(crate) fn news(&self, now: TimeMs) -> Vec<WeightsNews> {
        let news = self.named.values().map(|named| WeightsNews {
            model: named.news.model.clone(),
            weights: named.news.weights,
            fence: named.news.fence,
            age_ms: now.since(named.heard),
        });
        news.collect()
    }
}

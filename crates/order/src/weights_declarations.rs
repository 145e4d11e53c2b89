//! Published weights of all models, as known to one process.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_wire::WeightsUpdate;

use crate::history::History;

/// Maximum number of earlier versions of a model in an update for other processes.
const MAX_EARLIER_SENT: usize = 4;

#[derive(Clone, Debug, Default)]
struct ModelState {
    fence: FenceNumber,
    history: History,
}

/// The newest published weights of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewestWeights {
    /// Version of the weights.
    pub weights: WeightsVersion,
    /// Position of their publication, from which the fencing number of orders is selected.
    pub fence: FenceNumber,
}

/// Published weights of all models, from the table and from other processes.
#[derive(Clone, Debug, Default)]
pub struct WeightsDeclarations {
    models: HashMap<ModelId, ModelState>,
}

impl WeightsDeclarations {
    /// Records newly published weights; returns whether they are newer than all known ones.
    pub fn declare(&mut self, model: &ModelId, newest: NewestWeights, published: TimeMs) -> bool {
        let state = self.models.entry(model.clone()).or_default();
        let is_newer = state.history.newest().is_none_or(|w| w < newest.weights);
        state.history.record(newest.weights, published);
        state.fence = state.fence.max(newest.fence);
        is_newer
    }

    /// Applies an update from another process; returns whether its weights are newer than all known
    /// ones.
    pub fn update(&mut self, news: &WeightsUpdate, now: TimeMs) -> bool {
        let newest = NewestWeights {
            weights: news.weights,
            fence: news.fence,
        };
        let is_newer = self.declare(&news.model, newest, now - news.age_ms);
        for (weights, age_ms) in &news.earlier {
            self.restore(&news.model, *weights, now - *age_ms);
        }
        is_newer
    }

    /// Records an earlier version, or an earlier publication time of a known version.
    pub fn restore(&mut self, model: &ModelId, weights: WeightsVersion, published: TimeMs) {
        let state = self.models.entry(model.clone()).or_default();
        state.history.record(weights, published);
    }

    /// Returns the newest published weights of a model.
    pub fn newest(&self, model: &ModelId) -> Option<NewestWeights> {
        let state = self.models.get(model)?;
        Some(NewestWeights {
            weights: state.history.newest()?,
            fence: state.fence,
        })
    }

    /// Returns the fencing number of orders: the greatest one of all models.
    ///
    /// An engine compares the numbers of all its orders, whichever model they concern, so an order for weights
    /// that were published earlier must not carry a lower number than one for another model.
    pub fn fence(&self) -> FenceNumber {
        let fences = self.models.values().map(|state| state.fence);
        fences.max().unwrap_or_default()
    }

    /// Returns the time since the first publication of a version newer than `held`, if there is
    /// one.
    pub fn behind_ms(
        &self,
        model: &ModelId,
        held: WeightsVersion,
        now: TimeMs,
    ) -> Option<DurationMs> {
        self.models.get(model)?.history.behind_ms(held, now)
    }

    /// Returns the updates for other processes, one for each model.
    pub fn updates(&self, now: TimeMs) -> Vec<WeightsUpdate> {
        let news = self.models.iter().filter_map(|(model, state)| {
            let mut versions = state.history.newest_first();
            let (weights, published) = versions.next()?;
            let earlier = versions.take(MAX_EARLIER_SENT);
            Some(WeightsUpdate {
                model: model.clone(),
                weights,
                fence: state.fence,
                age_ms: now.since(published),
                earlier: earlier.map(|(w, at)| (w, now.since(at))).collect(),
            })
        });
        news.collect()
    }
}

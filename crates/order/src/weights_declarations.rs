//! Named weights of all models, as one process knows them.

use std::collections::HashMap;

use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::TimeMs;
use dw_base::WeightsVersion;
use dw_wire::WeightsUpdate;

use crate::history::History;

/// Earlier namings that are passed on to other processes.
const PASSED_ON: usize = 4;

#[derive(Clone, Debug, Default)]
struct Model {
    fence: FenceNumber,
    history: History,
}

/// The newest weights of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewestWeights {
    /// Weights.
    pub weights: WeightsVersion,
    /// Fencing number of orders for them.
    pub fence: FenceNumber,
}

/// Named weights of all models, from the table and from other processes.
#[derive(Clone, Debug, Default)]
pub struct WeightsDeclarations {
    models: HashMap<ModelId, Model>,
}

impl WeightsDeclarations {
    /// Takes over newly named weights; returns whether they are newer than all others.
    pub fn declare(&mut self, model: &ModelId, newest: NewestWeights, named: TimeMs) -> bool {
        let known = self.models.entry(model.clone()).or_default();
        let is_news = known.history.newest().is_none_or(|w| w < newest.weights);
        known.history.record(newest.weights, named);
        known.fence = known.fence.max(newest.fence);
        is_news
    }

    /// Takes over what another process tells; returns whether the weights are news.
    pub fn update(&mut self, news: &WeightsUpdate, now: TimeMs) -> bool {
        let newest = NewestWeights {
            weights: news.weights,
            fence: news.fence,
        };
        let is_news = self.declare(&news.model, newest, now - news.age_ms);
        for (weights, age_ms) in &news.earlier {
            self.restore(&news.model, *weights, now - *age_ms);
        }
        is_news
    }

    /// Takes over an earlier naming, or the true time of a known one.
    pub fn restore(&mut self, model: &ModelId, weights: WeightsVersion, named: TimeMs) {
        let known = self.models.entry(model.clone()).or_default();
        known.history.record(weights, named);
    }

    /// Returns the newest weights of a model.
    pub fn newest(&self, model: &ModelId) -> Option<NewestWeights> {
        let known = self.models.get(model)?;
        Some(NewestWeights {
            weights: known.history.newest()?,
            fence: known.fence,
        })
    }

    /// Returns for how long weights newer than `held` have been named, if there are any.
    pub fn behind_ms(
        &self,
        model: &ModelId,
        held: WeightsVersion,
        now: TimeMs,
    ) -> Option<DurationMs> {
        self.models.get(model)?.history.behind_ms(held, now)
    }

    /// Returns all named weights for other processes.
    pub fn updates(&self, now: TimeMs) -> Vec<WeightsUpdate> {
        let news = self.models.iter().filter_map(|(model, known)| {
            let mut namings = known.history.newest_first();
            let (weights, named) = namings.next()?;
            let earlier = namings.take(PASSED_ON);
            Some(WeightsUpdate {
                model: model.clone(),
                weights,
                fence: known.fence,
                age_ms: now.since(named),
                earlier: earlier.map(|(w, at)| (w, now.since(at))).collect(),
            })
        });
        news.collect()
    }
}

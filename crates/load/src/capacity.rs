//! Estimates the request rate that a fleet sustains under a mix of services.

use std::collections::BTreeMap;

use dw_base::BLOCK_TOKENS;
use dw_standin::EngineEntry;
use dw_standin::Fleet;
use serde::Deserialize;
use serde::Serialize;

use crate::mix::ServiceLoad;
use crate::mix::Target;

/// Request rate, per second of engine time, at which the most loaded model of a fleet saturates.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Capacity {
    /// Requests per second, summed over all services.
    pub requests_per_s: f64,
    /// Model that saturates first.
    pub model: String,
    /// Request rate, over all services, at which each model saturates.
    pub models: BTreeMap<String, f64>,
}

/// Mean number of tokens that one arrival, of any service, requires from a model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    uncached_tokens: f64,
    generated_tokens: f64,
}

impl Capacity {
    /// Estimates the capacity for a cache hit rate of `hit_rate` on the shared prompt tokens.
    ///
    /// A model is limited by the prefill speed or by the decode throughput of its engines at full
    /// batch size, whichever is lower. Plain services are ignored.
    pub fn estimate(fleet: &Fleet, services: &[ServiceLoad], hit_rate: f64) -> Capacity {
        let total: f64 = services.iter().map(|service| service.share).sum();
        let mut demand: BTreeMap<&str, ModelDemand> = BTreeMap::new();
        for service in services {
            if let Target::Generate {
                model,
                levels,
                suffix_tokens,
                max_tokens,
            } = service.target
            {
                let shared_pieces = levels.catalogue + levels.venue + levels.client;
                let shared_tokens = shared_pieces as f64 * BLOCK_TOKENS as f64;
                let share = service.share / total;
                let demand = demand.entry(model).or_default();
                demand.uncached_tokens +=
                    share * (shared_tokens * (1.0 - hit_rate) + suffix_tokens as f64);
                demand.generated_tokens += share * max_tokens as f64;
            }
        }
        let models: BTreeMap<String, f64> = demand
            .into_iter()
            .map(|(model, demand)| {
                let serves_model = |entry: &&EngineEntry| entry.engine.model == model;
                let engines = fleet.engines.iter().filter(serves_model);
                (model.to_owned(), demand.max_requests_per_s(engines))
            })
            .collect();
        let busiest = models.iter().min_by(|a, b| a.1.total_cmp(b.1));
        let (model, requests_per_s) =
            busiest.map_or((String::new(), 0.0), |(model, rate)| (model.clone(), *rate));
        Capacity {
            requests_per_s,
            model,
            models,
        }
    }
}

impl ModelDemand {
    fn max_requests_per_s<'a>(self, engines: impl Iterator<Item = &'a EngineEntry>) -> f64 {
        let (mut prefill, mut decode) = (0.0, 0.0);
        for entry in engines {
            let engine = &entry.engine;
            prefill += engine.prefill_tokens_per_s;
            decode += engine.max_batch as f64 * 1_000.0 / engine.decode_ms_per_token;
        }
        (prefill / self.uncached_tokens).min(decode / self.generated_tokens)
    }
}

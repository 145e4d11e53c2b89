//! Placement of prompts beside prompts with other aims.
//!
//! Load pattern: many short, urgent prompts, and a few long ones whose lengths differ by a factor of
//! fifty. An engine reads its prompts in the order of arrival, so a prompt that takes longer than the
//! objective makes all behind it late. Routers learn of it only after the next announcements.
//!
//! Two rules follow. A prompt is compared for a random few engines besides its homes, so that routers
//! with the same late sums do not all choose the engine that looked idle. And prompts that are late
//! wherever they go share a few engines while there are queues, in an order on which all routers agree.
//! Their queues there are long and seldom change, so the other prompts avoid them.

use std::collections::HashMap;

use dw_base::rendezvous_score;
use dw_base::DurationMs;
use dw_base::UpstreamId;

use crate::direct_request::Choice;
use crate::direct_request::DirectRequest;
use crate::mixed_settings::MixedSettings;
use crate::scored::Scored;

/// Key of the order in which engines get oversize prompts.
const OVERSIZE_KEY: u128 = 1;

/// Cost of an engine that is not compared; above that of an engine whose requests all fail, so that it
/// is the last resort.
const NOT_COMPARED_MS: f64 = 10_000.0;

/// Cost of a place in the order of engines for an oversize prompt. It is above the cost of another data
/// centre and below that of old weights.
const PLACE_MS: f64 = 20.0;

impl MixedSettings {
    /// Replaces the costs of the engines for a prompt.
    pub(crate) fn apply(&self, request: &DirectRequest<'_>, scored: &mut [Scored]) {
        let Some(objective_ms) = request.mixed_objective_ms else {
            return;
        };
        match self.is_oversize(objective_ms, scored) {
            true if self.is_crowded(objective_ms, scored) => {
                self.share_few_engines(objective_ms, scored);
            }
            true => {}
            false => self.compare_few_engines(request, scored),
        }
    }

    /// Returns whether a prompt misses its whole objective at most engines, even without a queue. What
    /// remains of the objective does not count: a short prompt that is sent again is no oversize one.
    fn is_oversize(&self, objective_ms: DurationMs, scored: &[Scored]) -> bool {
        let alone_ms: f64 = scored.iter().map(|one| alone_ms(&one.choice)).sum();
        alone_ms > objective_ms.0 as f64 * self.oversize_part * scored.len() as f64
    }

    /// Returns whether prompts wait at the engines on average.
    fn is_crowded(&self, objective_ms: DurationMs, scored: &[Scored]) -> bool {
        let backlog_ms: u64 = scored.iter().map(|one| one.choice.backlog_ms.0).sum();
        backlog_ms as f64 > objective_ms.0 as f64 * self.crowded_part * scored.len() as f64
    }

    /// Makes a prompt prefer the first engine of a fixed order whose queue is not too long.
    fn share_few_engines(&self, objective_ms: DurationMs, scored: &mut [Scored]) {
        let places = places(scored);
        let most_ms = objective_ms.0 as f64 * self.oversize_wait_part;
        for one in scored {
            let place = places.get(&one.choice.upstream).copied();
            let too_long_ms = (one.choice.backlog_ms.0 as f64 - most_ms).max(0.0);
            one.cost = one.penalty + place.unwrap_or_default() as f64 * PLACE_MS + too_long_ms;
        }
    }

    /// Makes a prompt prefer its homes and a few engines that depend on its own part.
    fn compare_few_engines(&self, request: &DirectRequest<'_>, scored: &mut [Scored]) {
        let part = self.compared_engines / scored.len() as f64;
        if part >= 1.0 {
            return;
        }
        // A score exceeds this threshold with the probability `part`.
        let threshold = -1.0 / (-part).ln_1p();
        let own = request.prompt.last().map_or(0, |part| u128::from(part.id));
        for one in scored {
            let score = rendezvous_score(own, one.choice.upstream.as_str(), 1.0);
            if !one.choice.home && score <= threshold {
                one.cost += NOT_COMPARED_MS;
            }
        }
    }
}

/// Returns the time to first token without the wait for other prompts.
fn alone_ms(choice: &Choice) -> f64 {
    choice.first_token_ms.0.saturating_sub(choice.backlog_ms.0) as f64
}

/// Returns the position of each engine in the order on which all routers agree.
fn places(scored: &[Scored]) -> HashMap<UpstreamId, usize> {
    let mut order: Vec<(f64, &UpstreamId)> = scored
        .iter()
        .map(|one| &one.choice.upstream)
        .map(|id| (rendezvous_score(OVERSIZE_KEY, id.as_str(), 1.0), id))
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    let order = order.into_iter().enumerate();
    order.map(|(place, (_, id))| (id.clone(), place)).collect()
}

//! Relative number of prompts of which an engine is the home.
//!
//! Load pattern: one engine in four has half the speed of the others. With an equal share of
//! prompts it always has a queue, so its prompts are placed at engines that lack their parts.

use crate::direct_settings::DirectSettings;

/// Shares of the prompts of which engines are the home, by speed.
///
/// There are only two shares, so that routers agree although they receive slightly different speeds.
/// Two are enough because all engines have the same memory.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeShares {
    slow_below_tokens_per_ms: f64,
    slow_share: f64,
}

impl HomeShares {
    /// Derives the threshold of slow engines from the speeds in tokens per millisecond.
    pub(crate) fn new(settings: &DirectSettings, speeds: impl Iterator<Item = f64>) -> Self {
        let mut speeds: Vec<f64> = speeds.collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or_default();
        HomeShares {
            slow_below_tokens_per_ms: median * settings.slow_part,
            slow_share: settings.slow_home_share,
        }
    }

    /// Returns the share of an engine with this speed, relative to engines of normal speed.
    pub(crate) fn share(&self, tokens_per_ms: f64) -> f64 {
        match tokens_per_ms < self.slow_below_tokens_per_ms {
            true => self.slow_share,
            false => 1.0,
        }
    }
}

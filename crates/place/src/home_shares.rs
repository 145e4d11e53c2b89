//! For how many prompts an engine is the home.
//!
//! Load pattern: one engine in four has half the speed of the others. As the home of as many prompts
//! it has a queue all the time, and its prompts leave the engine that holds their parts.

use crate::direct_settings::DirectSettings;

/// Shares of prompts for which engines are the home, by their speed.
///
/// All engines have the same memory, so two steps are enough, and routers agree on them although
/// they hear of slightly different speeds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeShares {
    slow_tokens_per_ms: f64,
    slow_share: f64,
}

impl HomeShares {
    /// Creates the shares of engines with these speeds in tokens per millisecond.
    pub(crate) fn new(settings: &DirectSettings, speeds: impl Iterator<Item = f64>) -> Self {
        let mut speeds: Vec<f64> = speeds.collect();
        speeds.sort_unstable_by(f64::total_cmp);
        let median = speeds.get(speeds.len() / 2).copied().unwrap_or_default();
        HomeShares {
            slow_tokens_per_ms: median * settings.slow_part,
            slow_share: settings.slow_home_share,
        }
    }

    /// Returns the share of an engine, relative to the others.
    pub(crate) fn share(&self, tokens_per_ms: f64) -> f64 {
        match tokens_per_ms < self.slow_tokens_per_ms {
            true => self.slow_share,
            false => 1.0,
        }
    }
}

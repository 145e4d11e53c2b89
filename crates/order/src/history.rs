//! Weights of one model in the order in which they were named.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::WeightsVersion;

/// WeightsDeclarations that are remembered.
const MOST_NAMINGS: usize = 16;

/// Weights of one model with the time of their naming.
///
/// Each naming sets a time limit of its own: an engine is late as soon as the first weights that it
/// lacks have been named for too long, whatever was named since.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    namings: Vec<(WeightsVersion, TimeMs)>,
}

impl History {
    /// Records when weights were named; of several times the earliest counts.
    pub fn record(&mut self, weights: WeightsVersion, named: TimeMs) {
        match self
            .namings
            .binary_search_by_key(&weights, |naming| naming.0)
        {
            Ok(at) => self.namings[at].1 = self.namings[at].1.min(named),
            Err(at) => self.namings.insert(at, (weights, named)),
        }
        if self.namings.len() > MOST_NAMINGS {
            self.namings.remove(0);
        }
    }

    /// Returns the newest weights.
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.namings.last().map(|(weights, _)| *weights)
    }

    /// Returns all namings, the newest first.
    pub fn newest_first(&self) -> impl Iterator<Item = (WeightsVersion, TimeMs)> + '_ {
        self.namings.iter().rev().copied()
    }

    /// Returns for how long weights newer than `held` have been named, if there are any.
    pub fn behind_ms(&self, held: WeightsVersion, now: TimeMs) -> Option<DurationMs> {
        let newer = self.namings.iter().filter(|(weights, _)| *weights > held);
        let first = newer.map(|(_, named)| *named).min()?;
        Some(now.since(first))
    }
}

//! Published weights versions of one model.

use dw_base::DurationMs;
use dw_base::TimeMs;
use dw_base::WeightsVersion;

/// Maximum number of weights versions that are kept.
const MAX_VERSIONS: usize = 16;

/// Published weights versions of one model, with the times of their publication.
///
/// Each version has its own time limit: an engine is late once the time limit of the first version
/// that it lacks has passed, even if newer versions have been published since.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    versions: Vec<(WeightsVersion, TimeMs)>,
}

impl History {
    /// Records when a weights version was published. If it is recorded more than once, the earliest
    /// time is kept.
    pub fn record(&mut self, weights: WeightsVersion, published: TimeMs) {
        match self
            .versions
            .binary_search_by_key(&weights, |entry| entry.0)
        {
            Ok(index) => self.versions[index].1 = self.versions[index].1.min(published),
            Err(index) => self.versions.insert(index, (weights, published)),
        }
        if self.versions.len() > MAX_VERSIONS {
            self.versions.remove(0);
        }
    }

    /// Returns the newest weights version.
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.versions.last().map(|(weights, _)| *weights)
    }

    /// Iterates over the versions and their publication times, newest version first.
    pub fn newest_first(&self) -> impl Iterator<Item = (WeightsVersion, TimeMs)> + '_ {
        self.versions.iter().rev().copied()
    }

    /// Returns the time since the first publication of a version newer than `held`, if there is
    /// one.
    pub fn behind_ms(&self, held: WeightsVersion, now: TimeMs) -> Option<DurationMs> {
        let newer = self.versions.iter().filter(|(weights, _)| *weights > held);
        let first_published = newer.map(|(_, published)| *published).min()?;
        Some(now.since(first_published))
    }
}

//! Which parts of prompts an engine has cached, in few bytes.

use dw_base::DurationMs;
use dw_base::PartKey;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// Age from which what was told is not used any more; three datagrams of an idle engine fit in.
const TOLD_MS: DurationMs = DurationMs(2_000);

/// Longest encoding of a difference.
const MOST_GAP_BYTES: usize = 3;

/// Parts of prompts that an engine has cached, as two bytes a part.
///
/// They are hints: with 150 parts one of 400 others is taken for one of them, which costs a
/// computation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedParts {
    /// Differences between the hashes in order, which take fewer bytes than the hashes.
    gaps: Vec<u16>,
}

impl CachedParts {
    /// Creates the hints for some parts.
    pub fn new(keys: impl IntoIterator<Item = PartKey>) -> Self {
        let mut hashes: Vec<u16> = keys.into_iter().map(hash).collect();
        hashes.sort_unstable();
        hashes.dedup();
        let mut last = 0;
        let gaps = hashes.into_iter().map(|hash| {
            let gap = hash - last;
            last = hash;
            gap
        });
        CachedParts {
            gaps: gaps.collect(),
        }
    }

    /// Returns the most bytes that the parts take in a datagram.
    pub fn max_encoded_bytes(&self) -> usize {
        self.gaps.len() * MOST_GAP_BYTES
    }

    /// Returns the hashes in order.
    fn hashes(&self) -> Vec<u16> {
        let mut last: u16 = 0;
        let hashes = self.gaps.iter().map(|gap| {
            last = last.wrapping_add(*gap);
            last
        });
        let mut hashes: Vec<u16> = hashes.collect();
        // Gaps from another process may wrap around.
        hashes.sort_unstable();
        hashes
    }
}

/// What an engine's sidecar last told of its cache.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedParts {
    hashes: Vec<u16>,
    at: Option<TimeMs>,
}

impl ReportedParts {
    /// Takes over the parts of a datagram, if it tells any.
    pub fn update(&mut self, told: Option<&CachedParts>, now: TimeMs) {
        if let Some(told) = told {
            self.hashes = told.hashes();
            self.at = Some(now);
        }
    }

    /// Returns how many leading parts are held; nothing if the cache was not told of lately, as
    /// while the engine does not tell its sidecar of it.
    pub fn leading(&self, keys: &[PartKey], now: TimeMs) -> Option<usize> {
        let at = self.at?;
        if now.since(at) >= TOLD_MS {
            return None;
        }
        let is_held = |key: &&PartKey| self.hashes.binary_search(&hash(**key)).is_ok();
        Some(keys.iter().take_while(is_held).count())
    }
}

fn hash(key: PartKey) -> u16 {
    (key.0 >> 16) as u16
}

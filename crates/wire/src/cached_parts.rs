//! Compact encoding of the prompt parts that an engine has cached.

use dw_base::DurationMs;
use dw_base::PartKey;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;

/// Age at which reported parts expire. An idle engine sends three datagrams within this time.
const REPORT_TTL_MS: DurationMs = DurationMs(2_000);

/// Maximum length of an encoded difference.
const MAX_GAP_BYTES: usize = 3;

/// Prompt parts that an engine has cached, in about two bytes per part.
///
/// The hashes have 16 bits, so these are only hints: with 150 cached parts, about 1 in 400 other parts
/// is wrongly taken for cached, which costs one recomputation.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedParts {
    /// Differences between the sorted hashes, which encode in fewer bytes than the hashes.
    gaps: Vec<u16>,
}

impl CachedParts {
    /// Creates hints for the given parts.
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

    /// Returns the maximum number of bytes that the parts take in a datagram.
    pub fn max_encoded_bytes(&self) -> usize {
        self.gaps.len() * MAX_GAP_BYTES
    }

    /// Returns the hashes, sorted.
    fn hashes(&self) -> Vec<u16> {
        let mut last: u16 = 0;
        let hashes = self.gaps.iter().map(|gap| {
            last = last.wrapping_add(*gap);
            last
        });
        let mut hashes: Vec<u16> = hashes.collect();
        // Sums of gaps from a faulty sender may wrap around and leave the hashes unsorted.
        hashes.sort_unstable();
        hashes
    }
}

/// Cached parts of an engine, as last reported by its sidecar.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportedParts {
    hashes: Vec<u16>,
    received_at: Option<TimeMs>,
}

impl ReportedParts {
    /// Replaces the parts with those of a datagram, if it contains any.
    pub fn update(&mut self, parts: Option<&CachedParts>, now: TimeMs) {
        if let Some(parts) = parts {
            self.hashes = parts.hashes();
            self.received_at = Some(now);
        }
    }

    /// Returns the number of leading parts that are cached, or `None` without a recent report, for
    /// example while the engine does not report its cache contents to its sidecar.
    pub fn leading(&self, keys: &[PartKey], now: TimeMs) -> Option<usize> {
        let received_at = self.received_at?;
        if now.since(received_at) >= REPORT_TTL_MS {
            return None;
        }
        let is_cached = |key: &&PartKey| self.hashes.binary_search(&hash(**key)).is_ok();
        Some(keys.iter().take_while(is_cached).count())
    }
}

fn hash(key: PartKey) -> u16 {
    (key.0 >> 16) as u16
}

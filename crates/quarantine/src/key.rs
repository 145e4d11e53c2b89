//! Keys of evidence.

use std::hash::Hash;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;

/// What evidence stands against.
pub trait SuspectKey: Copy + Eq + Hash + Ord {
    /// Age at which an end no longer counts.
    const END_EXPIRY_MS: DurationMs;

    /// Returns whose requests lead to evidence under this key, where that is known.
    ///
    /// When there is no room, the one with the most evidence loses some of it.
    fn owner(self) -> Option<u32>;
}

impl SuspectKey for ModelPart {
    const END_EXPIRY_MS: DurationMs = DurationMs(600_000);

    fn owner(self) -> Option<u32> {
        None
    }
}

impl SuspectKey for RequestDigest {
    /// A request that comes once an hour is still found to end each upstream.
    const END_EXPIRY_MS: DurationMs = DurationMs(86_400_000);

    fn owner(self) -> Option<u32> {
        Some(self.organisation)
    }
}

//! Keys of evidence.

use std::hash::Hash;

use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::Suspect;

/// What evidence stands against.
pub trait SuspectKey: Copy + Eq + Hash + Into<Suspect> + Ord {
    /// Age at which an end no longer counts.
    const END_EXPIRY_MS: DurationMs;

    /// Whether a key that was never answered explains ends that it shares with keys that were.
    const EXPLAINS_ENDS: bool;

    /// Returns whose requests lead to evidence under this key, where that is known.
    ///
    /// When there is no room, the one with the most evidence loses some of it.
    fn owner(self) -> Option<u32>;
}

impl SuspectKey for ModelPart {
    const END_EXPIRY_MS: DurationMs = DurationMs(600_000);

    const EXPLAINS_ENDS: bool = true;

    fn owner(self) -> Option<u32> {
        None
    }
}

impl SuspectKey for RequestDigest {
    /// A request that comes once an hour is still found to end each upstream.
    const END_EXPIRY_MS: DurationMs = DurationMs(86_400_000);

    /// Ends under a request are counted one by one.
    const EXPLAINS_ENDS: bool = false;

    fn owner(self) -> Option<u32> {
        Some(self.organisation)
    }
}

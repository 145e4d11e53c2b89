//! The seeded random number generator that pure code receives.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// The generator type that is passed to pure code.
pub type Rng = ChaCha8Rng;

/// Creates a generator whose sequence depends on `seed` only.
pub fn seeded_rng(seed: u64) -> Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

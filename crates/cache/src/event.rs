//! Events of an engine's prefix cache.

use dw_base::BlockHash;
use dw_base::Incarnation;
use dw_base::WeightsVersion;

/// What happened to blocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// They are cached now.
    Stored,
    /// They are no longer cached.
    Evicted,
    /// The whole cache is empty now.
    Cleared,
}

/// One numbered change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number, consecutive from 1 within an incarnation.
    pub seq: u64,
    /// What happened.
    pub kind: Kind,
    /// Blocks concerned.
    pub hashes: Vec<BlockHash>,
}

/// Answer to one poll for events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Loaded weights.
    pub weights: WeightsVersion,
    /// Newest event that the engine has numbered, published or not.
    pub last_seq: u64,
    /// Events that were published.
    pub events: Vec<Event>,
}

/// The whole content of the cache.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Loaded weights.
    pub weights: WeightsVersion,
    /// Number of the last event contained.
    pub seq: u64,
    /// Most blocks that fit.
    pub capacity_blocks: usize,
    /// All cached blocks.
    pub hashes: Vec<BlockHash>,
}

/// What the agent must do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch a snapshot.
    Resync,
}

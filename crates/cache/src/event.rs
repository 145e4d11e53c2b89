//! Events of an engine's prefix cache.

use dw_base::BlockHash;
use dw_base::Incarnation;
use dw_base::WeightsVersion;

/// Kind of a cache change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The blocks are cached now.
    Stored,
    /// The blocks are no longer cached.
    Evicted,
    /// The whole cache was emptied.
    Cleared,
}

/// One numbered cache change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Sequence number, consecutive from 1 within an incarnation.
    pub seq: u64,
    /// Kind of the change.
    pub kind: Kind,
    /// Blocks that the change affects.
    pub hashes: Vec<BlockHash>,
}

/// Response to one poll for events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Newest sequence number that the engine has assigned, whether or not the event was published.
    pub last_seq: u64,
    /// Published events, in order.
    pub events: Vec<Event>,
}

/// Complete cache contents at one sequence number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Version of the loaded weights.
    pub weights: WeightsVersion,
    /// Sequence number of the last event included.
    pub seq: u64,
    /// Maximum number of cached blocks.
    pub capacity_blocks: usize,
    /// All cached blocks.
    pub hashes: Vec<BlockHash>,
}

/// Action that the agent has to take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Fetch a snapshot.
    Resync,
}

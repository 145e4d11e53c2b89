//! What operators declare and which upstreams are registered, and its changes.

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_base::FenceNumber;
use dw_base::ModelId;
use dw_base::UpstreamId;
use dw_base::WeightsVersion;
use dw_member::RegisteredUpstream;
use dw_route::RouteTableParts;
use thiserror::Error;

/// Longest time until a call of a [`Feed`] fails that the table no longer reaches.
pub const FEED_SILENCE_MS: DurationMs = DurationMs(2_000);

/// Bits of a [`TableVersion`] for the number within an era. With the era above them the sum stays
/// below 2^53 for thousands of eras, and is exact wherever numbers are read as floating point.
const VERSION_BITS: u32 = 40;

/// Position in the history of the platform's table: the era, and within it the version.
///
/// A store that comes back from a copy begins an era and gives versions out again, so a later era is
/// greater whatever the version. The first era is 1; its positions are the plain versions.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct TableVersion(pub u64);

impl TableVersion {
    /// Creates the position of a version in an era.
    pub fn new(era: u64, version: u64) -> Self {
        let restores = era.saturating_sub(1);
        let highest = (1 << VERSION_BITS) - 1;
        TableVersion((restores << VERSION_BITS) | version.min(highest))
    }

    /// Returns the era.
    pub fn era(self) -> u64 {
        (self.0 >> VERSION_BITS) + 1
    }

    /// Returns the version within the era.
    pub fn version(self) -> u64 {
        self.0 & ((1 << VERSION_BITS) - 1)
    }
}

/// Weights that an operator has named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredWeights {
    /// Model.
    pub model: ModelId,
    /// Weights.
    pub weights: WeightsVersion,
    /// Position of the naming in the table's history, from which the fencing number of orders is selected.
    pub fence: FenceNumber,
}

/// A row that cannot be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InvalidRow {
    /// Key of the row.
    pub key: String,
    /// What is wrong.
    pub detail: String,
}

/// A configuration that cannot be read as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidRoutes {
    /// Row, and what is wrong with it.
    pub row: InvalidRow,
    /// The configuration without what cannot be read, which is closed. A process that knows no other
    /// configuration serves with it.
    pub readable: Option<Box<RouteTableParts>>,
}

/// Something that an operator declares.
#[derive(Clone, Debug, PartialEq)]
pub enum Declaration {
    /// The whole configuration.
    Routes(Box<RouteTableParts>),
    /// Weights of a model.
    Weights(DeclaredWeights),
    /// A configuration that cannot be read as a whole.
    InvalidRoutes(InvalidRoutes),
    /// Another row that cannot be read.
    InvalidRow(InvalidRow),
}

/// A change of the registered upstreams.
#[derive(Clone, Debug, PartialEq)]
pub enum Registration {
    /// An upstream is registered, or its registration has changed.
    Put(RegisteredUpstream),
    /// An upstream is no longer registered.
    Removed(UpstreamId),
    /// A row that cannot be read, such as that of a foreign writer.
    InvalidRow(InvalidRow),
}

/// Items and the position up to which they are complete.
#[derive(Clone, Debug, PartialEq)]
pub struct Page<T> {
    /// Items in their order.
    pub items: Vec<T>,
    /// Position.
    pub version: TableVersion,
}

/// A call to the platform's table gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FeedError {
    /// The history from the wanted position on is not kept any more.
    #[error("the history is not kept any more; read a snapshot")]
    Expired,
    /// The store has come back from a copy, and the wanted position belongs to its history before that.
    #[error("the store was restored from a copy; read a snapshot")]
    Restored,
    /// The table refuses the call.
    #[error("the table refuses the call with status {0}")]
    Refused(u16),
    /// The table cannot be reached or does not answer.
    #[error("the table does not answer: {0}")]
    Unreachable(String),
}

/// A table whose changes can be followed.
#[async_trait]
pub trait Feed<T>: Send {
    /// Reads everything.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`.
    async fn snapshot(&mut self, timeout_ms: DurationMs) -> Result<Page<T>, FeedError>;

    /// Waits up to `wait_ms` for changes after a position; none may have come.
    ///
    /// # Errors
    ///
    /// Returns an error if the history is not kept, or if there is no answer within `timeout_ms`.
    async fn changes(
        &mut self,
        after: TableVersion,
        wait_ms: DurationMs,
        timeout_ms: DurationMs,
    ) -> Result<Page<T>, FeedError>;
}

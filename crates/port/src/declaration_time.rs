//! When weights were named.

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_base::ModelId;
use dw_base::WeightsVersion;

use crate::feed::FeedError;

/// When weights were named.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclarationTime {
    /// Model.
    pub model: ModelId,
    /// Weights.
    pub weights: WeightsVersion,
    /// Time since their naming.
    pub age_ms: DurationMs,
}

/// Times of namings, kept in the platform's table by its clock.
#[async_trait]
pub trait DeclarationTimes: Send {
    /// Reads all times.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`.
    async fn read(&mut self, timeout_ms: DurationMs) -> Result<Vec<DeclarationTime>, FeedError>;

    /// Records that weights were named `age_ms` ago, unless a time is recorded already.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer within `timeout_ms`; it may be recorded all the same.
    async fn record(
        &mut self,
        model: &ModelId,
        weights: WeightsVersion,
        age_ms: DurationMs,
        timeout_ms: DurationMs,
    ) -> Result<(), FeedError>;
}

//! What a store of kept KV cache holds.

use async_trait::async_trait;
use dw_base::DurationMs;
use dw_cache::KvPage;
use thiserror::Error;

/// A store of kept KV cache did not tell its changes.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KvError {
    /// It serves as many such calls as it can.
    #[error("the store serves too many such calls")]
    Busy,
    /// It cannot be reached or gives no readable answer.
    #[error("the store did not answer: {0}")]
    Unreachable(String),
}

/// A store of kept KV cache, or an engine, that tells what it holds.
#[async_trait]
pub trait KvIndex: Send {
    /// Waits up to `wait_ms` for changes since a position.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no readable answer within `timeout_ms`.
    async fn changes(
        &mut self,
        since: u64,
        wait_ms: DurationMs,
        timeout_ms: DurationMs,
    ) -> Result<KvPage, KvError>;
}

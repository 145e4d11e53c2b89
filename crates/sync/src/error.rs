//! Errors of reading the configuration.

use dw_base::ConfigVersion;
use dw_config::CommitError;
use dw_config::UpdateError;
use dw_store::StoreError;
use thiserror::Error;

/// The configuration could not be read or kept.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SyncError {
    /// A platform service failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Received data cannot be used.
    #[error(transparent)]
    Update(#[from] UpdateError),
    /// An item of the log cannot be decoded.
    #[error(transparent)]
    Log(#[from] CommitError),
    /// The head is not a version.
    #[error("the head of the configuration is not a version: check what else writes config/head")]
    BadHead,
    /// The log ends before the head.
    #[error("the change after version {0} is missing in the table: start from a snapshot")]
    MissingChange(ConfigVersion),
}

//! Encoding of snapshots and changes.

use dw_base::ConfigVersion;
use dw_wire::ConfigUpdate;
use thiserror::Error;

use crate::change::ApplyError;
use crate::change::CommittedChange;
use crate::validate::validate;
use crate::validate::InvalidConfig;
use crate::view::Config;

/// Versions between two snapshots in the object store.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// Most changes offered as a delta; a receiver that lags further gets a snapshot.
pub const MAX_DELTA_CHANGES: u64 = 256;

/// A received configuration or change cannot be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum UpdateError {
    /// The text is not JSON of the expected form.
    #[error(
        "configuration data cannot be decoded: {0}; check that all nodes run the same release"
    )]
    Malformed(String),
    /// A header and its content have different versions.
    #[error("configuration data holds version {found} instead of {expected}: discard it")]
    WrongVersion {
        /// Version announced.
        expected: ConfigVersion,
        /// Version found.
        found: ConfigVersion,
    },
    /// A change does not fit.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The configuration breaks a rule.
    #[error("received configuration is not valid: {0}")]
    Invalid(InvalidConfig),
}

/// Encodes a configuration as JSON.
///
/// # Errors
///
/// Returns an error if a value has no JSON form.
pub fn encode_snapshot(config: &Config) -> Result<String, UpdateError> {
    serde_json::to_string(config).map_err(|e| UpdateError::Malformed(e.to_string()))
}

/// Decodes and checks a configuration.
///
/// # Errors
///
/// Returns an error if the bytes are malformed or the configuration is not valid.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Config, UpdateError> {
    let config: Config =
        serde_json::from_slice(bytes).map_err(|e| UpdateError::Malformed(e.to_string()))?;
    let newest = config.entries.values().map(|entry| entry.version).max();
    if let Some(found) = newest.filter(|newest| *newest > config.version) {
        let expected = config.version;
        return Err(UpdateError::WrongVersion { expected, found });
    }
    checked(config)
}

fn checked(config: Config) -> Result<Config, UpdateError> {
    match validate(&config).into_iter().next() {
        Some(fault) => Err(UpdateError::Invalid(fault)),
        None => Ok(config),
    }
}

/// Makes an update out of changes, the oldest first; returns nothing if there are none.
///
/// # Errors
///
/// Returns an error if a value has no JSON form.
pub fn delta(changes: &[CommittedChange]) -> Result<Option<ConfigUpdate>, UpdateError> {
    let (Some(first), Some(last)) = (changes.first(), changes.last()) else {
        return Ok(None);
    };
    let json = serde_json::to_string(changes).map_err(|e| UpdateError::Malformed(e.to_string()))?;
    Ok(Some(ConfigUpdate::Changes {
        from: ConfigVersion(first.version.0.saturating_sub(1)),
        to: last.version,
        json,
    }))
}

/// Makes an update that holds the whole configuration.
///
/// # Errors
///
/// Returns an error if a value has no JSON form.
pub fn whole(config: &Config) -> Result<ConfigUpdate, UpdateError> {
    Ok(ConfigUpdate::Snapshot {
        version: config.version,
        json: encode_snapshot(config)?,
    })
}

/// An update that has been decoded and applied.
#[derive(Clone, Debug, PartialEq)]
pub struct Advanced {
    /// Configuration after the update; its version is greater than before.
    pub config: Config,
    /// Changes that were applied, if the update held changes.
    pub changes: Vec<CommittedChange>,
}

impl Config {
    /// Returns the configuration after the changes that it does not include yet, the oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if a change is missing or malformed, or the result breaks a rule.
    pub fn advance(&self, changes: Vec<CommittedChange>) -> Result<Option<Advanced>, UpdateError> {
        let changes: Vec<CommittedChange> = changes
            .into_iter()
            .filter(|change| change.version > self.version)
            .collect();
        if changes.is_empty() {
            return Ok(None);
        }
        let mut config = self.clone();
        config.apply_all(&changes)?;
        let config = checked(config)?;
        Ok(Some(Advanced { config, changes }))
    }

    /// Decodes an update and applies it; returns nothing if it is not newer.
    ///
    /// # Errors
    ///
    /// Returns an error if the update is malformed or does not fit; nothing changes then.
    pub fn advance_by(&self, update: &ConfigUpdate) -> Result<Option<Advanced>, UpdateError> {
        match update {
            ConfigUpdate::Changes { to, json, .. } => {
                if *to <= self.version {
                    return Ok(None);
                }
                let changes: Vec<CommittedChange> = serde_json::from_str(json)
                    .map_err(|e| UpdateError::Malformed(e.to_string()))?;
                let found = changes.last().map(|last| last.version).unwrap_or_default();
                check_version(*to, found)?;
                self.advance(changes)
            }
            ConfigUpdate::Snapshot { version, json } => {
                if *version <= self.version {
                    return Ok(None);
                }
                let config = decode_snapshot(json.as_bytes())?;
                check_version(*version, config.version)?;
                let changes = Vec::new();
                Ok(Some(Advanced { config, changes }))
            }
        }
    }
}

fn check_version(expected: ConfigVersion, found: ConfigVersion) -> Result<(), UpdateError> {
    if expected == found {
        return Ok(());
    }
    Err(UpdateError::WrongVersion { expected, found })
}

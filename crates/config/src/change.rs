//! Changes of the configuration.

use std::collections::BTreeMap;

use dw_base::ChangeId;
use dw_base::ConfigVersion;
use dw_base::OperatorId;
use dw_base::TimeMs;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use thiserror::Error;

use crate::object::Object;
use crate::object::ObjectKey;
use crate::validate::validate;
use crate::validate::InvalidConfig;
use crate::view::Config;
use crate::view::Entry;

/// One edit of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// Adds an object that does not exist yet.
    Create(Object),
    /// Adds or replaces an object.
    Put(Object),
    /// Replaces the named fields of an existing object.
    Patch {
        /// Object.
        key: ObjectKey,
        /// New values by the field names of the object's JSON form.
        fields: Map<String, Value>,
    },
    /// Removes an existing object.
    Delete(ObjectKey),
}

impl Edit {
    /// Returns the object that the edit touches.
    pub fn key(&self) -> ObjectKey {
        match self {
            Edit::Create(object) | Edit::Put(object) => object.key(),
            Edit::Patch { key, .. } | Edit::Delete(key) => key.clone(),
        }
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Unique id.
    pub id: ChangeId,
    /// Operator who asks.
    pub operator: OperatorId,
    /// Statements in canonical form.
    pub text: String,
    /// Edits, applied in order.
    pub edits: Vec<Edit>,
}

/// What a change wrote to one object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectWrite {
    /// Object.
    pub key: ObjectKey,
    /// New state; absent after a deletion.
    pub object: Option<Object>,
}

/// A change in the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CommittedChange {
    /// Version that the change made.
    pub version: ConfigVersion,
    /// Unique id.
    pub id: ChangeId,
    /// Operator who asked.
    pub operator: OperatorId,
    /// Statements in canonical form.
    pub text: String,
    /// When the router prepared the change.
    pub time_ms: TimeMs,
    /// Objects written.
    pub writes: Vec<ObjectWrite>,
}

/// A change cannot be made.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ChangeError {
    /// There is nothing to do.
    #[error("the change has no edits: write at least one command")]
    Empty,
    /// An object to be created exists.
    #[error("{0} exists already: use alter to change it")]
    Exists(ObjectKey),
    /// An object to be altered or deleted does not exist.
    #[error("{0} does not exist: declare it first, or list the objects of its kind")]
    Missing(ObjectKey),
    /// Patched fields do not make a valid object.
    #[error(
        "{key} cannot be altered: {detail}; use the field names and units of the language page"
    )]
    BadField {
        /// Object.
        key: ObjectKey,
        /// What is wrong.
        detail: String,
    },
    /// A patch would give the object another name.
    #[error("{0} cannot be renamed: declare the new object and delete this one")]
    Renamed(ObjectKey),
    /// Another change has the id.
    #[error("change id {0} belongs to another change, version {1}: leave the id out")]
    IdUsed(ChangeId, ConfigVersion),
    /// The configuration would be wrong after the change.
    #[error("{}", .0.first().map(ToString::to_string).unwrap_or_default())]
    Invalid(Vec<InvalidConfig>),
}

/// A committed change does not fit the configuration that it is applied to.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ApplyError {
    /// The configuration includes the change already.
    #[error("change {change} is not newer than configuration {current}: ignore it")]
    Stale {
        /// Version of the configuration.
        current: ConfigVersion,
        /// Version of the change.
        change: ConfigVersion,
    },
    /// Changes are missing in between.
    #[error("change {change} does not follow configuration {current}: read the changes between")]
    Gap {
        /// Version of the configuration.
        current: ConfigVersion,
        /// Version of the change.
        change: ConfigVersion,
    },
    /// A write names another object than it holds.
    #[error("write of {key} in change {change} holds another object: check that all nodes run the same release")]
    WrongKey {
        /// Key of the write.
        key: ObjectKey,
        /// Version of the change.
        change: ConfigVersion,
    },
}

impl Change {
    /// Returns the objects that the change touches, each once and in order.
    pub fn touched(&self) -> Vec<ObjectKey> {
        let mut keys: Vec<ObjectKey> = self.edits.iter().map(Edit::key).collect();
        keys.sort();
        keys.dedup();
        keys
    }

    /// Applies the edits to `config` and checks the result.
    ///
    /// # Errors
    ///
    /// Returns an error if an edit does not fit or the result is not valid.
    pub fn prepare(&self, config: &Config, now: TimeMs) -> Result<CommittedChange, ChangeError> {
        if self.edits.is_empty() {
            return Err(ChangeError::Empty);
        }
        let mut writes: BTreeMap<ObjectKey, Option<Object>> = BTreeMap::new();
        for edit in &self.edits {
            let key = edit.key();
            let current = match writes.get(&key) {
                Some(written) => written.clone(),
                None => config.entries.get(&key).map(|entry| entry.object.clone()),
            };
            writes.insert(key, edited(edit, current)?);
        }
        let change = CommittedChange {
            version: ConfigVersion(config.version.0.saturating_add(1)),
            id: self.id.clone(),
            operator: self.operator.clone(),
            text: self.text.clone(),
            time_ms: now,
            writes: writes
                .into_iter()
                .map(|(key, object)| ObjectWrite { key, object })
                .collect(),
        };
        let mut after = config.clone();
        write_all(&mut after, &change);
        let faults = validate(&after);
        if faults.is_empty() {
            return Ok(change);
        }
        Err(ChangeError::Invalid(faults))
    }
}

fn edited(edit: &Edit, current: Option<Object>) -> Result<Option<Object>, ChangeError> {
    match (edit, current) {
        (Edit::Put(object), _) | (Edit::Create(object), None) => Ok(Some(object.clone())),
        (Edit::Create(object), Some(_)) => Err(ChangeError::Exists(object.key())),
        (Edit::Patch { key, fields }, Some(object)) => patched(key, &object, fields).map(Some),
        (Edit::Delete(_), Some(_)) => Ok(None),
        (Edit::Patch { key, .. } | Edit::Delete(key), None) => {
            Err(ChangeError::Missing(key.clone()))
        }
    }
}

fn patched(
    key: &ObjectKey,
    object: &Object,
    fields: &Map<String, Value>,
) -> Result<Object, ChangeError> {
    let bad_field = |detail: String| ChangeError::BadField {
        key: key.clone(),
        detail,
    };
    let mut json = serde_json::to_value(object).map_err(|e| bad_field(e.to_string()))?;
    for (name, value) in fields {
        json[name] = value.clone();
    }
    let object: Object = serde_json::from_value(json).map_err(|e| bad_field(e.to_string()))?;
    if object.key() == *key {
        return Ok(object);
    }
    Err(ChangeError::Renamed(key.clone()))
}

fn write_all(config: &mut Config, change: &CommittedChange) {
    for write in &change.writes {
        match &write.object {
            Some(object) => {
                let entry = Entry {
                    version: change.version,
                    object: object.clone(),
                };
                config.entries.insert(write.key.clone(), entry);
            }
            None => {
                config.entries.remove(&write.key);
            }
        }
    }
    config.version = change.version;
}

impl Config {
    /// Returns the configuration after `change`, which must be the next one.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is stale, not the next one or malformed.
    pub fn apply(&self, change: &CommittedChange) -> Result<Config, ApplyError> {
        let mut after = self.clone();
        after.apply_all(std::slice::from_ref(change))?;
        Ok(after)
    }

    /// Applies changes in order; the configuration is unusable after an error.
    pub(crate) fn apply_all(&mut self, changes: &[CommittedChange]) -> Result<(), ApplyError> {
        for change in changes {
            let (current, version) = (self.version, change.version);
            if version <= current {
                let change = version;
                return Err(ApplyError::Stale { current, change });
            }
            if version.0 != current.0 + 1 {
                let change = version;
                return Err(ApplyError::Gap { current, change });
            }
            check_keys(change)?;
            write_all(self, change);
        }
        Ok(())
    }
}

fn check_keys(change: &CommittedChange) -> Result<(), ApplyError> {
    for write in &change.writes {
        if write.object.as_ref().is_some_and(|o| o.key() != write.key) {
            return Err(ApplyError::WrongKey {
                key: write.key.clone(),
                change: change.version,
            });
        }
    }
    Ok(())
}

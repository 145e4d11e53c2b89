//! Keys of the configuration in the table and the object store.

use dw_base::ChangeId;
use dw_base::ConfigVersion;

use crate::object::ObjectKey;

/// Table key of the newest version.
pub const HEAD_KEY: &str = "config/head";

/// Prefix of the snapshots in the object store.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";

/// Returns the table key of a change.
pub fn change_key(version: ConfigVersion) -> String {
    format!("config/change/{version}")
}

/// Returns the table key of a change id.
pub fn change_id_key(id: &ChangeId) -> String {
    format!("config/change-id/{id}")
}

/// Returns the table key of an object.
pub fn object_key(key: &ObjectKey) -> String {
    format!("config/object/{key}")
}

/// Returns the object-store key of a snapshot; keys sort by version.
pub fn snapshot_key(version: ConfigVersion) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}", version.0)
}

/// Returns the version of a snapshot's key.
pub fn snapshot_version(key: &str) -> Option<ConfigVersion> {
    let digits = key.strip_prefix(SNAPSHOT_PREFIX)?;
    digits.parse().ok()
}

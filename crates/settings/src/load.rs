//! Deserialization of YAML files into settings types.

use std::fs;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::InvalidValue;
use crate::error::SettingsError;

/// Settings that validate their own values.
pub trait Check {
    /// Validates constraints that the types cannot express.
    ///
    /// # Errors
    ///
    /// Returns the first invalid value.
    fn check(&self) -> Result<(), InvalidValue>;
}

/// Loads and validates a settings file.
///
/// # Errors
///
/// Returns an error that names the file, the key and the remedy.
pub fn load<T: Check + DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|e| SettingsError::Unreadable {
        file: file.clone(),
        detail: e.to_string(),
    })?;
    from_text(&file, &text)
}

/// Parses and validates the content of a settings file; `file` is its path, for error messages.
///
/// # Errors
///
/// Returns an error that names the file, the key and the remedy.
pub fn from_text<T: Check + DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let document = serde_norway::Deserializer::from_str(text);
    let settings: T =
        serde_path_to_error::deserialize(document).map_err(|e| malformed(file, &e))?;
    settings.check().map_err(|error| SettingsError::Invalid {
        file: file.to_owned(),
        error,
    })?;
    Ok(settings)
}

fn malformed(file: &str, error: &serde_path_to_error::Error<serde_norway::Error>) -> SettingsError {
    let path = error.path();
    let key = match path.iter().next() {
        Some(_) => path.to_string(),
        None => "document".to_owned(),
    };
    SettingsError::Malformed {
        file: file.to_owned(),
        key,
        detail: error.inner().to_string(),
    }
}

//! Errors of settings files.

use thiserror::Error;

/// A value that has the right type but fails validation.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{key}: {problem}; {remedy}")]
pub struct InvalidValue {
    /// Path of the key, for example `store.table`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

impl InvalidValue {
    /// Creates an error for `key`.
    pub fn new(
        key: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        InvalidValue {
            key: key.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// A settings file could not be loaded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {detail}; name a readable YAML file with --settings")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        detail: String,
    },
    /// The file is not YAML, lacks a key, or has an unknown key or a value of the wrong type.
    #[error("{file}: {key}: {detail}; correct this key")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Path of the key at which parsing failed; `document` at the top level.
        key: String,
        /// Error of the parser.
        detail: String,
    },
    /// A value fails validation.
    #[error("{file}: {error}")]
    Invalid {
        /// Path of the file.
        file: String,
        /// The invalid value.
        error: InvalidValue,
    },
}

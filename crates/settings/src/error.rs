//! Errors of settings files.

use thiserror::Error;

/// A value that parses but cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{key}: {problem}; {remedy}")]
pub struct Fault {
    /// Path of the key, for example `store.table`.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(
        key: impl Into<String>,
        problem: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Self {
        Fault {
            key: key.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// A settings file cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {detail}; name a readable YAML file with --settings")]
    Unreadable {
        /// File.
        file: String,
        /// What the operating system reported.
        detail: String,
    },
    /// The file is not YAML, lacks a key, or has an unknown key or a value of the wrong type.
    #[error("{file}: {key}: {detail}; correct this key")]
    Malformed {
        /// File.
        file: String,
        /// Path of the key that was being read; `document` at the top level.
        key: String,
        /// What the parser reported.
        detail: String,
    },
    /// A value cannot be used.
    #[error("{file}: {fault}")]
    Invalid {
        /// File.
        file: String,
        /// The fault.
        fault: Fault,
    },
}

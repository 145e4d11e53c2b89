//! Command-line options that all binaries share.

use std::path::PathBuf;

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::load::load;
use crate::load::Check;

/// Exit code for an invalid command line or invalid settings.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// The command line is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{problem}\n{usage}")]
pub struct OptionsError {
    problem: String,
    usage: String,
}

/// Parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to exit after validating the settings.
    pub check: bool,
}

/// What a binary does after parsing its command line and loading its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartAction<T> {
    /// Run the program with these settings.
    Run(T),
    /// Print the text to standard output and exit 0.
    Exit(String),
    /// Print the text to standard error and exit with [`EXIT_BAD_SETTINGS`].
    Fail(String),
}

impl Options {
    /// Parses the arguments after the program name.
    ///
    /// # Errors
    ///
    /// Returns an error that includes the usage text.
    pub fn parse(program: &str, args: &[String]) -> Result<Self, OptionsError> {
        let mut options = getopts::Options::new();
        options.reqopt("s", "settings", "YAML file with the settings", "FILE");
        options.optflag("c", "check", "check the settings and exit");
        let error = |problem: String| OptionsError {
            problem,
            usage: options.usage(&format!("Usage: {program} --settings FILE [--check]")),
        };
        let matches = options.parse(args).map_err(|e| error(e.to_string()))?;
        if let Some(unexpected) = matches.free.first() {
            return Err(error(format!("Argument {unexpected:?} is not expected")));
        }
        Ok(Options {
            settings: matches.opt_str("settings").unwrap_or_default().into(),
            check: matches.opt_present("check"),
        })
    }
}

/// Parses the command line, then loads and validates the settings file that it names.
pub fn load_from_args<T: Check + DeserializeOwned>(
    program: &str,
    args: &[String],
) -> StartAction<T> {
    let options = match Options::parse(program, args) {
        Ok(options) => options,
        Err(e) => return StartAction::Fail(e.to_string()),
    };
    match load(&options.settings) {
        Err(e) => StartAction::Fail(e.to_string()),
        Ok(_) if options.check => StartAction::Exit(format!(
            "{}: settings are valid",
            options.settings.display()
        )),
        Ok(settings) => StartAction::Run(settings),
    }
}

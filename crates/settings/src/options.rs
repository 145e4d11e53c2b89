//! The options that all binaries share.

use std::path::PathBuf;

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::load::load;
use crate::load::Check;

/// Exit code for a wrong command line or bad settings.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// A command line cannot be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{problem}\n{usage}")]
pub struct OptionsError {
    problem: String,
    usage: String,
}

/// Checked command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether to stop after the check.
    pub check: bool,
}

/// What a binary does after its settings were opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Opened<T> {
    /// Run with these settings.
    Run(T),
    /// Print the text to standard output and exit 0.
    Done(String),
    /// Print the text to standard error and exit with [`EXIT_BAD_SETTINGS`].
    Bad(String),
}

impl Options {
    /// Parses the arguments that follow the name of the program.
    ///
    /// # Errors
    ///
    /// Returns an error that contains the usage.
    pub fn parse(program: &str, args: &[String]) -> Result<Self, OptionsError> {
        let mut options = getopts::Options::new();
        options.reqopt("s", "settings", "YAML file with the settings", "FILE");
        options.optflag("c", "check", "check the settings and exit");
        let error = |problem: String| OptionsError {
            problem,
            usage: options.usage(&format!("Usage: {program} --settings FILE [--check]")),
        };
        let matches = options.parse(args).map_err(|e| error(e.to_string()))?;
        if let Some(extra) = matches.free.first() {
            return Err(error(format!("Argument {extra:?} is not expected")));
        }
        Ok(Options {
            settings: matches.opt_str("settings").unwrap_or_default().into(),
            check: matches.opt_present("check"),
        })
    }
}

/// Parses the command line, then loads and checks the settings.
pub fn open<T: Check + DeserializeOwned>(program: &str, args: &[String]) -> Opened<T> {
    let options = match Options::parse(program, args) {
        Ok(options) => options,
        Err(e) => return Opened::Bad(e.to_string()),
    };
    match load(&options.settings) {
        Err(e) => Opened::Bad(e.to_string()),
        Ok(_) if options.check => Opened::Done(format!(
            "{}: settings are valid",
            options.settings.display()
        )),
        Ok(settings) => Opened::Run(settings),
    }
}

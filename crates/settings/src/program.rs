//! The `main` that all programs with settings share.

use std::error::Error;
use std::process::ExitCode;

use crate::options::Opened;
use crate::options::EXIT_BAD_SETTINGS;

/// Runs a program with its settings, or prints what its command line asks for.
pub fn start<T, E: Into<Box<dyn Error>>>(
    opened: Opened<T>,
    run: impl FnOnce(T) -> Result<(), E>,
) -> ExitCode {
    match opened {
        Opened::Done(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Opened::Bad(text) => {
            eprintln!("{text}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
        Opened::Run(settings) => match run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{:#}", error.into());
                ExitCode::FAILURE
            }
        },
    }
}

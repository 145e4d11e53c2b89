//! Entry point shared by all programs that load settings.

use std::error::Error;
use std::process::ExitCode;

use crate::options::StartAction;
use crate::options::EXIT_BAD_SETTINGS;

/// Runs the program with its settings, or prints a text and exits. Errors of `run` are printed to
/// standard error.
pub fn start<T, E: Into<Box<dyn Error>>>(
    action: StartAction<T>,
    run: impl FnOnce(T) -> Result<(), E>,
) -> ExitCode {
    match action {
        StartAction::Exit(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        StartAction::Fail(text) => {
            eprintln!("{text}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
        StartAction::Run(settings) => match run(settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{:#}", error.into());
                ExitCode::FAILURE
            }
        },
    }
}

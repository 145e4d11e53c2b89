//! Generates load, measures routers and prints reports.

use std::env;
use std::process::ExitCode;

use dw_load::run_command;
use dw_load::Command;
use dw_load::Invocation;

/// Exit code for an invalid command line or scenario.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match Command::parse(&args) {
        Ok(Invocation::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Invocation::Run(command)) => match run_command(*command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("dandelionwall-load: {error:#}");
                ExitCode::FAILURE
            }
        },
        Err(error) => {
            eprintln!("dandelionwall-load: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

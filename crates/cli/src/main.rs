//! Entry point of the command-line client.

use std::process::ExitCode;

use dw_cli::run;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(run(&args) as u8)
}

//! Runs the stand-ins of one deployment until it is told to stop.

use std::env;
use std::fs;
use std::process::ExitCode;

use dw_standin::Fleet;
use dw_standin::RunningFleet;
use eyre::WrapErr;
use getopts::Options;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Exit code for wrong options or settings.
const EXIT_USAGE: u8 = 2;

/// The command line after it was checked.
struct Command {
    settings_path: String,
    check: bool,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "settings", "fleet description in YAML", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options
}

/// Parses the command line; `None` means that help was asked for.
fn parse(args: &[String]) -> Result<Option<Command>, String> {
    let matches = options()
        .parse(args)
        .map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let settings_path = matches
        .opt_str("settings")
        .ok_or("--settings FILE is missing; see examples/ for a description")?;
    Ok(Some(Command {
        settings_path,
        check: matches.opt_present("check"),
    }))
}

fn load(path: &str) -> Result<Fleet, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{path}: {error}; name a readable file with --settings"))?;
    Fleet::from_yaml(&text).map_err(|error| format!("{path}: {error}"))
}

async fn serve(fleet: &Fleet) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = RunningFleet::start(fleet)
        .await
        .wrap_err("a stand-in cannot listen; choose another `listen` address")?;
    for (name, addr) in running.addresses() {
        println!("event=listening standin={name} addr={addr}");
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    println!("event=stopped");
    Ok(())
}

fn run() -> eyre::Result<ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    let command = match parse(&args) {
        Ok(Some(command)) => command,
        Ok(None) => {
            print!(
                "{}",
                options().usage("Usage: dandelionwall-standin --settings FILE [--check]")
            );
            return Ok(ExitCode::SUCCESS);
        }
        Err(message) => return Ok(usage(&message)),
    };
    let fleet = match load(&command.settings_path) {
        Ok(fleet) => fleet,
        Err(message) => return Ok(usage(&message)),
    };
    if !command.check {
        tokio::runtime::Runtime::new()?.block_on(serve(&fleet))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn usage(message: &str) -> ExitCode {
    eprintln!("dandelionwall-standin: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn main() -> eyre::Result<ExitCode> {
    run()
}

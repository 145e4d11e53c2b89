//! Runs the stand-ins of a deployment until SIGTERM or SIGINT.

use std::env;
use std::fs;
use std::process::ExitCode;

use dw_standin::Fleet;
use dw_standin::RunningFleet;
use eyre::WrapErr;
use getopts::Options;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Exit code for invalid options or settings.
const EXIT_USAGE: u8 = 2;

/// Parsed command line.
struct Args {
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

/// Parses the command line; returns `None` if help was requested.
fn parse_args(args: &[String]) -> Result<Option<Args>, String> {
    let matches = options()
        .parse(args)
        .map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let settings_path = matches
        .opt_str("settings")
        .ok_or("missing option --settings FILE; see examples/ for fleet descriptions")?;
    Ok(Some(Args {
        settings_path,
        check: matches.opt_present("check"),
    }))
}

fn load_fleet(path: &str) -> Result<Fleet, String> {
    let text = fs::read_to_string(path)
        .map_err(|error| format!("{path}: {error}; specify a readable file with --settings"))?;
    Fleet::from_yaml(&text).map_err(|error| format!("{path}: {error}"))
}

async fn serve(fleet: &Fleet) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = RunningFleet::start(fleet)
        .await
        .wrap_err("cannot start a stand-in; check its `listen` address")?;
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
    let raw_args: Vec<String> = env::args().skip(1).collect();
    let args = match parse_args(&raw_args) {
        Ok(Some(args)) => args,
        Ok(None) => {
            print!(
                "{}",
                options().usage("Usage: dandelionwall-standin --settings FILE [--check]")
            );
            return Ok(ExitCode::SUCCESS);
        }
        Err(message) => return Ok(usage_error(&message)),
    };
    let fleet = match load_fleet(&args.settings_path) {
        Ok(fleet) => fleet,
        Err(message) => return Ok(usage_error(&message)),
    };
    if !args.check {
        tokio::runtime::Runtime::new()?.block_on(serve(&fleet))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("dandelionwall-standin: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn main() -> eyre::Result<ExitCode> {
    run()
}

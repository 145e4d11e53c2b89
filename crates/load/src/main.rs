//! Sends a workload to routers and prints a report.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use dw_load::send;
use dw_load::Deployment;
use dw_load::Report;
use dw_load::Workload;
use dw_load::WorkloadSettings;
use eyre::WrapErr;
use getopts::Matches;
use getopts::Options;

/// Exit code for wrong options.
const EXIT_USAGE: u8 = 2;

/// The command line after it was checked.
struct Command {
    settings: WorkloadSettings,
    routers: Vec<SocketAddr>,
    json_path: Option<String>,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "deployment", "division or letargo", "NAME");
    options.optmulti(
        "",
        "router",
        "address of a router; may be repeated",
        "IP:PORT",
    );
    options.optopt("", "rate", "requests per second (10)", "NUMBER");
    options.optopt("", "seconds", "length (30)", "NUMBER");
    options.optopt("", "seed", "seed of the workload (1)", "NUMBER");
    options.optmulti(
        "",
        "shift",
        "second at which other prefixes become hot",
        "NUMBER",
    );
    options.optopt("", "json", "write the report as JSON", "FILE");
    options.optflag("h", "help", "print this help");
    options
}

fn number<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, String> {
    matches.opt_str(name).map_or(Ok(default), |text| {
        let malformed = |_| format!("--{name} {text:?} is not a number; write digits");
        text.parse().map_err(malformed)
    })
}

fn positive(name: &str, value: f64) -> Result<f64, String> {
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(format!(
        "--{name} {value} is not usable; write a number above 0"
    ))
}

fn seconds(name: &str, value: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(value)
        .map_err(|error| format!("--{name} {value}: {error}; write a number of seconds"))
}

/// Parses the command line; `None` means that help was asked for.
fn parse(args: &[String]) -> Result<Option<Command>, String> {
    let matches = options()
        .parse(args)
        .map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let deployment = matches.opt_str("deployment").unwrap_or_default();
    let deployment: Deployment = deployment
        .parse()
        .map_err(|error| format!("--deployment: {error}"))?;
    let shifts = matches
        .opt_strs_pos("shift")
        .into_iter()
        .map(|(_, text)| {
            let value = text
                .parse()
                .map_err(|_| format!("--shift {text:?}: write a number"))?;
            seconds("shift", value)
        })
        .collect::<Result<Vec<_>, String>>()?;
    let settings = WorkloadSettings::builder()
        .deployment(deployment)
        .seed(number(&matches, "seed", 1)?)
        .rate_per_s(positive("rate", number(&matches, "rate", 10.0)?)?)
        .duration(seconds("seconds", number(&matches, "seconds", 30.0)?)?)
        .shifts(shifts)
        .build();
    let routers = matches
        .opt_strs("router")
        .iter()
        .map(|text| {
            let malformed = |_| format!("--router {text:?} is not an address; write IP:PORT");
            text.parse().map_err(malformed)
        })
        .collect::<Result<Vec<_>, String>>()?;
    if routers.is_empty() {
        return Err("--router is missing; name at least one IP:PORT".to_owned());
    }
    Ok(Some(Command {
        settings,
        routers,
        json_path: matches.opt_str("json"),
    }))
}

fn run() -> eyre::Result<ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    let command = match parse(&args) {
        Ok(Some(command)) => command,
        Ok(None) => {
            let brief = "Usage: dandelionwall-load --deployment NAME --router IP:PORT";
            print!("{}", options().usage(brief));
            return Ok(ExitCode::SUCCESS);
        }
        Err(message) => {
            eprintln!("dandelionwall-load: {message}");
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    let runtime = tokio::runtime::Runtime::new()?;
    let workload = Workload::new(command.settings);
    let samples = runtime.block_on(send(workload, &command.routers))?;
    let report = Report::new(&samples);
    print!("{report}");
    if let Some(path) = command.json_path {
        let json = serde_json::to_string_pretty(&report)?;
        fs::write(&path, json)
            .wrap_err_with(|| format!("{path} cannot be written; choose another --json file"))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> eyre::Result<ExitCode> {
    run()
}

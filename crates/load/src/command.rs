//! Command-line parsing.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use getopts::Matches;
use getopts::Options;
use serde_json::Value;
use thiserror::Error;

use crate::scenario::Case;
use crate::scenario::Fault;
use crate::scenario::Scenario;
use crate::scenario::ScenarioError;

const USAGE: &str = "\
Usage: dandelionwall-load run SCENARIO --router IP:PORT [--json FILE]
       dandelionwall-load experiment SCENARIO [--case NAME] [--policy NAME]
           [--out DIRECTORY] [--json FILE]
       dandelionwall-load streaming [--json FILE]
       dandelionwall-load slopes [--json FILE]
       dandelionwall-load --compare A.json --compare B.json";

/// Error in the command line or in a file that it names.
#[derive(Debug, Error)]
pub enum UsageError {
    /// The options cannot be parsed.
    #[error("{0}; see --help")]
    Options(#[from] getopts::Fail),
    /// An argument is missing, unknown or invalid.
    #[error("{what}: {remedy}")]
    InvalidArgument {
        /// Argument at fault.
        what: String,
        /// Instruction for correcting it.
        remedy: &'static str,
    },
    /// A file cannot be read or parsed.
    #[error("{file}: {detail}; correct this file or name another one")]
    File {
        /// Path of the file.
        file: String,
        /// Cause.
        detail: String,
    },
    /// A scenario file is invalid.
    #[error("{file}: {source}")]
    Scenario {
        /// Path of the file.
        file: String,
        /// Cause.
        source: ScenarioError,
    },
}

/// Work that the command line requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Sends the load of a scenario to routers outside this process.
    Run {
        /// Scenario.
        scenario: Scenario,
        /// Addresses of the routers.
        routers: Vec<SocketAddr>,
    },
    /// Runs a scenario under every policy on a fleet in this process.
    Experiment {
        /// Scenario.
        scenario: Scenario,
        /// Output directory for the plots; none are written if absent.
        out: Option<PathBuf>,
    },
    /// Measures the latency and CPU time that the router adds to streams.
    Streaming,
    /// Measures how CPU time, memory and control traffic scale.
    Slopes,
    /// Prints the ratios between the figures of two reports.
    Compare(Box<[Value; 2]>),
}

/// Validated command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Requested work.
    pub task: Task,
    /// Output file for the JSON report.
    pub json: Option<PathBuf>,
}

/// What the program should do after parsing its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    /// Run this command.
    Run(Box<Command>),
    /// Print this help text.
    Help(String),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "",
        "router",
        "address of a router; may be repeated",
        "IP:PORT",
    );
    options.optmulti("", "case", "run only this case; may be repeated", "NAME");
    options.optmulti(
        "",
        "policy",
        "run only this policy; may be repeated",
        "NAME",
    );
    options.optopt("", "out", "directory for SVG plots", "DIRECTORY");
    options.optopt("", "json", "write the report as JSON", "FILE");
    options.optmulti("", "compare", "report to compare; given twice", "FILE");
    options.optflag("h", "help", "print this help");
    options
}

fn invalid_argument(what: impl Into<String>, remedy: &'static str) -> UsageError {
    UsageError::InvalidArgument {
        what: what.into(),
        remedy,
    }
}

impl Command {
    /// Parses the arguments and reads the files that they name.
    pub fn parse(args: &[String]) -> Result<Invocation, UsageError> {
        let matches = options().parse(args)?;
        if matches.opt_present("help") {
            return Ok(Invocation::Help(options().usage(USAGE)));
        }
        let task = if matches.opt_present("compare") {
            parse_comparison(&matches.opt_strs("compare"))?
        } else {
            parse_task(&matches)?
        };
        let json = matches.opt_str("json").map(PathBuf::from);
        Ok(Invocation::Run(Box::new(Command { task, json })))
    }
}

fn parse_task(matches: &Matches) -> Result<Task, UsageError> {
    let positional: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match positional.as_slice() {
        ["run", file] => {
            let scenario = read_scenario(file)?;
            check_remote_faults(&scenario.cases_or_default())?;
            let routers = parse_routers(matches)?;
            Ok(Task::Run { scenario, routers })
        }
        ["experiment", file] => Ok(Task::Experiment {
            scenario: filter_scenario(read_scenario(file)?, matches)?,
            out: matches.opt_str("out").map(PathBuf::from),
        }),
        ["streaming"] => Ok(Task::Streaming),
        ["slopes"] => Ok(Task::Slopes),
        ["run" | "experiment", ..] => {
            Err(invalid_argument("SCENARIO", "name exactly one YAML file"))
        }
        [] => Err(invalid_argument(
            "no command",
            "write run, experiment, streaming or slopes",
        )),
        [other, ..] => Err(invalid_argument(
            format!("command {other:?}"),
            "write run, experiment, streaming or slopes",
        )),
    }
}

fn parse_value<T: FromStr>(text: &str, name: &str, remedy: &'static str) -> Result<T, UsageError> {
    let parsed = text.parse();
    parsed.map_err(|_| invalid_argument(format!("{name} {text:?}"), remedy))
}

fn parse_routers(matches: &Matches) -> Result<Vec<SocketAddr>, UsageError> {
    let texts = matches.opt_strs("router");
    let routers = texts
        .iter()
        .map(|text| parse_value(text, "--router", "write IP:PORT"));
    let routers = routers.collect::<Result<Vec<_>, _>>()?;
    if routers.is_empty() {
        return Err(invalid_argument(
            "--router is missing",
            "name at least one IP:PORT",
        ));
    }
    Ok(routers)
}

fn read_file(file: &str) -> Result<String, UsageError> {
    fs::read_to_string(file).map_err(|error| UsageError::File {
        file: file.to_owned(),
        detail: error.to_string(),
    })
}

fn read_scenario(file: &str) -> Result<Scenario, UsageError> {
    Scenario::from_yaml(&read_file(file)?).map_err(|source| UsageError::Scenario {
        file: file.to_owned(),
        source,
    })
}

/// Restricts a scenario to the cases and policies given by `--case` and `--policy`.
fn filter_scenario(mut scenario: Scenario, matches: &Matches) -> Result<Scenario, UsageError> {
    let names = matches.opt_strs("case");
    let exists = |name: &&String| {
        scenario
            .cases_or_default()
            .iter()
            .any(|case| case.name == **name)
    };
    if let Some(name) = names.iter().find(|name| !exists(name)) {
        return Err(invalid_argument(
            format!("--case {name:?}"),
            "write the name of a case of the scenario",
        ));
    }
    if !names.is_empty() {
        scenario.cases.retain(|case| names.contains(&case.name));
    }
    let policies = matches.opt_strs("policy");
    if !policies.is_empty() {
        scenario.policies = policies;
    }
    scenario.validate_policies().map_err(|error| match error {
        ScenarioError::Invalid { key, remedy } => invalid_argument(key, remedy),
        other => invalid_argument(other.to_string(), "correct the scenario"),
    })?;
    Ok(scenario)
}

/// Rejects faults of engines and routers, which cannot be injected into another process.
fn check_remote_faults(cases: &[Case]) -> Result<(), UsageError> {
    let mut faults = cases.iter().flat_map(|case| &case.faults);
    if faults.all(Fault::is_load_change) {
        return Ok(());
    }
    Err(invalid_argument(
        "faults of engines or routers",
        "use the experiment command, or keep only shift and load",
    ))
}

fn parse_comparison(files: &[String]) -> Result<Task, UsageError> {
    let [first, second] = files else {
        return Err(invalid_argument("--compare", "name exactly two reports"));
    };
    let value = |file: &String| -> Result<Value, UsageError> {
        serde_json::from_str(&read_file(file)?).map_err(|error| UsageError::File {
            file: file.clone(),
            detail: error.to_string(),
        })
    };
    Ok(Task::Compare(Box::new([value(first)?, value(second)?])))
}

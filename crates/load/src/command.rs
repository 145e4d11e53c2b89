//! The command line.

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

/// Why a command line is refused.
#[derive(Debug, Error)]
pub enum UsageError {
    /// Options are wrong.
    #[error("{0}; see --help")]
    Options(#[from] getopts::Fail),
    /// Something is missing, unknown or not usable.
    #[error("{what}: {remedy}")]
    InvalidArgument {
        /// What is wrong.
        what: String,
        /// What to do.
        remedy: &'static str,
    },
    /// A file cannot be used.
    #[error("{file}: {detail}; correct this file or name another one")]
    File {
        /// File.
        file: String,
        /// Cause.
        detail: String,
    },
    /// A scenario is not valid.
    #[error("{file}: {source}")]
    Scenario {
        /// File.
        file: String,
        /// Cause.
        source: ScenarioError,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Send the load of a scenario to routers that run elsewhere.
    Run {
        /// Scenario.
        scenario: Scenario,
        /// Routers.
        routers: Vec<SocketAddr>,
    },
    /// Run a scenario under every policy in this process.
    Experiment {
        /// Scenario.
        scenario: Scenario,
        /// Directory for plots.
        out: Option<PathBuf>,
    },
    /// Measure the router's part of the latency and CPU of streams.
    Streaming,
    /// Measure how CPU, memory and control traffic grow.
    Slopes,
    /// Print the ratios of two reports.
    Compare(Box<[Value; 2]>),
}

/// The command line after it was checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// What to do.
    pub task: Task,
    /// File for the report as JSON.
    pub json: Option<PathBuf>,
}

/// Result of parsing.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    /// Run a command.
    Run(Box<Command>),
    /// Print a text.
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
    /// Parses a command line and reads the files that it names.
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

/// Keeps the cases and policies that the options name.
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

/// Only faults of the load can be caused in a fleet that runs elsewhere.
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

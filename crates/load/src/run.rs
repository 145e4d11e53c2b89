//! Executes the commands of the command line.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use dw_standin::Fleet;
use eyre::WrapErr;
use serde::Serialize;

use crate::command::Command;
use crate::command::Task;
use crate::compare::compare;
use crate::experiment::fleet_description;
use crate::experiment::ExperimentRunner;
use crate::measurement::Experiment;
use crate::plot::plot;
use crate::progress::Progress;
use crate::report::Report;
use crate::scenario::seconds;
use crate::scenario::Scenario;
use crate::sender::send_scaled;
use crate::sender::Routers;
use crate::slopes::measure_slopes;
use crate::streaming::measure_streaming;
use crate::workload::Arrival;
use crate::workload::Workload;

/// Executes a command and prints its results to standard output.
///
/// # Errors
///
/// Returns an error if a scenario cannot be run, a cluster cannot be started or a file cannot be
/// written.
pub fn run_command(command: Command) -> eyre::Result<()> {
    let json = command.json.as_deref();
    let runtime = tokio::runtime::Runtime::new()?;
    match command.task {
        Task::Run { scenario, routers } => {
            let report = runtime.block_on(run_remote(&scenario, routers))?;
            print!("{report}");
            write_json(json, &report)
        }
        Task::Experiment { scenario, out } => {
            let _logs = dw_telem::start_logs(log::LevelFilter::Error, io::stderr())?;
            let runner = ExperimentRunner::new(scenario)?;
            let experiment = runtime.block_on(runner.run())?;
            print!("{experiment}");
            write_json(json, &experiment)?;
            match out {
                Some(dir) => write_plots(&experiment, &dir),
                None => Ok(()),
            }
        }
        Task::Streaming => {
            let report = measure_streaming()?;
            print!("{report}");
            write_json(json, &report)
        }
        Task::Slopes => {
            let slopes = measure_slopes()?;
            println!("{}", serde_json::to_string_pretty(&slopes)?);
            write_json(json, &slopes)
        }
        Task::Compare(reports) => {
            let [first, second] = reports.as_ref();
            for comparison in compare(first, second) {
                let ratio = comparison
                    .ratio()
                    .map_or("-".to_owned(), |r| format!("{r:.3}"));
                let (first, second) = (comparison.first, comparison.second);
                println!(
                    "{ratio:>9}  {first:>14.3} {second:>14.3}  {}",
                    comparison.path
                );
            }
            Ok(())
        }
    }
}

async fn run_remote(scenario: &Scenario, addrs: Vec<SocketAddr>) -> eyre::Result<Report> {
    let fleet = Fleet::from_yaml(&fleet_description(scenario)?)?;
    let capacity = scenario.capacity(&fleet);
    let cases = scenario.cases_or_default();
    let runs = cases.len() * scenario.seeds.len();
    let progress = Progress::new(runs as u64, scenario.duration_s);
    let routers = Routers::new(addrs);
    let mut samples = Vec::new();
    for case in &cases {
        for seed in &scenario.seeds {
            progress.start_run(&case.name);
            let workload = Workload::new(scenario.workload(case, *seed, &capacity));
            let on_sent = |arrival: &Arrival| progress.set_elapsed(arrival.at);
            samples.extend(send_scaled(workload, &routers, scenario.speedup, on_sent).await?);
        }
    }
    progress.finish();
    samples.retain(|sample| sample.at >= seconds(scenario.warm_up_s));
    Ok(Report::new(&samples))
}

fn write_json(path: Option<&Path>, report: &impl Serialize) -> eyre::Result<()> {
    let Some(path) = path else {
        return Ok(());
    };
    let json = serde_json::to_string_pretty(report)?;
    fs::write(path, json).wrap_err_with(|| {
        let path = path.display();
        format!("{path} cannot be written; choose another --json file")
    })
}

fn write_plots(experiment: &Experiment, dir: &Path) -> eyre::Result<()> {
    fs::create_dir_all(dir).wrap_err_with(|| {
        let dir = dir.display();
        format!("{dir} cannot be created; choose another --out directory")
    })?;
    Ok(plot(experiment, dir)?)
}

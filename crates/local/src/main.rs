//! Starts both deployments in one process.

use std::io;
use std::process::ExitCode;

use dw_local::run_examples;
use dw_local::Cluster;
use dw_local::Table;
use dw_local::DIVISION;
use dw_local::LETARGO;
use dw_local::OPERATOR_TOKEN;
use dw_local::TOKEN;
use dw_settings::EXIT_BAD_SETTINGS;
use dw_telem::start_logs;

const PROGRAM: &str = "dandelionwall-local";

/// Checked command line.
struct Options {
    once: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = match parse(&args) {
        Ok(options) => options,
        Err(text) => {
            eprintln!("{text}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse(args: &[String]) -> Result<Options, String> {
    let mut options = getopts::Options::new();
    options.optflag(
        "",
        "once",
        "send the example requests, print a table and exit",
    );
    let usage = options.usage(&format!("Usage: {PROGRAM} [--once]"));
    let matches = options.parse(args).map_err(|e| format!("{e}\n{usage}"))?;
    match matches.free.first() {
        Some(extra) => Err(format!("Argument {extra:?} is not expected\n{usage}")),
        None => Ok(Options {
            once: matches.opt_present("once"),
        }),
    }
}

fn run(options: &Options) -> eyre::Result<()> {
    let _logs = start_logs(log::LevelFilter::Warn, io::stderr())?;
    tokio::runtime::Runtime::new()?.block_on(serve(options))
}

async fn serve(options: &Options) -> eyre::Result<()> {
    let mut clusters = Vec::new();
    for description in [DIVISION, LETARGO] {
        let cluster = Cluster::start(description).await?;
        println!(
            "{}: callers http://{} token {TOKEN}",
            cluster.name(),
            cluster.router().callers_addr()
        );
        if let Some(admin) = cluster.router().admin_addr() {
            println!("    administration {admin} operator token {OPERATOR_TOKEN}");
        }
        clusters.push(cluster);
    }
    let result = if options.once {
        show_examples(&clusters).await
    } else {
        Ok(tokio::signal::ctrl_c().await?)
    };
    for cluster in clusters {
        cluster.shutdown().await;
    }
    result
}

async fn show_examples(clusters: &[Cluster]) -> eyre::Result<()> {
    let mut table = Table::default();
    for cluster in clusters {
        table.0.extend(run_examples(cluster).await?);
    }
    println!("\n{table}");
    let failed = table.0.iter().filter(|row| !row.complete).count();
    eyre::ensure!(
        failed == 0,
        "{failed} example requests failed; see the table"
    );
    Ok(())
}

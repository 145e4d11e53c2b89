//! The agent beside each upstream.

use std::io;
use std::process::ExitCode;

use dw_agent::ProcessSettings;
use dw_settings::load_from_args;
use dw_settings::start;

const PROGRAM: &str = "dandelionwall-agent";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    start(load_from_args::<ProcessSettings>(PROGRAM, &args), run)
}

fn run(settings: ProcessSettings) -> eyre::Result<()> {
    let _logs = dw_telem::start_logs(log::LevelFilter::Info, io::stderr())?;
    let _spans = match &settings.otlp {
        Some(endpoint) => Some(dw_spans::start_spans(PROGRAM, endpoint)?),
        None => None,
    };
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(dw_agent::run(settings))
}

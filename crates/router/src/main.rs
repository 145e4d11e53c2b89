//! The router process.

use std::fs;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use dw_api::vms::VmList;
use dw_config::Config;
use dw_config::FixedConfig;
use dw_place::RoundRobin;
use dw_router::FixedVms;
use dw_router::Parts;
use dw_router::Router;
use dw_router::Settings;
use dw_settings::open;
use dw_settings::Opened;
use dw_settings::EXIT_BAD_SETTINGS;
use dw_telem::start_logs;
use dw_telem::start_spans;
use eyre::WrapErr;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

const PROGRAM: &str = "dandelionwall-router";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let settings = match open::<Settings>(PROGRAM, &args) {
        Opened::Run(settings) => settings,
        Opened::Done(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        Opened::Bad(text) => {
            eprintln!("{text}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: Settings) -> eyre::Result<()> {
    let _logs = start_logs(log::LevelFilter::Info, io::stderr())?;
    let _spans = match &settings.otlp {
        Some(endpoint) => Some(start_spans(PROGRAM, endpoint)?),
        None => None,
    };
    let config = read_config(&settings)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(serve(settings, config))
}

fn read_config(settings: &Settings) -> eyre::Result<Config> {
    let Some(path) = &settings.config_file else {
        return Ok(Config::default());
    };
    let text = fs::read(path).wrap_err_with(|| format!("config_file {}", path.display()))?;
    serde_json::from_slice(&text).wrap_err_with(|| format!("config_file {}", path.display()))
}

async fn serve(settings: Settings, config: Config) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let peers = settings.peers.clone().unwrap_or(VmList {
        as_of_ms: 0,
        seq: 0,
        vms: Vec::new(),
    });
    let parts = Parts::builder()
        .settings(settings)
        .config(Arc::new(FixedConfig::new(config)))
        .vms(Arc::new(FixedVms(peers)))
        .policy(Box::new(RoundRobin::default()))
        .build();
    let router = Router::start(parts).await?;
    terminate.recv().await;
    router.shutdown().await;
    Ok(())
}

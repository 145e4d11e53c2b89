//! The sidecar process.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use dw_base::BootClock;
use dw_platform::open;
use dw_platform::Declarations;
use dw_platform::EngineCalls;
use dw_platform::Options;
use dw_settings::start;
use dw_sidecar::Sidecar;
use dw_sidecar::SidecarParts;
use dw_sidecar::StartError;
use dw_telem::start_logs;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::task::LocalSet;

const PROGRAM: &str = "dandelionwall-sidecar";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    start(open(PROGRAM, &args), run)
}

fn run(options: Options) -> eyre::Result<()> {
    let _logs = start_logs(log::LevelFilter::Info, io::stdout())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(options))
}

async fn serve(options: Options) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    // The sidecar takes its settings at its start; a changed file must not end it.
    let mut hang_up = signal(SignalKind::hangup())?;
    let table = options.boot.table;
    let engine = options.boot.engine.ok_or(StartError::NoEngine)?;
    let _sidecar = Sidecar::start(SidecarParts {
        boot: options.boot,
        clock: Arc::new(BootClock::new()),
        engine: Box::new(EngineCalls::new(engine)),
        declarations: Box::new(Declarations::new(table)),
    })
    .await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => log::info!("settings changed; they are read at the next start"),
        }
    }
    log::info!("sidecar stops");
    Ok(())
}

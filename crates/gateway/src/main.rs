//! The gateway process.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use dw_base::BootClock;
use dw_gateway::Gateway;
use dw_gateway::GatewayParts;
use dw_platform::open;
use dw_platform::Declarations;
use dw_platform::NamingRows;
use dw_platform::Options;
use dw_platform::PlatformCodec;
use dw_platform::Registrations;
use dw_settings::start;
use dw_telem::start_logs;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::task::LocalSet;

const PROGRAM: &str = "dandelionwall-gateway";

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
    let mut hang_up = signal(SignalKind::hangup())?;
    let table = options.boot.table;
    let gateway = Gateway::start(GatewayParts {
        boot: options.boot,
        boot_path: options.path,
        metrics_port: options.metrics_port,
        clock: Arc::new(BootClock::new()),
        codec: Arc::new(PlatformCodec),
        declarations: Box::new(Declarations::new(table)),
        registrations: Box::new(Registrations::new(table)),
        naming_times: Box::new(NamingRows::new(table)),
    })
    .await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => gateway.reload(),
        }
    }
    gateway.shutdown().await;
    Ok(())
}

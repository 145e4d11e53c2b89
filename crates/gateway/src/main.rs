//! The gateway process.

use std::process::ExitCode;
use std::sync::Arc;

use dw_base::BootClock;
use dw_gateway::Gateway;
use dw_gateway::GatewayParts;
use dw_platform::open;
use dw_platform::Declarations;
use dw_platform::NamingRows;
use dw_platform::Options;
use dw_platform::OriginRows;
use dw_platform::PlatformCodec;
use dw_platform::QuarantineRows;
use dw_platform::Registrations;
use dw_platform::StoreProxies;
use dw_process::run_local;
use dw_process::Signals;
use dw_settings::start;

const PROGRAM: &str = "dandelionwall-gateway";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    start(open(PROGRAM, &args), run)
}

fn run(options: Options) -> eyre::Result<()> {
    run_local(|signals| serve(options, signals))
}

async fn serve(options: Options, mut signals: Signals) -> eyre::Result<()> {
    let table = options.boot.table;
    let gateway = Gateway::start(GatewayParts {
        boot: options.boot,
        boot_path: options.path,
        metrics_port: options.metrics_port,
        mixed_prompts: options.mixed_prompts,
        explain: options.explain,
        clock: Arc::new(BootClock::new()),
        codec: Arc::new(PlatformCodec),
        declarations: Box::new(Declarations::new(table)),
        registrations: Box::new(Registrations::new(table)),
        proxies: Arc::new(StoreProxies),
        declaration_times: Box::new(NamingRows::new(table)),
        quarantine: Box::new(QuarantineRows::new(table)),
        origins: Box::new(OriginRows::new(table)),
    })
    .await?;
    signals.wait_for_sigterm(|| gateway.reload()).await;
    gateway.shutdown().await;
    Ok(())
}

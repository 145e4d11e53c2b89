//! The sidecar process.

use std::process::ExitCode;
use std::sync::Arc;

use dw_base::BootClock;
use dw_platform::open;
use dw_platform::Declarations;
use dw_platform::EngineCalls;
use dw_platform::KvEvents;
use dw_platform::Options;
use dw_platform::StoreProxy;
use dw_process::run_local;
use dw_process::Signals;
use dw_settings::start;
use dw_sidecar::Sidecar;
use dw_sidecar::SidecarParts;
use dw_sidecar::StartError;

const PROGRAM: &str = "dandelionwall-sidecar";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    start(open(PROGRAM, &args), run)
}

fn run(options: Options) -> eyre::Result<()> {
    run_local(|signals| serve(options, signals))
}

async fn serve(options: Options, mut signals: Signals) -> eyre::Result<()> {
    let table = options.boot.table;
    let engine = options.boot.engine.ok_or(StartError::NoEngine)?;
    let grace_ms = options.boot.bounds.grace_ms;
    let sidecar = Sidecar::start(SidecarParts {
        boot: options.boot,
        metrics_port: options.metrics_port,
        clock: Arc::new(BootClock::new()),
        engine: Box::new(EngineCalls::new(engine)),
        cache: Box::new(KvEvents::new(engine)),
        declarations: Box::new(Declarations::new(table)),
        table_proxy: Box::new(move || Box::new(StoreProxy::new(table))),
        stores: Box::new(|store| Box::new(KvEvents::new(store))),
    })
    .await?;
    // Settings are read only at the start; a changed settings file must not stop the process.
    let on_reload =
        || log::info!("settings file changed; the change takes effect at the next start");
    signals.wait_for_sigterm(on_reload).await;
    let handing_over = sidecar.shutdown();
    if tokio::time::timeout(grace_ms.into(), handing_over)
        .await
        .is_err()
    {
        log::warn!("origins of streams were not handed over in time");
    }
    log::info!("stopping sidecar");
    Ok(())
}

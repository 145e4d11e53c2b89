//! The router process.

use std::fs;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use dw_api::vms::VmList;
use dw_config::Config;
use dw_config::FixedConfig;
use dw_place::Nested;
use dw_place::NestedSettings;
use dw_place::Policy;
use dw_router::FixedVms;
use dw_router::Parts;
use dw_router::Router;
use dw_router::Settings;
use dw_router::Store;
use dw_router::SyncedParts;
use dw_router::SyncedRouter;
use dw_settings::load_from_args;
use dw_settings::start;
use dw_spans::start_spans;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::HttpVms;
use dw_store::NodeBudget;
use dw_telem::start_logs;
use eyre::WrapErr;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

/// Reads per second of this node; 1,120 nodes share about 2,000 and most read every 4 s.
const READS_PER_S: f64 = 20.0;

/// Writes per second of this node; a router writes only operators' changes and snapshots.
const WRITES_PER_S: f64 = 10.0;

const PROGRAM: &str = "dandelionwall-router";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    start(load_from_args::<Settings>(PROGRAM, &args), run)
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
    match settings.store.clone() {
        Some(store) => {
            let router = start_synced(settings, &store).await?;
            terminate.recv().await;
            router.shutdown().await;
        }
        None => {
            let router = start_fixed(settings, config).await?;
            terminate.recv().await;
            router.shutdown().await;
        }
    }
    Ok(())
}

/// Starts a router whose configuration and peers come from its settings.
async fn start_fixed(settings: Settings, config: Config) -> eyre::Result<Router> {
    let parts = Parts::builder()
        .settings(settings)
        .config(Arc::new(FixedConfig::new(config)))
        .vms(Arc::new(FixedVms(VmList {
            as_of_ms: 0,
            seq: 0,
            vms: Vec::new(),
        })))
        .policy(policy())
        .build();
    Ok(Router::start(parts).await?)
}

/// Starts a router that keeps its configuration current.
async fn start_synced(settings: Settings, store: &Store) -> eyre::Result<SyncedRouter> {
    let budget = Arc::new(NodeBudget::new(READS_PER_S, WRITES_PER_S));
    let endpoint = |addr: dw_settings::Addr| Endpoint {
        addr: addr.0,
        deadline: store.wait.0,
        budget: budget.clone(),
    };
    let parts = SyncedParts::builder()
        .settings(settings)
        .table(Arc::new(HttpTable::new(endpoint(store.table))))
        .objects(Arc::new(HttpObjects::new(endpoint(store.objects))))
        .vms(Arc::new(HttpVms::new(endpoint(store.vms))))
        .policy(policy())
        .build();
    Ok(SyncedRouter::start(parts).await?)
}

fn policy() -> Box<dyn Policy> {
    Box::new(Nested::new(NestedSettings::with_kv_store()))
}

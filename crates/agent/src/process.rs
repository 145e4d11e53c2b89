//! The agent as a process of its own.

use std::fs;
use std::sync::Arc;

use dw_admit::Fifo;
use dw_admit::Gate;
use dw_config::Config;
use dw_config::FixedConfig;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::HttpVms;
use dw_store::NodeBudget;
use eyre::eyre;
use eyre::WrapErr;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use crate::agent::Agent;
use crate::parts::FixedPeer;
use crate::parts::Parts;
use crate::settings::ProcessSettings;
use crate::settings::Settings;

/// Runs an agent until SIGTERM or SIGINT, and returns after its work is finished.
///
/// # Errors
///
/// Returns an error if the agent cannot start.
pub async fn run(settings: ProcessSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let file = &settings.config_file;
    let json = fs::read(file)
        .wrap_err_with(|| format!("config_file {}: check the path", file.display()))?;
    let config: Config = serde_json::from_slice(&json)
        .wrap_err_with(|| format!("config_file {}: correct the file", file.display()))?;
    let gate = gate(&settings.agent, &config)?;
    let platform = settings.platform;
    let budget = Arc::new(NodeBudget::new(platform.reads_per_s, platform.writes_per_s));
    let endpoint = |addr: dw_settings::Addr| Endpoint {
        addr: addr.0,
        deadline: platform.deadline.0,
        budget: Arc::clone(&budget),
    };
    let parts = Parts::builder()
        .peer(Arc::new(FixedPeer(config.version)))
        .config(Arc::new(FixedConfig::new(config)))
        .table(Arc::new(HttpTable::new(endpoint(platform.table_addr))))
        .objects(Arc::new(HttpObjects::new(endpoint(platform.objects_addr))))
        .vms(Arc::new(HttpVms::new(endpoint(platform.vms_addr))))
        .gate(gate)
        .settings(settings.agent)
        .build();
    let agent = Agent::start(parts).await?;
    log::info!(
        "event=started data_addr={} control_addr={}",
        agent.data_addr(),
        agent.control_addr()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    agent.shutdown().await;
    Ok(())
}

fn gate(settings: &Settings, config: &Config) -> eyre::Result<Box<dyn Gate>> {
    let name = &settings.upstream;
    let declared = config.upstream(name).ok_or_else(|| {
        eyre!("upstream {name} is not declared; declare it or correct agent.upstream")
    })?;
    Ok(Box::new(Fifo::new(
        declared.max_batch,
        settings.max_queued,
        declared.prefill_tokens_per_s,
        declared.decode_tokens_per_s,
    )))
}

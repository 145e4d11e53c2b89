//! The agent as a process of its own.

use std::sync::Arc;

use dw_admit::Gate;
use dw_base::Clock;
use dw_base::Incarnation;
use dw_base::SystemClock;
use dw_config::ConfigSource;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::HttpVms;
use dw_store::NodeBudget;
use dw_store::Objects;
use dw_store::Table;
use dw_store::VmSource;
use dw_sync::ConfigNode;
use eyre::eyre;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use crate::agent::Agent;
use crate::follow::ConfigFollower;
use crate::follow::FollowParts;
use crate::gate::gate_for;
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
    let platform = settings.platform;
    let budget = Arc::new(NodeBudget::new(platform.reads_per_s, platform.writes_per_s));
    let endpoint = |addr: dw_settings::Addr| Endpoint {
        addr: addr.0,
        deadline: platform.deadline.0,
        budget: Arc::clone(&budget),
    };
    let table: Arc<dyn Table> = Arc::new(HttpTable::new(endpoint(platform.table_addr)));
    let objects: Arc<dyn Objects> = Arc::new(HttpObjects::new(endpoint(platform.objects_addr)));
    let vms: Arc<dyn VmSource> = Arc::new(HttpVms::new(endpoint(platform.vms_addr)));
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
    let incarnation = Incarnation(clock.now().0);
    let agent = settings.agent;
    let follow = FollowParts::builder()
        .node(agent.node.clone())
        .incarnation(incarnation)
        .peers(agent.peers.iter().map(|peer| peer.0).collect())
        .table(Arc::clone(&table))
        .objects(Arc::clone(&objects))
        .vms(Arc::clone(&vms))
        .clock(Arc::clone(&clock))
        .build();
    let follower = ConfigFollower::start(follow).await;
    let node = Arc::clone(follower.node());
    let gate = tokio::select! {
        gate = gate(&agent, node.as_ref()) => gate?,
        _ = terminate.recv() => return Ok(()),
        _ = interrupt.recv() => return Ok(()),
    };
    let parts = Parts::builder()
        .config(node.clone())
        .peer(node)
        .table(table)
        .objects(objects)
        .vms(vms)
        .clock(clock)
        .incarnation(incarnation)
        .gate(gate)
        .settings(agent)
        .build();
    let agent = Agent::start(parts).await?;
    log::info!(
        "event=started data_addr={} control_addr={} metrics_addr={}",
        agent.data_addr(),
        agent.control_addr(),
        agent
            .metrics_addr()
            .map_or_else(|| "none".to_owned(), |addr| addr.to_string())
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    agent.shutdown().await;
    Ok(())
}

/// Waits until the upstream is declared, because its declaration bounds the batch.
async fn gate(settings: &Settings, config: &ConfigNode) -> eyre::Result<Box<dyn Gate>> {
    let mut changes = config.changes();
    let config = changes
        .wait_for(|config| config.upstream(&settings.upstream).is_some())
        .await?;
    let declared = config
        .upstream(&settings.upstream)
        .ok_or_else(|| eyre!("upstream {} is not declared", settings.upstream))?;
    Ok(gate_for(settings, declared))
}

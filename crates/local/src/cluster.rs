//! One deployment: stand-ins, agents and a router.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dw_agent::Agent;
use dw_agent::FixedPeer;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::DurationMs;
use dw_config::Config;
use dw_config::FixedConfig;
use dw_config::Upstream;
use dw_place::Nested;
use dw_place::NestedSettings;
use dw_router::Parts;
use dw_router::Router;
use dw_standin::Fleet;
use dw_standin::RunningFleet;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::HttpVms;
use dw_store::NodeBudget;

use crate::config::declare;

/// Pause between two looks at the agents.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Longest wait for all agents to take work.
const READY_WAIT: Duration = Duration::from_secs(30);

/// Longest call of a stand-in of the platform.
const STORE_WAIT_MS: DurationMs = DurationMs(2_000);

/// Calls per second of one node, enough for every role.
const CALLS_PER_S: f64 = 200.0;

/// One deployment in this process.
pub struct Cluster {
    name: String,
    router: Router,
    agents: Vec<Agent>,
    fleet: RunningFleet,
}

impl Cluster {
    /// Starts all stand-ins, one agent beside each upstream, and a router.
    ///
    /// # Errors
    ///
    /// Returns an error if the description is not valid, an address cannot be bound, or an agent
    /// does not become ready.
    pub async fn start(description: &str) -> eyre::Result<Cluster> {
        let mut fleet = Fleet::from_yaml(description)?;
        // A newcomer should not wait until the list shows the agents.
        fleet.vms.lag_ms = 0;
        let config = declare(&fleet)?;
        let running = RunningFleet::start(&fleet).await?;
        let mut agents = Vec::new();
        let mut vms = Vec::new();
        for upstream in config.upstreams() {
            let agent = start_agent(upstream, &config, &running).await?;
            vms.push(vm(upstream, &agent));
            agents.push(agent);
        }
        running.vms.state.set_vms(vms);
        wait_ready(&agents).await?;
        let router = start_router(&fleet, config, &running).await?;
        Ok(Cluster {
            name: fleet.deployment,
            router,
            agents,
            fleet: running,
        })
    }

    /// Returns the name of the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the stand-ins.
    pub fn fleet(&self) -> &RunningFleet {
        &self.fleet
    }

    /// Drains the router, then the agents.
    pub async fn shutdown(self) {
        self.router.shutdown().await;
        for agent in self.agents {
            agent.shutdown().await;
        }
    }
}

fn endpoint(addr: SocketAddr) -> Endpoint {
    Endpoint {
        addr,
        deadline: STORE_WAIT_MS,
        budget: Arc::new(NodeBudget::new(CALLS_PER_S, CALLS_PER_S)),
    }
}

fn upstream_addr(upstream: &Upstream, fleet: &RunningFleet) -> eyre::Result<SocketAddr> {
    let name = upstream.name.as_str();
    let engine = fleet.engines.get(name).map(|s| s.running.addr());
    let service = || fleet.services.get(name).map(|s| s.running.addr());
    engine
        .or_else(service)
        .ok_or_else(|| eyre::eyre!("upstream {name} has no stand-in"))
}

async fn start_agent(
    upstream: &Upstream,
    config: &Config,
    fleet: &RunningFleet,
) -> eyre::Result<Agent> {
    let settings = format!(
        "{{node: agent-{name}, data_centre: {dc}, upstream: {name}, upstream_addr: '{addr}', \
         data_addr: '127.0.0.1:0', control_addr: '127.0.0.1:0'}}",
        name = upstream.name,
        dc = upstream.data_centre,
        addr = upstream_addr(upstream, fleet)?,
    );
    let settings = dw_agent::Settings::parse("agent", &settings)?;
    let gate = dw_agent::gate_for(&settings, upstream);
    let parts = dw_agent::Parts::builder()
        .settings(settings)
        .config(Arc::new(FixedConfig::new(config.clone())))
        .peer(Arc::new(FixedPeer(config.version)))
        .table(Arc::new(HttpTable::new(endpoint(
            fleet.table.running.addr(),
        ))))
        .objects(Arc::new(HttpObjects::new(endpoint(
            fleet.objects.running.addr(),
        ))))
        .gate(gate)
        .build();
    Ok(Agent::start(parts).await?)
}

fn vm(upstream: &Upstream, agent: &Agent) -> Vm {
    Vm {
        name: format!("agent-{}", upstream.name),
        role: VmRole::Agent,
        state: VmState::Live,
        data_centre: upstream.data_centre.to_string(),
        data_addr: agent.data_addr().to_string(),
        control_addr: agent.control_addr().to_string(),
        upstream: Some(upstream.name.to_string()),
    }
}

async fn wait_ready(agents: &[Agent]) -> eyre::Result<()> {
    let ready = async {
        while !agents.iter().all(|agent| agent.status().accepting) {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    let waited = tokio::time::timeout(READY_WAIT, ready).await;
    waited.map_err(|_| {
        let waiting = agents.iter().map(Agent::status).filter(|s| !s.accepting);
        let names: Vec<_> = waiting.map(|s| s.upstream.to_string()).collect();
        eyre::eyre!("upstreams do not take work: {}", names.join(", "))
    })
}

async fn start_router(
    fleet: &Fleet,
    config: Config,
    running: &RunningFleet,
) -> eyre::Result<Router> {
    let data_centre = fleet
        .engines
        .first()
        .map_or("local", |engine| engine.data_centre.as_str());
    let settings = format!(
        "{{node: router-1, data_centre: {data_centre}, listen: '127.0.0.1:0', \
         control: '127.0.0.1:0', admin: '127.0.0.1:0'}}"
    );
    let parts = Parts::builder()
        .settings(dw_settings::from_text("router", &settings)?)
        .config(Arc::new(FixedConfig::new(config)))
        .vms(Arc::new(HttpVms::new(endpoint(running.vms.running.addr()))))
        .policy(Box::new(Nested::new(NestedSettings::with_kv_store())))
        .build();
    Ok(Router::start(parts).await?)
}

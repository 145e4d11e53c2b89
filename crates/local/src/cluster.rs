//! One deployment: stand-ins, agents and a router.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use dw_admit::Gate;
use dw_agent::Agent;
use dw_agent::ConfigFollower;
use dw_agent::FollowParts;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::Incarnation;
use dw_base::NodeId;
use dw_base::SystemClock;
use dw_config::Change;
use dw_config::Config;
use dw_config::Edit;
use dw_config::Upstream;
use dw_router::Router;
use dw_router::SyncedParts;
use dw_router::SyncedRouter;
use dw_standin::Fleet;
use dw_standin::RunningFleet;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::HttpVms;
use dw_store::NodeBudget;
use dw_store::Objects;
use dw_telem::Metrics;
use tokio::runtime::Handle;

use crate::choice::GateName;
use crate::choice::PolicyName;
use crate::config::declare;
use crate::config::token_sha256;
use crate::config::OPERATOR_TOKEN;
use crate::config::ORGANISATION;
use crate::config::TOKEN;
use crate::no_objects::NoObjects;
use crate::statements::statements;

/// Pause between two looks at the agents.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Longest wait for all agents to take work.
const READY_WAIT: Duration = Duration::from_secs(30);

/// Longest call of a stand-in of the platform.
const STORE_WAIT_MS: DurationMs = DurationMs(2_000);

/// Calls per second of one node, enough for every role.
const CALLS_PER_S: f64 = 200.0;

/// How a cluster is started.
#[derive(Builder, Clone, Debug)]
pub struct ClusterSettings {
    /// Description of the stand-ins in YAML.
    #[builder(into)]
    pub description: String,
    /// Routers.
    #[builder(default = 1)]
    pub routers: usize,
    /// Placement policy.
    #[builder(default)]
    pub policy: PolicyName,
    /// Admission gate of the agents.
    #[builder(default)]
    pub gate: GateName,
    /// Whether agents exchange cache pieces with the KV store.
    #[builder(default = true)]
    pub kv_import: bool,
    /// Factor by which engines, services and the limits of the platform are faster.
    #[builder(default = 1.0)]
    pub speedup: f64,
    /// Names and tokens of the organisations.
    #[builder(default = vec![(ORGANISATION.to_owned(), TOKEN.to_owned())])]
    pub organisations: Vec<(String, String)>,
    /// Worth of one answer by service, 1 for the others.
    #[builder(default)]
    pub worths: BTreeMap<String, f64>,
    /// Seed of the placement policies.
    #[builder(default = 1)]
    pub seed: u64,
    /// Runtime on which the routers run; the current one if absent.
    pub router_runtime: Option<Handle>,
    /// Runtime on which the agents run; the current one if absent.
    pub agent_runtime: Option<Handle>,
}

/// One deployment in this process.
pub struct Cluster {
    name: String,
    settings: ClusterSettings,
    data_centre: String,
    routers: Vec<SyncedRouter>,
    metrics: Vec<Metrics>,
    agents: Vec<Agent>,
    followers: Vec<ConfigFollower>,
    agent_vms: Vec<Vm>,
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
        let settings = ClusterSettings::builder().description(description);
        Cluster::start_with(settings.build()).await
    }

    /// Starts all stand-ins, one agent beside each upstream, and the routers.
    ///
    /// # Errors
    ///
    /// Returns an error if the description is not valid, an address cannot be bound, or an agent
    /// does not become ready.
    pub async fn start_with(settings: ClusterSettings) -> eyre::Result<Cluster> {
        let mut fleet = Fleet::from_yaml(&settings.description)?;
        // A newcomer should not wait until the list shows the agents.
        fleet.vms.lag_ms = 0;
        speed_up(&mut fleet, settings.speedup);
        let config = declare(&declared(&fleet), &settings)?;
        let running = RunningFleet::start(&fleet).await?;
        let (mut agents, mut followers) = (Vec::new(), Vec::new());
        let mut agent_vms = Vec::new();
        for upstream in config.upstreams() {
            let start = start_agent(agent_start(upstream, &running, &settings)?);
            let (agent, follower) = on_runtime(settings.agent_runtime.as_ref(), start).await??;
            agent_vms.push(vm(upstream, &agent));
            agents.push(agent);
            followers.push(follower);
        }
        // A router reads the list at its start.
        running.vms.state.set_vms(agent_vms.clone());
        let first = fleet.engines.first();
        let data_centre = first.map_or("local", |engine| engine.data_centre.as_str());
        let mut cluster = Cluster {
            data_centre: data_centre.to_owned(),
            name: fleet.deployment,
            settings,
            routers: Vec::new(),
            metrics: Vec::new(),
            agents,
            followers,
            agent_vms,
            fleet: running,
        };
        cluster.routers = cluster.start_routers().await?;
        cluster.commit(&config).await?;
        wait_ready(&cluster.agents).await?;
        routers_ready(&cluster.routers).await?;
        Ok(cluster)
    }

    /// Commits a configuration and returns when it is in force at all agents and routers.
    async fn commit(&self, config: &Config) -> eyre::Result<()> {
        let objects = config.entries.values().map(|entry| entry.object.clone());
        let change = Change {
            id: "example-1".parse()?,
            operator: ORGANISATION.parse()?,
            text: statements(config),
            edits: objects.map(Edit::Create).collect(),
        };
        let node = self.routers[0].node();
        let report = node.commit(change, ConfigVersion(0)).await?;
        let missing: Vec<_> = report.unconfirmed.iter().map(NodeId::to_string).collect();
        eyre::ensure!(
            missing.is_empty(),
            "the configuration is not in force at {}",
            missing.join(", ")
        );
        Ok(())
    }

    async fn start_routers(&mut self) -> eyre::Result<Vec<SyncedRouter>> {
        let mut vms = self.agent_vms.clone();
        let mut routers = Vec::new();
        for number in 1..=self.settings.routers.max(1) {
            let metrics = Metrics::new();
            let parts = self.router_parts(number, metrics.clone())?;
            let start = SyncedRouter::start(parts);
            let router = on_runtime(self.settings.router_runtime.as_ref(), start).await??;
            self.metrics.push(metrics);
            vms.push(router_vm(number, &self.data_centre, router.router()));
            routers.push(router);
        }
        self.fleet.vms.state.set_vms(vms);
        let agents = self.agents.len();
        let informed = |router: &SyncedRouter| {
            let others = routers.len() > 1;
            router.node().is_current()
                && known(router, "agents") == agents
                && (!others || known(router, "routers") >= routers.len())
        };
        let all_informed = || routers.iter().all(informed);
        wait_until("the routers do not know all nodes", all_informed).await?;
        Ok(routers)
    }

    fn router_parts(&self, number: usize, metrics: Metrics) -> eyre::Result<SyncedParts> {
        let settings = format!(
            "{{node: router-{number}, data_centre: {}, listen: '127.0.0.1:0', \
             control: '127.0.0.1:0', admin: '127.0.0.1:0', bootstrap_token_sha256: {}}}",
            self.data_centre,
            token_sha256(OPERATOR_TOKEN)
        );
        let reach = |addr| endpoint(addr, self.settings.speedup);
        let routers = u32::try_from(self.settings.routers)?;
        let table = HttpTable::new(reach(self.fleet.table.server.addr()));
        let objects = HttpObjects::new(reach(self.fleet.objects.server.addr()));
        let vms = HttpVms::new(reach(self.fleet.vms.server.addr()));
        Ok(SyncedParts::builder()
            .settings(dw_settings::from_text("router", &settings)?)
            .table(Arc::new(table))
            .objects(Arc::new(objects))
            .vms(Arc::new(vms))
            .policy(self.settings.policy.create(routers))
            .metrics(metrics)
            .seed(self.settings.seed + number as u64)
            .build())
    }

    /// Replaces all routers at once by new ones and returns the old ones, which still run.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn replace_routers(&mut self) -> eyre::Result<Vec<SyncedRouter>> {
        let started = self.start_routers().await?;
        routers_ready(&started).await?;
        Ok(std::mem::replace(&mut self.routers, started))
    }

    /// Returns the name of the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the first router.
    pub fn router(&self) -> &Router {
        self.routers[0].router()
    }

    /// Returns the addresses for callers.
    pub fn callers_addrs(&self) -> Vec<SocketAddr> {
        let routers = self.routers.iter().map(SyncedRouter::router);
        routers.map(Router::callers_addr).collect()
    }

    /// Lists the agents with other control addresses for routers that start from now on.
    pub fn list_control_addrs(&mut self, addrs: &[SocketAddr]) {
        for (vm, addr) in self.agent_vms.iter_mut().zip(addrs) {
            vm.control_addr = addr.to_string();
        }
    }

    /// Returns the agents.
    pub fn agents(&self) -> &[Agent] {
        &self.agents
    }

    /// Returns the metrics of every router so far, replaced ones included.
    pub fn metrics(&self) -> &[Metrics] {
        &self.metrics
    }

    /// Returns the stand-ins.
    pub fn fleet(&self) -> &RunningFleet {
        &self.fleet
    }

    /// Drains the routers, then the agents.
    pub async fn shutdown(self) {
        for router in self.routers {
            router.shutdown().await;
        }
        for agent in self.agents {
            agent.shutdown().await;
        }
        drop(self.followers);
    }
}

/// Runs a start on another runtime, so that all its tasks run there.
async fn on_runtime<T: Send + 'static>(
    runtime: Option<&Handle>,
    start: impl Future<Output = T> + Send + 'static,
) -> eyre::Result<T> {
    match runtime {
        Some(runtime) => Ok(runtime.spawn(start).await?),
        None => Ok(start.await),
    }
}

fn speed_up(fleet: &mut Fleet, speedup: f64) {
    fleet.speedup *= speedup;
    let limits = [
        &mut fleet.table.limits,
        &mut fleet.objects.limits,
        &mut fleet.vms.limits,
        &mut fleet.weights.limits,
    ];
    for limits in limits {
        limits.reads_per_s *= speedup;
        limits.writes_per_s *= speedup;
    }
}

/// Returns the fleet with the speeds that its engines really have.
fn declared(fleet: &Fleet) -> Fleet {
    let mut fleet = fleet.clone();
    for entry in &mut fleet.engines {
        entry.engine.prefill_tokens_per_s *= fleet.speedup * entry.engine.speedup;
        entry.engine.decode_ms_per_token /= fleet.speedup * entry.engine.speedup;
    }
    fleet
}

fn endpoint(addr: SocketAddr, speedup: f64) -> Endpoint {
    let rate = CALLS_PER_S * speedup;
    Endpoint {
        addr,
        deadline: STORE_WAIT_MS,
        budget: Arc::new(NodeBudget::new(rate, rate)),
    }
}

fn upstream_addr(upstream: &Upstream, fleet: &RunningFleet) -> eyre::Result<SocketAddr> {
    let name = upstream.name.as_str();
    let engine = fleet.engines.get(name).map(|s| s.server.addr());
    let service = || fleet.services.get(name).map(|s| s.server.addr());
    engine
        .or_else(service)
        .ok_or_else(|| eyre::eyre!("upstream {name} has no stand-in"))
}

/// What an agent and the follower of its configuration are made of.
struct AgentStart {
    settings: dw_agent::Settings,
    gate: Box<dyn Gate>,
    follow: FollowParts,
    objects: Arc<dyn Objects>,
}

async fn start_agent(start: AgentStart) -> eyre::Result<(Agent, ConfigFollower)> {
    let (table, vms) = (start.follow.table.clone(), start.follow.vms.clone());
    let (clock, incarnation) = (start.follow.clock.clone(), start.follow.incarnation);
    let follower = ConfigFollower::start(start.follow).await;
    let parts = dw_agent::Parts::builder()
        .settings(start.settings)
        .config(follower.node().clone())
        .peer(follower.node().clone())
        .table(table)
        .objects(start.objects)
        .vms(vms)
        .gate(start.gate)
        .clock(clock)
        .incarnation(incarnation)
        .build();
    Ok((Agent::start(parts).await?, follower))
}

fn agent_start(
    upstream: &Upstream,
    fleet: &RunningFleet,
    cluster: &ClusterSettings,
) -> eyre::Result<AgentStart> {
    let settings = format!(
        "{{node: agent-{name}, data_centre: {dc}, upstream: {name}, upstream_addr: '{addr}', \
         data_addr: '127.0.0.1:0', control_addr: '127.0.0.1:0'}}",
        name = upstream.name,
        dc = upstream.data_centre,
        addr = upstream_addr(upstream, fleet)?,
    );
    let mut settings = dw_agent::Settings::parse("agent", &settings)?;
    let import_bytes_per_s = settings.import_bytes_per_s as f64 * cluster.speedup;
    settings.import_bytes_per_s = import_bytes_per_s as u64;
    let gate = cluster.gate.create(upstream, settings.max_queued);
    let reach = |addr| endpoint(addr, cluster.speedup);
    let store = HttpObjects::new(reach(fleet.objects.server.addr()));
    let store: Arc<dyn Objects> = Arc::new(store);
    let clock = SystemClock::new();
    let follow = FollowParts::builder()
        .node(settings.node.clone())
        .incarnation(Incarnation(clock.now().0))
        .table(Arc::new(HttpTable::new(reach(fleet.table.server.addr()))))
        .objects(store.clone())
        .vms(Arc::new(HttpVms::new(reach(fleet.vms.server.addr()))))
        .clock(Arc::new(clock))
        .build();
    Ok(AgentStart {
        settings,
        gate,
        follow,
        objects: match cluster.kv_import {
            true => store,
            false => Arc::new(NoObjects),
        },
    })
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

fn router_vm(number: usize, data_centre: &str, router: &Router) -> Vm {
    Vm {
        name: format!("router-{number}"),
        role: VmRole::Router,
        state: VmState::Live,
        data_centre: data_centre.to_owned(),
        data_addr: router.callers_addr().to_string(),
        control_addr: router.control_addr().to_string(),
        upstream: None,
    }
}

/// Returns how many nodes of a kind a router knows.
fn known(router: &SyncedRouter, kind: &str) -> usize {
    let state = router.router().node_state();
    let state: serde_json::Value = serde_json::from_str(&state).unwrap_or_default();
    state[kind].as_array().map_or(0, Vec::len)
}

async fn routers_ready(routers: &[SyncedRouter]) -> eyre::Result<()> {
    let ready = || routers.iter().all(|router| router.router().is_ready());
    wait_until("the routers are not ready", ready).await
}

async fn wait_until(problem: &str, is_true: impl Fn() -> bool) -> eyre::Result<()> {
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    };
    let waited = tokio::time::timeout(READY_WAIT, waiting).await;
    waited.map_err(|_| eyre::eyre!("{problem} after {} s", READY_WAIT.as_secs()))
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

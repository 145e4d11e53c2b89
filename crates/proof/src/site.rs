//! A deployment of stand-ins in this process and routers and agents as processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use bon::Builder;
use dw_admin::Administration;
use dw_api::admin::StatementRequest;
use dw_api::service::Execution;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::Clock;
use dw_base::ConfigVersion;
use dw_base::Incarnation;
use dw_base::SystemClock;
use dw_router::NodeHandle;
use dw_standin::EngineEntry;
use dw_standin::EngineSettings;
use dw_standin::Fleet;
use dw_standin::PlatformEntry;
use dw_standin::PlatformLimits;
use dw_standin::RunningFleet;
use dw_standin::ServiceEntry;
use dw_standin::ServiceSettings;
use dw_standin::VmsEntry;
use dw_standin::WeightsEntry;
use dw_sync::ConfigNode;
use dw_wire::connect_control;
use dw_wire::Hello;
use futures::future::try_join_all;
use sha2::Digest;
use sha2::Sha256;

use crate::process::Process;
use crate::proxy::Proxy;
use crate::wait::until;

/// Operator's token of every router; no operator is declared, so that it stays valid.
pub const BOOTSTRAP_TOKEN: &str = "bootstrap";

/// Numbers the settings files of this process.
static FILES: AtomicU64 = AtomicU64::new(0);

/// What a site consists of.
#[derive(Builder, Clone, Debug)]
pub struct SiteSettings {
    /// Organisations; each one's token is its name.
    #[builder(default = vec!["acme".to_owned()])]
    pub organisations: Vec<String>,
    /// Model engines `e0`, `e1` and so on, which serve `write`.
    #[builder(default)]
    pub engines: Vec<EngineSettings>,
    /// Plain services `p0`, `p1` and so on, which serve `booking`, `deposit` and `lookup`.
    #[builder(default)]
    pub plains: Vec<ServiceSettings>,
    /// Routers `r0`, `r1` and so on.
    #[builder(default = 2)]
    pub routers: usize,
    /// Most requests that wait at an agent.
    #[builder(default = 256)]
    pub max_queued: usize,
    /// Most weight loads at once.
    #[builder(default = 2)]
    pub weight_loads: usize,
}

/// A router as a process.
#[derive(Debug)]
pub struct RouterProcess {
    /// Name.
    pub name: String,
    /// Process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for control traffic.
    pub control: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
}

/// An agent as a process.
#[derive(Debug)]
pub struct AgentProcess {
    /// Name, which is `agent-` and the name of the upstream.
    pub name: String,
    /// Upstream.
    pub upstream: String,
    /// Process.
    pub process: Process,
    /// Address for requests.
    pub data: SocketAddr,
    /// Address for control traffic.
    pub control: SocketAddr,
}

/// A running site; dropping it kills its processes.
#[derive(Debug)]
pub struct Site {
    /// Stand-ins and their records.
    pub fleet: RunningFleet,
    /// Routers by name.
    pub routers: BTreeMap<String, RouterProcess>,
    /// Agents by name of the upstream.
    pub agents: BTreeMap<String, AgentProcess>,
    /// Relays from agents to upstreams, by name of the upstream.
    pub to_upstream: BTreeMap<String, Proxy>,
    /// Relays from routers to agents, by name of the upstream.
    pub to_agent: BTreeMap<String, Proxy>,
    max_queued: usize,
    files: Vec<PathBuf>,
}

fn fleet(settings: &SiteSettings) -> Fleet {
    let platform = || PlatformEntry {
        listen: None,
        limits: PlatformLimits::unlimited(),
    };
    let engine = |(index, engine): (usize, &EngineSettings)| EngineEntry {
        name: format!("e{index}"),
        data_centre: "here".to_owned(),
        services: vec!["write".to_owned()],
        listen: None,
        engine: EngineSettings {
            model: "writer".to_owned(),
            ..engine.clone()
        },
    };
    let plain = |(index, service): (usize, &ServiceSettings)| ServiceEntry {
        name: format!("p{index}"),
        data_centre: "here".to_owned(),
        services: vec!["booking".to_owned()],
        listen: None,
        service: service.clone(),
    };
    Fleet {
        deployment: "proof".to_owned(),
        speedup: 1.0,
        weight_loads: settings.weight_loads,
        table: platform(),
        objects: platform(),
        vms: VmsEntry {
            limits: PlatformLimits::unlimited(),
            ..VmsEntry::default()
        },
        weights: WeightsEntry {
            limits: PlatformLimits::unlimited(),
            ..WeightsEntry::default()
        },
        engines: settings.engines.iter().enumerate().map(engine).collect(),
        services: settings.plains.iter().enumerate().map(plain).collect(),
    }
}

/// Returns the statements that declare everything a site contains.
fn declarations(settings: &SiteSettings) -> String {
    let mut text = vec![
        "declare service write kind=generate repeat=repeatable deadline=30s".to_owned(),
        "declare service booking kind=call repeat=at-most-once deadline=30s".to_owned(),
        "declare service deposit kind=call repeat=at-most-once deadline=30s".to_owned(),
        "declare service lookup kind=call repeat=idempotent deadline=30s".to_owned(),
        format!(
            "declare setting weight-loads value={}",
            settings.weight_loads
        ),
    ];
    for name in &settings.organisations {
        let digest = hex::encode(Sha256::digest(name));
        text.push(format!(
            "declare organisation {name} token_sha256=[{digest}]"
        ));
    }
    if !settings.engines.is_empty() {
        text.push("declare model writer weights=1".to_owned());
    }
    for (index, engine) in settings.engines.iter().enumerate() {
        text.push(format!(
            "declare upstream e{index} kind=engine data_centre=here services=[write] model=writer \
             prefill={}/s decode={}/s max_batch={} checks_fence={}",
            engine.prefill_tokens_per_s * engine.speedup,
            1_000.0 / engine.decode_ms_per_token * engine.speedup,
            engine.max_batch,
            engine.checks_fence
        ));
    }
    for (index, plain) in settings.plains.iter().enumerate() {
        text.push(format!(
            "declare upstream p{index} kind=plain data_centre=here \
             services=[booking,deposit,lookup] max_batch={}",
            plain.max_running
        ));
    }
    text.join(";\n")
}

impl Site {
    /// Starts everything and waits until all agents take work and all routers know them.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start.
    pub async fn start(settings: SiteSettings) -> eyre::Result<Site> {
        let fleet = RunningFleet::start(&fleet(&settings)).await?;
        let mut site = Site {
            fleet,
            routers: BTreeMap::new(),
            agents: BTreeMap::new(),
            to_upstream: BTreeMap::new(),
            to_agent: BTreeMap::new(),
            max_queued: settings.max_queued,
            files: Vec::new(),
        };
        site.declare(&declarations(&settings)).await?;
        let engines = site.fleet.engines.iter();
        let plains = site.fleet.services.iter();
        let upstreams: Vec<(String, SocketAddr)> = engines
            .map(|(name, engine)| (name.clone(), engine.server.addr()))
            .chain(plains.map(|(name, plain)| (name.clone(), plain.server.addr())))
            .collect();
        for (name, addr) in &upstreams {
            let proxy = Proxy::start(*addr).await?;
            site.to_upstream.insert(name.clone(), proxy);
        }
        let files: Vec<PathBuf> = upstreams
            .iter()
            .map(|(name, _)| site.agent_file(name))
            .collect::<eyre::Result<_>>()?;
        let agents = upstreams
            .iter()
            .zip(&files)
            .map(|((name, _), file)| start_agent(name, file));
        for agent in try_join_all(agents).await? {
            site.admit_agent(agent).await?;
        }
        for index in 0..settings.routers {
            site.start_router(&format!("r{index}")).await?;
        }
        for name in site.agents.keys() {
            site.wait_accepting(name).await?;
        }
        site.wait_known().await?;
        Ok(site)
    }

    /// Makes a change directly in the table, as a router without peers would.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused.
    pub async fn declare(&self, text: &str) -> eyre::Result<()> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let node = ConfigNode::builder()
            .id("declarer".parse()?)
            .table(self.fleet.table.state.clone())
            .objects(self.fleet.objects.state.clone())
            .peers(NodeHandle::new())
            .clock(Arc::clone(&clock))
            .seed(1)
            .build();
        let node = Arc::new(node);
        node.start().await;
        let administration = Administration::builder()
            .config(node.clone())
            .log(node)
            .cluster(NodeHandle::new())
            .clock(clock)
            .bootstrap_token_sha256(hex::encode(Sha256::digest(BOOTSTRAP_TOKEN)))
            .build();
        let request = StatementRequest {
            base_version: None,
            change_id: None,
            dry_run: None,
            text: text.to_owned(),
        };
        let made = administration.execute(Some(BOOTSTRAP_TOKEN), request).await;
        made.map(|_| ())
            .map_err(|error| eyre::eyre!("refused: {error:?}"))
    }

    fn file(&mut self, text: &str) -> eyre::Result<PathBuf> {
        let number = FILES.fetch_add(1, Ordering::SeqCst);
        let name = format!("dw-proof-{}-{number}.yaml", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text)?;
        self.files.push(path.clone());
        Ok(path)
    }

    fn agent_file(&mut self, upstream: &str) -> eyre::Result<PathBuf> {
        let upstream_addr = self
            .to_upstream
            .get(upstream)
            .map(Proxy::addr)
            .ok_or_else(|| eyre::eyre!("upstream {upstream} does not exist"))?;
        let text = format!(
            "agent: {{node: agent-{upstream}, data_centre: here, upstream: {upstream}, \
             upstream_addr: '{upstream_addr}', data_addr: '127.0.0.1:0', \
             control_addr: '127.0.0.1:0', max_queued: {}}}\n\
             platform: {{table_addr: '{}', objects_addr: '{}', vms_addr: '{}', \
             reads_per_s: 1000, writes_per_s: 1000}}\n",
            self.max_queued,
            self.fleet.table.server.addr(),
            self.fleet.objects.server.addr(),
            self.fleet.vms.server.addr(),
        );
        self.file(&text)
    }

    /// Starts an agent again, with a greater incarnation and other ports.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn restart_agent(&mut self, upstream: &str) -> eyre::Result<()> {
        let file = self.agent_file(upstream)?;
        let agent = start_agent(upstream, &file).await?;
        self.admit_agent(agent).await
    }

    /// Starts a second agent beside an upstream, which is not in the VM list.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn second_agent(&mut self, upstream: &str) -> eyre::Result<AgentProcess> {
        let file = self.agent_file(upstream)?;
        start_agent(upstream, &file).await
    }

    /// Puts an agent in front of its upstream.
    async fn admit_agent(&mut self, agent: AgentProcess) -> eyre::Result<()> {
        let upstream = agent.upstream.clone();
        match self.to_agent.get(&upstream) {
            Some(proxy) => {
                proxy.retarget(agent.data);
                proxy.cut();
            }
            None => {
                let proxy = Proxy::start(agent.data).await?;
                self.to_agent.insert(upstream.clone(), proxy);
            }
        }
        self.agents.insert(upstream, agent);
        self.list_vms();
        Ok(())
    }

    /// Starts a router; one of the same name is replaced.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn start_router(&mut self, name: &str) -> eyre::Result<()> {
        let text = format!(
            "{{node: {name}, data_centre: here, listen: '127.0.0.1:0', control: '127.0.0.1:0', \
             admin: '127.0.0.1:0', vm_poll: 50ms, heartbeat: 100ms, \
             bootstrap_token_sha256: '{}', \
             store: {{table: '{}', objects: '{}', vms: '{}', wait: 500ms}}}}",
            hex::encode(Sha256::digest(BOOTSTRAP_TOKEN)),
            self.fleet.table.server.addr(),
            self.fleet.objects.server.addr(),
            self.fleet.vms.server.addr(),
        );
        let file = self.file(&text)?;
        let process = Process::start("dandelionwall-router", &file)?;
        let line = "router started";
        let router = RouterProcess {
            name: name.to_owned(),
            callers: process.logged(line, "callers").await?.parse()?,
            control: process.logged(line, "control").await?.parse()?,
            admin: process.logged(line, "admin").await?.parse()?,
            process,
        };
        self.routers.insert(name.to_owned(), router);
        self.list_vms();
        Ok(())
    }

    /// Returns the address for callers of a router.
    pub fn callers(&self, index: usize) -> SocketAddr {
        let routers: Vec<_> = self.routers.values().collect();
        routers[index % routers.len()].callers
    }

    /// Writes the present processes into the VM list.
    pub fn list_vms(&self) {
        self.fleet.vms.state.set_vms(self.vms());
    }

    /// Returns the present processes.
    pub fn vms(&self) -> Vec<Vm> {
        let agents = self.agents.values().map(|agent| Vm {
            name: agent.name.clone(),
            role: VmRole::Agent,
            state: VmState::Live,
            data_centre: "here".to_owned(),
            data_addr: self
                .to_agent
                .get(&agent.upstream)
                .map_or(agent.data, Proxy::addr)
                .to_string(),
            control_addr: agent.control.to_string(),
            upstream: Some(agent.upstream.clone()),
        });
        let routers = self.routers.values().map(|router| Vm {
            name: router.name.clone(),
            role: VmRole::Router,
            state: VmState::Live,
            data_centre: "here".to_owned(),
            data_addr: router.callers.to_string(),
            control_addr: router.control.to_string(),
            upstream: None,
        });
        agents.chain(routers).collect()
    }

    /// Waits until an agent takes work.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not.
    pub async fn wait_accepting(&self, upstream: &str) -> eyre::Result<()> {
        let agent = &self.agents[upstream];
        let accepting = || async {
            let hello = hello(agent.control).await;
            hello.and_then(|hello| hello.status).is_some_and(|status| {
                // An agent registers its incarnation after it has become ready.
                status.accepting
                    && agent
                        .process
                        .log()
                        .iter()
                        .any(|l| l.contains("fence_raised"))
            })
        };
        until(&format!("{} takes work", agent.name), accepting).await
    }

    /// Waits until every router is ready and knows every agent at its present address.
    ///
    /// # Errors
    ///
    /// Returns an error if one does not.
    pub async fn wait_known(&self) -> eyre::Result<()> {
        for router in self.routers.values() {
            let known = || async {
                let Some(state) = node_state(router.control).await else {
                    return false;
                };
                let ready = hello(router.control).await;
                let current = ready.is_some_and(|hello| hello.config_version > ConfigVersion(0));
                current
                    && self
                        .agents
                        .values()
                        .all(|agent| state.contains(&agent.name))
                    && self.routers.keys().all(|name| state.contains(name))
            };
            until(&format!("{} knows all nodes", router.name), known).await?;
        }
        Ok(())
    }

    /// Returns all executions of all plain services.
    pub fn executions(&self) -> Vec<Execution> {
        let services = self.fleet.services.values();
        services
            .flat_map(|service| service.state.executions().executions)
            .collect()
    }

    /// Returns the ids of all generations that the engines accepted.
    pub fn generations(&self) -> Vec<String> {
        let engines = self.fleet.engines.values();
        engines
            .flat_map(|engine| engine.state.accepted_requests())
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for file in &self.files {
            // A file that is left over in the temporary folder does no harm.
            let _ = std::fs::remove_file(file);
        }
    }
}

async fn start_agent(upstream: &str, file: &std::path::Path) -> eyre::Result<AgentProcess> {
    let process = Process::start("dandelionwall-agent", file)?;
    let line = "event=started";
    Ok(AgentProcess {
        name: format!("agent-{upstream}"),
        upstream: upstream.to_owned(),
        data: process.logged(line, "data_addr").await?.parse()?,
        control: process.logged(line, "control_addr").await?.parse()?,
        process,
    })
}

/// Returns the answer of a node to a greeting that announces nothing.
pub async fn hello(control: SocketAddr) -> Option<Hello> {
    let client = connect_control(control).await.ok()?;
    let hello = Hello {
        node: "observer".parse().ok()?,
        incarnation: Incarnation(1),
        config_version: ConfigVersion(0),
        leaving: false,
        status: None,
    };
    client.hello(tarpc::context::current(), hello).await.ok()
}

/// Returns the state of a node as JSON.
pub async fn node_state(control: SocketAddr) -> Option<String> {
    let client = connect_control(control).await.ok()?;
    client.node_state(tarpc::context::current()).await.ok()
}

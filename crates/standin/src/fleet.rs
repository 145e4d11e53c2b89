//! Configuration and start of all stand-ins of a deployment.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use dw_api::vms::Vm;
use dw_base::DurationMs;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::engine::start_engine;
use crate::engine::BlockRegistry;
use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::engine::WeightLoadTracker;
use crate::objects::start_objects;
use crate::objects::MemoryObjects;
use crate::platform::PlatformLimits;
use crate::server::ephemeral_addr;
use crate::server::ServerHandle;
use crate::service::start_service;
use crate::service::PlainService;
use crate::service::ServiceSettings;
use crate::table::start_table;
use crate::table::MemoryTable;
use crate::vms::start_vms;
use crate::vms::MemoryVms;
use crate::weights::start_weights;
use crate::weights::MemoryWeights;

/// Default size of the weights of one model version, in bytes.
const DEFAULT_WEIGHTS_BYTES: u64 = 16_000_000_000;

/// Configuration of the stand-in for a platform service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformEntry {
    /// Listen address; an ephemeral loopback port if absent.
    pub listen: Option<SocketAddr>,
    /// Rate limits.
    pub limits: PlatformLimits,
}

/// Configuration of the stand-in for the VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsEntry {
    /// Listen address; an ephemeral loopback port if absent.
    pub listen: Option<SocketAddr>,
    /// Rate limits.
    pub limits: PlatformLimits,
    /// Delay after which a change becomes visible.
    pub lag_ms: u64,
    /// VMs at start.
    pub vms: Vec<Vm>,
}

/// Configuration of the stand-in for the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsEntry {
    /// Listen address; an ephemeral loopback port if absent.
    pub listen: Option<SocketAddr>,
    /// Rate limits.
    pub limits: PlatformLimits,
    /// Size of each weights version, in bytes.
    pub size_bytes: u64,
}

impl Default for WeightsEntry {
    fn default() -> Self {
        WeightsEntry {
            listen: None,
            limits: PlatformLimits::default(),
            size_bytes: DEFAULT_WEIGHTS_BYTES,
        }
    }
}

/// Configuration of one stand-in for a model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Name of the upstream.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Services that the engine provides.
    pub services: Vec<String>,
    /// Listen address; an ephemeral loopback port if absent.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Settings of the engine.
    #[serde(default)]
    pub engine: EngineSettings,
}

/// Configuration of one stand-in for a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the upstream.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Services that the upstream provides.
    pub services: Vec<String>,
    /// Listen address; an ephemeral loopback port if absent.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Settings of the service.
    #[serde(default)]
    pub service: ServiceSettings,
}

/// Configuration of all stand-ins of a deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the deployment.
    pub deployment: String,
    /// Factor that multiplies the `speedup` of every engine and plain service.
    #[serde(default = "default_speedup")]
    pub speedup: f64,
    /// Number of concurrent weight loads that run at full speed.
    pub weight_loads: usize,
    /// Table service.
    #[serde(default)]
    pub table: PlatformEntry,
    /// Object store.
    #[serde(default)]
    pub objects: PlatformEntry,
    /// VM list.
    #[serde(default)]
    pub vms: VmsEntry,
    /// Weight store.
    #[serde(default)]
    pub weights: WeightsEntry,
    /// Model engines.
    #[serde(default)]
    pub engines: Vec<EngineEntry>,
    /// Plain services.
    #[serde(default)]
    pub services: Vec<ServiceEntry>,
}

fn default_speedup() -> f64 {
    1.0
}

/// Error in a fleet description.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The text cannot be parsed as a fleet description.
    #[error("{0}; see examples/ for a complete description")]
    Malformed(#[from] serde_norway::Error),
    /// A value is invalid.
    #[error("{key}: {remedy}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

impl Fleet {
    /// Parses and validates a fleet description in YAML.
    pub fn from_yaml(text: &str) -> Result<Fleet, FleetError> {
        let fleet: Fleet = serde_norway::from_str(text)?;
        fleet.validate()?;
        Ok(fleet)
    }

    fn validate(&self) -> Result<(), FleetError> {
        let invalid = |key: String, remedy| Err(FleetError::Invalid { key, remedy });
        if !(self.speedup.is_finite() && self.speedup > 0.0) {
            return invalid("speedup".to_owned(), "use a number above 0");
        }
        if self.weight_loads == 0 {
            return invalid("weight_loads".to_owned(), "use at least 1");
        }
        for (index, entry) in self.engines.iter().enumerate() {
            if let Some((key, remedy)) = entry.engine.invalid_setting() {
                return invalid(format!("engines[{index}].engine.{key}"), remedy);
            }
        }
        for (index, entry) in self.services.iter().enumerate() {
            if let Some((key, remedy)) = entry.service.invalid_setting() {
                return invalid(format!("services[{index}].service.{key}"), remedy);
            }
        }
        match self.duplicate_name() {
            Some(key) => invalid(key, "use a name that is unique among all upstreams"),
            None => Ok(()),
        }
    }

    /// Returns the key of the first upstream name that is already used by an earlier upstream.
    fn duplicate_name(&self) -> Option<String> {
        let engines = self.engines.iter().enumerate();
        let services = self.services.iter().enumerate();
        let mut names = engines
            .map(|(index, entry)| (format!("engines[{index}].name"), &entry.name))
            .chain(services.map(|(index, entry)| (format!("services[{index}].name"), &entry.name)));
        let mut seen = std::collections::BTreeSet::new();
        names.find_map(|(key, name)| (!seen.insert(name)).then_some(key))
    }
}

/// A running stand-in and its state.
#[derive(Debug)]
pub struct RunningStandin<T> {
    /// State and fault switches.
    pub state: Arc<T>,
    /// Handle of its server.
    pub server: ServerHandle,
}

/// The running stand-ins of a deployment; dropping it stops them.
#[derive(Debug)]
pub struct RunningFleet {
    /// Table service.
    pub table: RunningStandin<MemoryTable>,
    /// Object store.
    pub objects: RunningStandin<MemoryObjects>,
    /// VM list.
    pub vms: RunningStandin<MemoryVms>,
    /// Weight store.
    pub weights: RunningStandin<MemoryWeights>,
    /// Model engines by name.
    pub engines: BTreeMap<String, RunningStandin<Engine>>,
    /// Plain services by name.
    pub services: BTreeMap<String, RunningStandin<PlainService>>,
    /// Concurrent weight loads of the deployment.
    pub weight_load_tracker: Arc<WeightLoadTracker>,
}

fn listen_addr(listen: Option<SocketAddr>) -> SocketAddr {
    listen.unwrap_or_else(ephemeral_addr)
}

impl RunningFleet {
    /// Starts all stand-ins of a fleet description.
    pub async fn start(fleet: &Fleet) -> io::Result<RunningFleet> {
        let weight_load_tracker = Arc::new(WeightLoadTracker::new(fleet.weight_loads));
        let table = Arc::new(MemoryTable::new(fleet.table.limits));
        let objects = Arc::new(MemoryObjects::new(fleet.objects.limits));
        let registry = Arc::new(BlockRegistry::with_kv_store(Arc::clone(&objects)));
        let vms = Arc::new(MemoryVms::new(
            fleet.vms.limits,
            DurationMs(fleet.vms.lag_ms),
        ));
        vms.set_vms(fleet.vms.vms.clone());
        let weights = &fleet.weights;
        let weights_state = Arc::new(MemoryWeights::new(weights.limits, weights.size_bytes));
        let weights_addr = listen_addr(weights.listen);
        Ok(RunningFleet {
            table: RunningStandin {
                server: start_table(listen_addr(fleet.table.listen), Arc::clone(&table)).await?,
                state: table,
            },
            objects: RunningStandin {
                server: start_objects(listen_addr(fleet.objects.listen), Arc::clone(&objects))
                    .await?,
                state: objects,
            },
            vms: RunningStandin {
                server: start_vms(listen_addr(fleet.vms.listen), Arc::clone(&vms)).await?,
                state: vms,
            },
            weights: RunningStandin {
                server: start_weights(weights_addr, Arc::clone(&weights_state)).await?,
                state: weights_state,
            },
            engines: start_engines(fleet, &weight_load_tracker, &registry).await?,
            services: start_services(fleet).await?,
            weight_load_tracker,
        })
    }

    /// Returns the name and address of every stand-in.
    pub fn addresses(&self) -> Vec<(&str, SocketAddr)> {
        let mut found = vec![
            ("table", self.table.server.addr()),
            ("objects", self.objects.server.addr()),
            ("vms", self.vms.server.addr()),
            ("weights", self.weights.server.addr()),
        ];
        found.extend(
            self.engines
                .iter()
                .map(|(n, s)| (n.as_str(), s.server.addr())),
        );
        found.extend(
            self.services
                .iter()
                .map(|(n, s)| (n.as_str(), s.server.addr())),
        );
        found
    }
}

async fn start_engines(
    fleet: &Fleet,
    weight_load_tracker: &Arc<WeightLoadTracker>,
    registry: &Arc<BlockRegistry>,
) -> io::Result<BTreeMap<String, RunningStandin<Engine>>> {
    let mut started = BTreeMap::new();
    for entry in &fleet.engines {
        let mut settings = entry.engine.clone();
        settings.speedup *= fleet.speedup;
        let state = Arc::new(Engine::with_shared_state(
            settings,
            Arc::clone(weight_load_tracker),
            Arc::clone(registry),
        ));
        let server = start_engine(listen_addr(entry.listen), Arc::clone(&state)).await?;
        started.insert(entry.name.clone(), RunningStandin { state, server });
    }
    Ok(started)
}

async fn start_services(
    fleet: &Fleet,
) -> io::Result<BTreeMap<String, RunningStandin<PlainService>>> {
    let mut started = BTreeMap::new();
    for entry in &fleet.services {
        let mut settings = entry.service.clone();
        settings.speedup *= fleet.speedup;
        let state = Arc::new(PlainService::new(settings));
        let server = start_service(listen_addr(entry.listen), Arc::clone(&state)).await?;
        started.insert(entry.name.clone(), RunningStandin { state, server });
    }
    Ok(started)
}

//! Description of all stand-ins of one deployment, and their start.

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
use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::engine::Holders;
use crate::engine::LoadGate;
use crate::objects::start_objects;
use crate::objects::MemoryObjects;
use crate::platform::PlatformLimits;
use crate::server::ephemeral;
use crate::server::Running;
use crate::service::start_service;
use crate::service::PlainService;
use crate::service::ServiceSettings;
use crate::table::start_table;
use crate::table::MemoryTable;
use crate::vms::start_vms;
use crate::vms::MemoryVms;
use crate::weights::start_weights;
use crate::weights::MemoryWeights;

/// Size of the weights of one model version unless set, in bytes.
const DEFAULT_WEIGHTS_BYTES: u64 = 16_000_000_000;

/// A stand-in for a platform service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformEntry {
    /// Address; an ephemeral loopback port if absent.
    pub listen: Option<SocketAddr>,
    /// Rates.
    pub limits: PlatformLimits,
}

/// The stand-in for the VM list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmsEntry {
    /// Address; an ephemeral loopback port if absent.
    pub listen: Option<SocketAddr>,
    /// Rates.
    pub limits: PlatformLimits,
    /// Time after which a change is shown.
    pub lag_ms: u64,
    /// VMs at the start.
    pub vms: Vec<Vm>,
}

/// The stand-in for the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightsEntry {
    /// Address; an ephemeral loopback port if absent.
    pub listen: Option<SocketAddr>,
    /// Rates.
    pub limits: PlatformLimits,
    /// Size of every version.
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

/// One stand-in for a model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineEntry {
    /// Name of the upstream.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Services that the engine answers.
    pub services: Vec<String>,
    /// Address; an ephemeral loopback port if absent.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Settings of the engine.
    #[serde(default)]
    pub engine: EngineSettings,
}

/// One stand-in for a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the upstream.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Services that it answers.
    pub services: Vec<String>,
    /// Address; an ephemeral loopback port if absent.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Settings of the service.
    #[serde(default)]
    pub service: ServiceSettings,
}

/// All stand-ins of one deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Name of the deployment.
    pub deployment: String,
    /// Factor that multiplies the `speedup` of every engine and plain service.
    #[serde(default = "unit")]
    pub speedup: f64,
    /// Weight loads that run at once at full speed.
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

fn unit() -> f64 {
    1.0
}

/// A fleet description cannot be used.
#[derive(Debug, Error)]
pub enum FleetError {
    /// The text is not a fleet description.
    #[error("{0}; see examples/ for a complete description")]
    Malformed(#[from] serde_norway::Error),
    /// A value is not usable.
    #[error("{key}: {remedy}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// What to write instead.
        remedy: &'static str,
    },
}

impl Fleet {
    /// Reads and checks a description in YAML.
    pub fn from_yaml(text: &str) -> Result<Fleet, FleetError> {
        let fleet: Fleet = serde_norway::from_str(text)?;
        fleet.check()?;
        Ok(fleet)
    }

    fn check(&self) -> Result<(), FleetError> {
        let invalid = |key: String, remedy| Err(FleetError::Invalid { key, remedy });
        if !(self.speedup.is_finite() && self.speedup > 0.0) {
            return invalid("speedup".to_owned(), "use a number above 0");
        }
        if self.weight_loads == 0 {
            return invalid("weight_loads".to_owned(), "use at least 1");
        }
        for (index, entry) in self.engines.iter().enumerate() {
            if let Some((key, remedy)) = entry.engine.fault() {
                return invalid(format!("engines[{index}].engine.{key}"), remedy);
            }
        }
        for (index, entry) in self.services.iter().enumerate() {
            if let Some((key, remedy)) = entry.service.fault() {
                return invalid(format!("services[{index}].service.{key}"), remedy);
            }
        }
        match self.repeated_name() {
            Some(key) => invalid(key, "use a name that no other upstream has"),
            None => Ok(()),
        }
    }

    /// Returns the key of the first name that an earlier upstream has too.
    fn repeated_name(&self) -> Option<String> {
        let engines = self.engines.iter().enumerate();
        let services = self.services.iter().enumerate();
        let mut names = engines
            .map(|(index, entry)| (format!("engines[{index}].name"), &entry.name))
            .chain(services.map(|(index, entry)| (format!("services[{index}].name"), &entry.name)));
        let mut seen = std::collections::BTreeSet::new();
        names.find_map(|(key, name)| (!seen.insert(name)).then_some(key))
    }
}

/// A running stand-in with its state.
#[derive(Debug)]
pub struct Started<T> {
    /// State and fault switches.
    pub state: Arc<T>,
    /// Address and handle.
    pub running: Running,
}

/// All running stand-ins of one deployment; dropping it stops them.
#[derive(Debug)]
pub struct RunningFleet {
    /// Table service.
    pub table: Started<MemoryTable>,
    /// Object store.
    pub objects: Started<MemoryObjects>,
    /// VM list.
    pub vms: Started<MemoryVms>,
    /// Weight store.
    pub weights: Started<MemoryWeights>,
    /// Model engines by name.
    pub engines: BTreeMap<String, Started<Engine>>,
    /// Plain services by name.
    pub services: BTreeMap<String, Started<PlainService>>,
    /// Weight loads of the deployment.
    pub load_gate: Arc<LoadGate>,
}

fn address(listen: Option<SocketAddr>) -> SocketAddr {
    listen.unwrap_or_else(ephemeral)
}

impl RunningFleet {
    /// Starts every stand-in of a description.
    pub async fn start(fleet: &Fleet) -> io::Result<RunningFleet> {
        let load_gate = Arc::new(LoadGate::new(fleet.weight_loads));
        let table = Arc::new(MemoryTable::new(fleet.table.limits));
        let objects = Arc::new(MemoryObjects::new(fleet.objects.limits));
        let holders = Arc::new(Holders::with_store(Arc::clone(&objects)));
        let vms = Arc::new(MemoryVms::new(
            fleet.vms.limits,
            DurationMs(fleet.vms.lag_ms),
        ));
        vms.set_vms(fleet.vms.vms.clone());
        let weights = &fleet.weights;
        let weights_state = Arc::new(MemoryWeights::new(weights.limits, weights.size_bytes));
        let weights_addr = address(weights.listen);
        Ok(RunningFleet {
            table: Started {
                running: start_table(address(fleet.table.listen), Arc::clone(&table)).await?,
                state: table,
            },
            objects: Started {
                running: start_objects(address(fleet.objects.listen), Arc::clone(&objects)).await?,
                state: objects,
            },
            vms: Started {
                running: start_vms(address(fleet.vms.listen), Arc::clone(&vms)).await?,
                state: vms,
            },
            weights: Started {
                running: start_weights(weights_addr, Arc::clone(&weights_state)).await?,
                state: weights_state,
            },
            engines: engines(fleet, &load_gate, &holders).await?,
            services: services(fleet).await?,
            load_gate,
        })
    }

    /// Returns the name and address of every stand-in.
    pub fn addresses(&self) -> Vec<(&str, SocketAddr)> {
        let mut found = vec![
            ("table", self.table.running.addr()),
            ("objects", self.objects.running.addr()),
            ("vms", self.vms.running.addr()),
            ("weights", self.weights.running.addr()),
        ];
        found.extend(
            self.engines
                .iter()
                .map(|(n, s)| (n.as_str(), s.running.addr())),
        );
        found.extend(
            self.services
                .iter()
                .map(|(n, s)| (n.as_str(), s.running.addr())),
        );
        found
    }
}

async fn engines(
    fleet: &Fleet,
    gate: &Arc<LoadGate>,
    holders: &Arc<Holders>,
) -> io::Result<BTreeMap<String, Started<Engine>>> {
    let mut started = BTreeMap::new();
    for entry in &fleet.engines {
        let mut settings = entry.engine.clone();
        settings.speedup *= fleet.speedup;
        let state = Arc::new(Engine::in_fleet(
            settings,
            Arc::clone(gate),
            Arc::clone(holders),
        ));
        let running = start_engine(address(entry.listen), Arc::clone(&state)).await?;
        started.insert(entry.name.clone(), Started { state, running });
    }
    Ok(started)
}

async fn services(fleet: &Fleet) -> io::Result<BTreeMap<String, Started<PlainService>>> {
    let mut started = BTreeMap::new();
    for entry in &fleet.services {
        let mut settings = entry.service.clone();
        settings.speedup *= fleet.speedup;
        let state = Arc::new(PlainService::new(settings));
        let running = start_service(address(entry.listen), Arc::clone(&state)).await?;
        started.insert(entry.name.clone(), Started { state, running });
    }
    Ok(started)
}

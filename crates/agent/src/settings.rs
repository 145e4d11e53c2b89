//! Settings of an agent.

use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::UpstreamId;
use dw_settings::Addr;
use dw_settings::Check;
use dw_settings::DurationSetting;
use dw_settings::InvalidValue;
use dw_settings::SettingsError;
use serde::Deserialize;

use crate::gate::GateKind;

/// Fewest bytes of an answer that are kept; one frame with its length must fit.
const MIN_RESUME_BYTES: usize = 4_096;

/// Settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the agent.
    pub node: NodeId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Upstream in the same slot.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub upstream_addr: Addr,
    /// Address of the data path.
    pub data_addr: Addr,
    /// Address of the control path.
    pub control_addr: Addr,
    /// Address of the metrics; absent for none.
    #[serde(default)]
    pub metrics_addr: Option<Addr>,
    /// Control addresses of routers, used when the VM list is down.
    #[serde(default)]
    pub peers: Vec<Addr>,
    /// Admission policy.
    #[serde(default)]
    pub gate: GateKind,
    /// Most requests that wait.
    #[serde(default = "default_max_queued")]
    pub max_queued: usize,
    /// Most bytes of one answer that are kept for resuming.
    #[serde(default = "default_resume_bytes")]
    pub resume_bytes: usize,
    /// Most bytes of all answers together that are kept for resuming.
    #[serde(default = "default_resume_total_bytes")]
    pub resume_total_bytes: usize,
    /// Speed at which cache pieces are imported from the KV store.
    #[serde(default = "default_import_bytes_per_s")]
    pub import_bytes_per_s: u64,
}

/// Settings of the platform's services, used by the binary only.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the table service.
    pub table_addr: Addr,
    /// Address of the object store.
    pub objects_addr: Addr,
    /// Address of the VM list.
    pub vms_addr: Addr,
    /// Longest time that a call of these services is waited for.
    #[serde(default = "default_deadline")]
    pub deadline: DurationSetting,
    /// Most reads per second of this node.
    #[serde(default = "default_rate")]
    pub reads_per_s: f64,
    /// Most writes per second of this node.
    #[serde(default = "default_rate")]
    pub writes_per_s: f64,
}

/// Content of the settings file of the binary.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Settings of the agent.
    pub agent: Settings,
    /// Settings of the platform's services.
    pub platform: Platform,
    /// Endpoint that takes spans by OTLP over HTTP; absent for none.
    #[serde(default)]
    pub otlp: Option<String>,
}

fn default_max_queued() -> usize {
    256
}

fn default_resume_bytes() -> usize {
    1 << 20
}

/// A quarter of the 256 MB that a node may use.
fn default_resume_total_bytes() -> usize {
    64 << 20
}

fn default_import_bytes_per_s() -> u64 {
    2_000_000_000
}

fn default_deadline() -> DurationSetting {
    DurationSetting(DurationMs(500))
}

/// With 3 agents of plain services this is a tenth of the calls that the platform sustains.
fn default_rate() -> f64 {
    50.0
}

impl Settings {
    /// Parses and checks YAML text; `file` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key and the remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        dw_settings::from_text(file, text)
    }
}

impl Check for Settings {
    fn check(&self) -> Result<(), InvalidValue> {
        positive("max_queued", self.max_queued as f64)?;
        positive("import_bytes_per_s", self.import_bytes_per_s as f64)?;
        if self.resume_bytes < MIN_RESUME_BYTES {
            let problem = format!("{} is too small for one frame", self.resume_bytes);
            let remedy = format!("write at least {MIN_RESUME_BYTES}");
            return Err(InvalidValue::new("resume_bytes", problem, remedy));
        }
        if self.resume_total_bytes < self.resume_bytes {
            let problem = format!("{} is less than resume_bytes", self.resume_total_bytes);
            let remedy = format!("write at least {}", self.resume_bytes);
            return Err(InvalidValue::new("resume_total_bytes", problem, remedy));
        }
        Ok(())
    }
}

impl Check for ProcessSettings {
    fn check(&self) -> Result<(), InvalidValue> {
        self.agent.check().map_err(|fault| {
            InvalidValue::new(format!("agent.{}", fault.key), fault.problem, fault.remedy)
        })?;
        positive("platform.deadline", self.platform.deadline.0 .0 as f64)?;
        positive("platform.reads_per_s", self.platform.reads_per_s)?;
        positive("platform.writes_per_s", self.platform.writes_per_s)
    }
}

fn positive(key: &str, value: f64) -> Result<(), InvalidValue> {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    let problem = format!("{value} is not greater than 0");
    Err(InvalidValue::new(
        key,
        problem,
        "write a number greater than 0",
    ))
}

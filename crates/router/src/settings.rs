//! Settings of the router process.

use std::path::PathBuf;

use dw_api::vms::VmList;
use dw_base::Bytes;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_settings::Addr;
use dw_settings::Check;
use dw_settings::DurationSetting;
use dw_settings::InvalidValue;
use serde::Deserialize;

/// Settings of the router process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node.
    pub node: NodeId,
    /// Data centre in which it runs.
    pub data_centre: DataCentreId,
    /// Address for callers.
    pub listen: Addr,
    /// Address for control traffic.
    pub control: Addr,
    /// Address of the administration API; absent to serve none.
    pub admin: Option<Addr>,
    /// Pause between two reads of the VM list.
    #[serde(default = "default_vm_poll")]
    pub vm_poll: DurationSetting,
    /// Silence after which an agent is sent a heartbeat.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: DurationSetting,
    /// Longest wait for the body of a request.
    #[serde(default = "default_body_wait")]
    pub body_wait: DurationSetting,
    /// Largest body of a request.
    #[serde(default = "default_max_body")]
    pub max_body_bytes: Bytes,
    /// Platform services; absent to use `config_file` and `peers` only.
    pub store: Option<Store>,
    /// File with the configuration as JSON, used without `store`.
    pub config_file: Option<PathBuf>,
    /// Nodes to use until the VM list can be read.
    pub peers: Option<VmList>,
    /// SHA-256 of the token that may declare the first operator, in hexadecimal digits.
    pub bootstrap_token_sha256: Option<String>,
    /// OTLP endpoint for spans, for example `http://127.0.0.1:4318/v1/traces`.
    pub otlp: Option<String>,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Table service.
    pub table: Addr,
    /// Object store.
    pub objects: Addr,
    /// VM list.
    pub vms: Addr,
    /// Longest wait for one call.
    #[serde(default = "default_store_wait")]
    pub wait: DurationSetting,
}

fn default_store_wait() -> DurationSetting {
    DurationSetting(DurationMs(2_000))
}

fn default_vm_poll() -> DurationSetting {
    DurationSetting(DurationMs(1_000))
}

fn default_heartbeat() -> DurationSetting {
    DurationSetting(DurationMs(2_000))
}

fn default_body_wait() -> DurationSetting {
    DurationSetting(DurationMs(30_000))
}

fn default_max_body() -> Bytes {
    Bytes(8 << 20)
}

impl Check for Settings {
    fn check(&self) -> Result<(), InvalidValue> {
        for (key, value) in [
            ("vm_poll", self.vm_poll),
            ("heartbeat", self.heartbeat),
            ("body_wait", self.body_wait),
        ] {
            if value.0 == DurationMs::ZERO {
                return Err(InvalidValue::new(key, "is zero", "write at least 1ms"));
            }
        }
        let is_digest = |text: &str| {
            text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
        };
        if !self.bootstrap_token_sha256.as_deref().is_none_or(is_digest) {
            let remedy = "write 64 digits 0 to 9 and a to f";
            let problem = "is not a SHA-256";
            return Err(InvalidValue::new("bootstrap_token_sha256", problem, remedy));
        }
        if self.max_body_bytes.0 == 0 {
            return Err(InvalidValue::new(
                "max_body_bytes",
                "is zero",
                "write at least 1",
            ));
        }
        Ok(())
    }
}

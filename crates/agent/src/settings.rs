//! Settings of an agent.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use dw_base::DataCentreId;
use dw_base::NodeId;
use dw_base::UpstreamId;
use serde::Deserialize;
use thiserror::Error;

/// Settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings file {file} cannot be read: {source}; check the path and its permissions")]
    Unreadable {
        /// File.
        file: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid YAML or a key is wrong.
    #[error("settings file {file}: {detail}; correct this key, see docs/settings.md")]
    Malformed {
        /// File.
        file: String,
        /// Position, key and cause.
        detail: String,
    },
    /// A value is outside its range.
    #[error("settings file {file}: key {key}: {remedy}")]
    OutOfRange {
        /// File.
        file: String,
        /// Key.
        key: &'static str,
        /// What to write instead.
        remedy: &'static str,
    },
}

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
    /// Address of the upstream, for example `http://127.0.0.1:9000`.
    pub upstream_url: String,
    /// Address of the data path.
    pub data_addr: SocketAddr,
    /// Address of the control path.
    pub control_addr: SocketAddr,
    /// Control addresses of routers, used when the VM list is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Most requests that wait.
    #[serde(default = "default_max_queued")]
    pub max_queued: usize,
    /// Most bytes of one answer that are kept for resuming.
    #[serde(default = "default_resume_bytes")]
    pub resume_bytes: usize,
    /// Speed at which cache pieces are imported from the KV store.
    #[serde(default = "default_import_bytes_per_s")]
    pub import_bytes_per_s: u64,
}

fn default_max_queued() -> usize {
    256
}

fn default_resume_bytes() -> usize {
    1 << 20
}

fn default_import_bytes_per_s() -> u64 {
    2_000_000_000
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the key and the remedy.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            file: file.clone(),
            source,
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, the key and the remedy.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Settings =
            serde_norway::from_str(text).map_err(|e| SettingsError::Malformed {
                file: file.to_owned(),
                detail: e.to_string(),
            })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let url: Result<http::Uri, _> = self.upstream_url.parse();
        let url_is_valid =
            url.is_ok_and(|u| u.scheme_str() == Some("http") && u.authority().is_some());
        let rules = [
            (
                url_is_valid,
                "upstream_url",
                "write a URL like http://127.0.0.1:9000",
            ),
            (self.max_queued > 0, "max_queued", "write at least 1"),
            (
                self.resume_bytes >= 4_096,
                "resume_bytes",
                "write at least 4096",
            ),
            (
                self.import_bytes_per_s > 0,
                "import_bytes_per_s",
                "write at least 1",
            ),
        ];
        match rules.into_iter().find(|(holds, ..)| !holds) {
            Some((_, key, remedy)) => Err(SettingsError::OutOfRange {
                file: file.to_owned(),
                key,
                remedy,
            }),
            None => Ok(()),
        }
    }
}

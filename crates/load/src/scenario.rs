//! YAML scenarios: the load, faults and settings of measurement runs.

use std::path::PathBuf;
use std::time::Duration;

use dw_local::GateName;
use dw_local::PolicyName;
use dw_standin::Fleet;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::capacity::Capacity;
use crate::mix::Deployment;
use crate::workload::RateChange;
use crate::workload::WorkloadSettings;

/// Maximum duration of a run, in seconds; a longer one probably has the wrong unit.
const MAX_DURATION_S: f64 = 86_400.0;

/// Offered load; exactly one of the fields is set.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Load as a share of the estimated capacity of the fleet.
    pub share: Option<f64>,
    /// Requests per second of engine time.
    pub requests_per_s: Option<f64>,
}

/// Fault injected during a run; times are in seconds of engine time after the start.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// Engines crash and restart with an empty cache.
    KillEngines {
        /// Start.
        at_s: f64,
        /// Number of engines, in the order of the fleet description.
        #[serde(default = "default_engine_count")]
        count: usize,
    },
    /// Engines slow down.
    SlowEngines {
        /// Start.
        at_s: f64,
        /// End; the end of the run if absent.
        until_s: Option<f64>,
        /// Share of the engines, evenly spaced over the fleet description.
        share: f64,
        /// Factor by which prefill, decode and transfer times are multiplied.
        factor: f64,
    },
    /// Engines drop cache events instead of publishing them.
    LoseEvents {
        /// Start.
        at_s: f64,
        /// End; the end of the run if absent.
        until_s: Option<f64>,
        /// Share of the events that is dropped.
        share: f64,
    },
    /// The popularity of prompt prefixes is reshuffled.
    Shift {
        /// Start.
        at_s: f64,
    },
    /// All routers are replaced by new ones at the same time.
    RestartRouters {
        /// Start.
        at_s: f64,
    },
    /// The offered load changes.
    Load {
        /// Start.
        at_s: f64,
        /// End; the end of the run if absent.
        until_s: Option<f64>,
        /// New load as a share of the estimated capacity of the fleet.
        share: f64,
    },
}

fn default_engine_count() -> usize {
    1
}

/// Variant of a scenario with its own load and faults.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Name, unique within the scenario; part of the plot file names.
    pub name: String,
    /// Offered load; that of the scenario if absent.
    #[serde(default)]
    pub load: Option<Load>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Scenario: measurement runs over all combinations of cases, policies and seeds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Deployment that supplies the service mix.
    pub deployment: Deployment,
    /// Path of the fleet description; the example fleet of the deployment if absent.
    #[serde(default)]
    pub fleet: Option<PathBuf>,
    /// Seeds; each gives one run, and the samples of all runs are reported together.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// Offered load.
    pub load: Load,
    /// Duration of the load, in seconds of engine time.
    pub duration_s: f64,
    /// Warm-up at the start of the run that is left out of the report, in seconds of engine time.
    #[serde(default)]
    pub warm_up_s: f64,
    /// Seconds of engine time per second of wall-clock time.
    #[serde(default = "default_speedup")]
    pub speedup: f64,
    /// Number of routers.
    #[serde(default = "default_routers")]
    pub routers: usize,
    /// Placement policies; all of them if empty.
    #[serde(default)]
    pub policies: Vec<String>,
    /// Admission gate of the agents.
    #[serde(default = "default_gate")]
    pub gate: String,
    /// Whether agents import and export cache pieces through the KV store.
    #[serde(default = "default_kv_import")]
    pub kv_import: bool,
    /// Cache hit rate of the shared prompt tokens that the capacity estimate assumes.
    #[serde(default = "default_hit_rate")]
    pub reference_hit_rate: f64,
    /// Window length of the time series, in seconds of engine time.
    #[serde(default = "default_window_s")]
    pub window_s: f64,
    /// Cases; a single case `steady` without faults if empty.
    #[serde(default)]
    pub cases: Vec<Case>,
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

fn default_speedup() -> f64 {
    1.0
}

fn default_routers() -> usize {
    3
}

fn default_gate() -> String {
    "fair-preempt".to_owned()
}

fn default_kv_import() -> bool {
    true
}

fn default_hit_rate() -> f64 {
    0.7
}

fn default_window_s() -> f64 {
    2.5
}

/// Error in a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The YAML text is malformed or has missing or unknown keys.
    #[error("{0}; see examples/experiment-division.yaml for a complete scenario")]
    Malformed(#[from] serde_norway::Error),
    /// A value is out of range or unknown.
    #[error("{key}: {remedy}")]
    Invalid {
        /// Path of the key.
        key: String,
        /// Instruction for correcting the value.
        remedy: &'static str,
    },
}

fn invalid(key: impl Into<String>, remedy: &'static str) -> ScenarioError {
    ScenarioError::Invalid {
        key: key.into(),
        remedy,
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

impl Load {
    fn validate(self, key: &str) -> Result<(), ScenarioError> {
        match (self.share, self.requests_per_s) {
            (Some(value), None) | (None, Some(value)) if is_positive(value) => Ok(()),
            (Some(_), None) | (None, Some(_)) => Err(invalid(key, "write a number above 0")),
            _ => Err(invalid(key, "set either share or requests_per_s")),
        }
    }

    /// Returns the load in requests per second of engine time.
    pub fn rate_per_s(self, capacity: &Capacity) -> f64 {
        let share = self.share.map(|share| share * capacity.requests_per_s);
        self.requests_per_s.or(share).unwrap_or_default()
    }
}

impl Fault {
    /// Returns the start, in seconds of engine time.
    pub fn at_s(&self) -> f64 {
        match self {
            Fault::KillEngines { at_s, .. }
            | Fault::SlowEngines { at_s, .. }
            | Fault::LoseEvents { at_s, .. }
            | Fault::Shift { at_s }
            | Fault::RestartRouters { at_s }
            | Fault::Load { at_s, .. } => *at_s,
        }
    }

    /// Returns the end, in seconds of engine time, or `None` if the fault has none.
    pub fn until_s(&self) -> Option<f64> {
        match self {
            Fault::SlowEngines { until_s, .. }
            | Fault::LoseEvents { until_s, .. }
            | Fault::Load { until_s, .. } => *until_s,
            _ => None,
        }
    }

    /// Returns whether the fault changes the arrivals rather than the engines or routers.
    pub fn is_load_change(&self) -> bool {
        matches!(self, Fault::Shift { .. } | Fault::Load { .. })
    }

    fn validate(&self, key: &str, duration_s: f64) -> Result<(), ScenarioError> {
        let key = |name: &str| format!("{key}.{name}");
        if !(self.at_s().is_finite() && (0.0..duration_s).contains(&self.at_s())) {
            return Err(invalid(key("at_s"), "write a time before duration_s"));
        }
        let is_after_start = |until_s: f64| until_s.is_finite() && until_s > self.at_s();
        if !self.until_s().is_none_or(is_after_start) {
            return Err(invalid(key("until_s"), "write a time after at_s"));
        }
        let share = match self {
            Fault::SlowEngines { share, .. } | Fault::LoseEvents { share, .. } => *share,
            _ => 1.0,
        };
        if !(is_positive(share) && share <= 1.0) {
            return Err(invalid(key("share"), "write a share above 0 and at most 1"));
        }
        match self {
            Fault::SlowEngines { factor, .. } if !is_positive(*factor) => {
                Err(invalid(key("factor"), "write a number above 0"))
            }
            Fault::Load { share, .. } if !is_positive(*share) => {
                Err(invalid(key("share"), "write a number above 0"))
            }
            Fault::KillEngines { count: 0, .. } => Err(invalid(key("count"), "write at least 1")),
            _ => Ok(()),
        }
    }
}

impl Scenario {
    /// Parses and validates a scenario.
    pub fn from_yaml(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = serde_norway::from_str(text)?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), ScenarioError> {
        self.load.validate("load")?;
        let numbers = [
            ("duration_s", self.duration_s),
            ("speedup", self.speedup),
            ("window_s", self.window_s),
        ];
        if let Some((key, _)) = numbers.iter().find(|(_, value)| !is_positive(*value)) {
            return Err(invalid(*key, "write a number above 0"));
        }
        if self.duration_s > MAX_DURATION_S {
            return Err(invalid(
                "duration_s",
                "write at most 86400, the unit is seconds",
            ));
        }
        if !(0.0..self.duration_s).contains(&self.warm_up_s) {
            return Err(invalid("warm_up_s", "write a time before duration_s"));
        }
        if !(0.0..1.0).contains(&self.reference_hit_rate) {
            return Err(invalid("reference_hit_rate", "write a share below 1"));
        }
        if self.seeds.is_empty() {
            return Err(invalid("seeds", "write at least one seed"));
        }
        if self.routers == 0 {
            return Err(invalid("routers", "write at least 1"));
        }
        self.validate_policies()?;
        if self.gate.parse::<GateName>().is_err() {
            return Err(invalid("gate", "write fair-preempt, fair or fifo"));
        }
        self.validate_cases()
    }

    /// Checks that every policy name is known.
    pub(crate) fn validate_policies(&self) -> Result<(), ScenarioError> {
        let mut names = self.policies.iter();
        if names.all(|name| name.parse::<PolicyName>().is_ok()) {
            return Ok(());
        }
        let remedy = "write nested, round-robin, least-loaded, flat-prompt or flat-block";
        Err(invalid("policies", remedy))
    }

    fn validate_cases(&self) -> Result<(), ScenarioError> {
        for (index, case) in self.cases.iter().enumerate() {
            let is_duplicate = self.cases[..index].iter().any(|c| c.name == case.name);
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-';
            if case.name.is_empty() || !case.name.chars().all(is_allowed) || is_duplicate {
                let remedy = "write a name of letters, digits and hyphens that no other case has";
                return Err(invalid(format!("cases[{index}].name"), remedy));
            }
            if let Some(load) = case.load {
                load.validate(&format!("cases[{index}].load"))?;
            }
            for (number, fault) in case.faults.iter().enumerate() {
                let key = format!("cases[{index}].faults[{number}]");
                fault.validate(&key, self.duration_s)?;
            }
        }
        Ok(())
    }

    /// Returns the cases, or a single case `steady` without faults if there are none.
    pub fn cases_or_default(&self) -> Vec<Case> {
        if !self.cases.is_empty() {
            return self.cases.clone();
        }
        vec![Case {
            name: "steady".to_owned(),
            ..Case::default()
        }]
    }

    /// Estimates the capacity of a fleet under the service mix of the deployment.
    pub fn capacity(&self, fleet: &Fleet) -> Capacity {
        let services = self.deployment.services();
        Capacity::estimate(fleet, &services, self.reference_hit_rate)
    }

    /// Returns the workload settings of one run, in engine time.
    pub fn workload(&self, case: &Case, seed: u64, capacity: &Capacity) -> WorkloadSettings {
        let load = case.load.unwrap_or(self.load);
        let base_rate_per_s = load.rate_per_s(capacity);
        let mut changes = Vec::new();
        let mut shifts = Vec::new();
        for fault in &case.faults {
            match fault {
                Fault::Shift { at_s } => shifts.push(seconds(*at_s)),
                Fault::Load {
                    at_s,
                    until_s,
                    share,
                } => {
                    let rate_per_s = share * capacity.requests_per_s;
                    changes.push(RateChange {
                        at: seconds(*at_s),
                        rate_per_s,
                    });
                    changes.extend(until_s.map(|until_s| RateChange {
                        at: seconds(until_s),
                        rate_per_s: base_rate_per_s,
                    }));
                }
                _ => {}
            }
        }
        changes.sort_by_key(|change| change.at);
        shifts.sort();
        WorkloadSettings::builder()
            .deployment(self.deployment)
            .seed(seed)
            .rate_per_s(base_rate_per_s)
            .rate_changes(changes)
            .duration(seconds(self.duration_s))
            .shifts(shifts)
            .build()
    }
}

/// Converts a validated number of seconds into a duration.
pub(crate) fn seconds(value_s: f64) -> Duration {
    Duration::try_from_secs_f64(value_s).unwrap_or_default()
}

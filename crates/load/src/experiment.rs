//! Runs every case of a scenario under every policy on a fleet in this process.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs;
use std::time::Duration;

use dw_local::Cluster;
use dw_local::ClusterSettings;
use dw_local::GateName;
use dw_local::PolicyName;
use dw_local::DIVISION;
use dw_local::LETARGO;
use dw_standin::EngineFaults;
use dw_standin::Fleet;
use eyre::WrapErr;
use tokio::task::JoinSet;
use tokio::time::sleep_until;
use tokio::time::Instant;

use crate::cpu::CpuMeter;
use crate::measurement::Counts;
use crate::measurement::Experiment;
use crate::measurement::Measurement;
use crate::mix::organisations;
use crate::mix::Deployment;
use crate::progress::Progress;
use crate::report::Report;
use crate::sample::Sample;
use crate::scenario::seconds;
use crate::scenario::Case;
use crate::scenario::Fault;
use crate::scenario::Scenario;
use crate::sender::send_scaled;
use crate::sender::Routers;
use crate::series::time_series;
use crate::series::Recovery;
use crate::workload::org_token;
use crate::workload::Workload;

/// Runs a scenario on clusters that it starts in this process.
pub struct ExperimentRunner {
    scenario: Scenario,
    description: String,
    fleet: Fleet,
    policies: Vec<PolicyName>,
    gate: GateName,
}

/// Results of one run with one seed.
struct SeedRun {
    samples: Vec<Sample>,
    counts: Counts,
    cpu_share: f64,
}

/// Returns the YAML description of the simulated fleet of a scenario.
pub(crate) fn fleet_description(scenario: &Scenario) -> eyre::Result<String> {
    match (&scenario.fleet, scenario.deployment) {
        (Some(path), _) => fs::read_to_string(path).wrap_err_with(|| {
            format!(
                "fleet file {} cannot be read; correct its path",
                path.display()
            )
        }),
        (None, Deployment::Division) => Ok(DIVISION.to_owned()),
        (None, Deployment::Letargo) => Ok(LETARGO.to_owned()),
    }
}

impl ExperimentRunner {
    /// Resolves the fleet, the policies and the admission gate that a scenario names.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet cannot be read or a policy or the gate does not exist.
    pub fn new(scenario: Scenario) -> eyre::Result<ExperimentRunner> {
        let description = fleet_description(&scenario)?;
        let policies = scenario.policies.iter().map(|name| name.parse());
        let mut policies = policies.collect::<Result<Vec<PolicyName>, _>>()?;
        if policies.is_empty() {
            policies = PolicyName::ALL.to_vec();
        }
        Ok(ExperimentRunner {
            fleet: Fleet::from_yaml(&description)?,
            gate: scenario.gate.parse()?,
            description,
            policies,
            scenario,
        })
    }

    /// Runs every case under every policy, one after the other.
    ///
    /// Recovery from a fault is measured against the first case without faults under the same
    /// policy, if that case comes earlier in the scenario.
    ///
    /// # Errors
    ///
    /// Returns an error if a cluster cannot be started.
    pub async fn run(&self) -> eyre::Result<Experiment> {
        let cases = self.scenario.cases_or_default();
        let runs = cases.len() * self.policies.len() * self.scenario.seeds.len();
        let progress = Progress::new(runs as u64, self.scenario.duration_s);
        let mut measurements: Vec<Measurement> = Vec::new();
        let mut baseline: BTreeMap<PolicyName, Measurement> = BTreeMap::new();
        for case in &cases {
            for policy in &self.policies {
                let mut result = self.measure(case, *policy, &progress).await?;
                match (first_fault_s(case), baseline.get(policy)) {
                    (Some(at_s), Some(baseline)) => {
                        result.recovery =
                            Some(Recovery::measure(&result.series, &baseline.series, at_s));
                    }
                    (None, None) => {
                        baseline.insert(*policy, result.clone());
                    }
                    _ => {}
                }
                measurements.push(result);
            }
        }
        progress.finish();
        Ok(Experiment {
            capacity: self.scenario.capacity(&self.fleet),
            scenario: self.scenario.clone(),
            runs: measurements,
        })
    }

    async fn measure(
        &self,
        case: &Case,
        policy: PolicyName,
        progress: &Progress,
    ) -> eyre::Result<Measurement> {
        let scenario = &self.scenario;
        let mut samples = Vec::new();
        let mut counts = Counts::default();
        let mut cpu_share: f64 = 0.0;
        for seed in &scenario.seeds {
            progress.start_run(&format!("{} {policy} seed {seed}", case.name));
            let run = self.run_seed(case, policy, *seed, progress).await?;
            samples.extend(run.samples);
            counts = counts.plus(run.counts);
            cpu_share = cpu_share.max(run.cpu_share);
        }
        let window = seconds(scenario.window_s);
        let points = time_series(&samples, window, seconds(scenario.duration_s));
        let warm_up = seconds(scenario.warm_up_s);
        samples.retain(|sample| sample.at >= warm_up);
        let load = case.load.unwrap_or(scenario.load);
        let measurement = Measurement {
            case: case.name.clone(),
            policy: policy.to_string(),
            offered_per_s: load.rate_per_s(&scenario.capacity(&self.fleet)),
            cpu_share,
            report: Report::new(&samples),
            counts,
            series: points,
            ..Measurement::default()
        };
        Ok(measurement.with_derived_figures())
    }

    async fn run_seed(
        &self,
        case: &Case,
        policy: PolicyName,
        seed: u64,
        progress: &Progress,
    ) -> eyre::Result<SeedRun> {
        let scenario = &self.scenario;
        let mut cluster = Cluster::start_with(self.cluster_settings(policy, seed)).await?;
        let capacity = scenario.capacity(&self.fleet);
        let workload = Workload::new(scenario.workload(case, seed, &capacity));
        let routers = Routers::new(cluster.callers_addrs());
        let meter = CpuMeter::start();
        let sent = send_scaled(workload, &routers, scenario.speedup, |arrival| {
            progress.set_elapsed(arrival.at);
        });
        let schedule = FaultSchedule::new(scenario, case).run(&mut cluster, &routers);
        let (samples, schedule) = tokio::join!(sent, schedule);
        let (before, draining_routers) = schedule?;
        let cpu_share = meter.share();
        let counts = read_counts(&cluster).since(before);
        drop(draining_routers);
        cluster.shutdown().await;
        Ok(SeedRun {
            samples: samples?,
            counts,
            cpu_share,
        })
    }

    fn cluster_settings(&self, policy: PolicyName, seed: u64) -> ClusterSettings {
        let orgs = organisations();
        let services = self.scenario.deployment.services();
        let worths = services.iter().map(|s| (s.service.to_owned(), s.worth));
        ClusterSettings::builder()
            .description(self.description.as_str())
            .routers(self.scenario.routers)
            .policy(policy)
            .gate(self.gate)
            .kv_import(self.scenario.kv_import)
            .speedup(self.scenario.speedup)
            .organisations(orgs.iter().map(|n| (n.clone(), org_token(n))).collect())
            .worths(worths.collect())
            .seed(seed)
            .build()
    }
}

fn first_fault_s(case: &Case) -> Option<f64> {
    let starts = case.faults.iter().map(Fault::at_s);
    starts.min_by(f64::total_cmp)
}

/// Action on a cluster at a scheduled time.
#[derive(Clone, Copy, Debug)]
enum Action {
    Snapshot,
    Begin(Fault),
    End(Fault),
}

/// Injects the faults of a case at their scheduled times.
struct FaultSchedule {
    actions: Vec<(f64, Action)>,
    speedup: f64,
    engines: BTreeMap<String, EngineFaults>,
}

impl FaultSchedule {
    fn new(scenario: &Scenario, case: &Case) -> Self {
        let mut actions = vec![(scenario.warm_up_s, Action::Snapshot)];
        for fault in case.faults.iter().filter(|fault| !fault.is_load_change()) {
            actions.push((fault.at_s(), Action::Begin(*fault)));
            actions.extend(
                fault
                    .until_s()
                    .map(|until_s| (until_s, Action::End(*fault))),
            );
        }
        actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        FaultSchedule {
            actions,
            speedup: scenario.speedup,
            engines: BTreeMap::new(),
        }
    }

    /// Performs all actions in the order of their times.
    ///
    /// Returns the counters at the end of the warm-up, and the tasks that shut down replaced
    /// routers.
    async fn run(
        mut self,
        cluster: &mut Cluster,
        routers: &Routers,
    ) -> eyre::Result<(Counts, JoinSet<()>)> {
        let start = Instant::now();
        let mut counts = Counts::default();
        let mut draining = JoinSet::new();
        for (at_s, action) in std::mem::take(&mut self.actions) {
            sleep_until(start + Duration::from_secs_f64(at_s / self.speedup)).await;
            match action {
                Action::Snapshot => counts = read_counts(cluster),
                Action::Begin(Fault::RestartRouters { .. }) => {
                    let replaced = cluster.replace_routers().await?;
                    routers.replace(cluster.callers_addrs());
                    for router in replaced {
                        draining.spawn(router.shutdown());
                    }
                }
                Action::Begin(fault) => self.apply_engine_fault(cluster, fault, true),
                Action::End(fault) => self.apply_engine_fault(cluster, fault, false),
            }
        }
        Ok((counts, draining))
    }

    /// Starts (`on`) or ends a fault of the engines that it affects.
    fn apply_engine_fault(&mut self, cluster: &Cluster, fault: Fault, on: bool) {
        let engines = &cluster.fleet().engines;
        for (index, (name, engine)) in engines.iter().enumerate() {
            let faults = self.engines.entry(name.clone()).or_default();
            match fault {
                Fault::KillEngines { count, .. } if index < count => faults.crash = true,
                Fault::SlowEngines { share, factor, .. } if is_selected(index, share) => {
                    faults.slow_factor = if on { factor } else { 1.0 };
                }
                Fault::LoseEvents { share, .. } => {
                    faults.event_loss = if on { share } else { 0.0 };
                }
                _ => continue,
            }
            engine.state.set_faults(faults.clone());
            faults.crash = false;
        }
    }
}

/// Returns whether the item at `index` belongs to an evenly spaced selection of `share` of all
/// items.
fn is_selected(index: usize, share: f64) -> bool {
    ((index + 1) as f64 * share).floor() > (index as f64 * share).floor()
}

/// Reads the counters of the simulated engines and services and of the routers.
fn read_counts(cluster: &Cluster) -> Counts {
    let mut counts = Counts::default();
    let fleet = cluster.fleet();
    for engine in fleet.engines.values() {
        let audit = engine.state.audit();
        counts.computed_tokens += audit.computed_tokens;
        counts.recomputed_tokens += audit.recomputed_tokens;
        counts.cached_tokens += audit.cached_tokens;
        counts.crossings += audit.organisation_crossings;
        counts.crossings += audit.weights_crossings + audit.incarnation_crossings;
    }
    counts.duplicates = duplicate_executions(cluster);
    for metrics in cluster.metrics() {
        let text = metrics.render();
        counts.router_requests += read_counter(&text, "requests");
        counts.router_attempts += read_counter(&text, "attempts");
        counts.router_hops += read_counter(&text, "hops");
        counts.router_resumes += read_counter(&text, "resumes");
    }
    counts
}

/// Returns the number of executions that repeated the idempotency key of an earlier execution for
/// the same organisation and service.
fn duplicate_executions(cluster: &Cluster) -> u64 {
    let mut runs: HashMap<(String, String, String), u64> = HashMap::new();
    for service in cluster.fleet().services.values() {
        for execution in service.state.executions().executions {
            if let Some(key) = execution.key {
                *runs
                    .entry((execution.user, execution.service, key))
                    .or_insert(0) += 1;
            }
        }
    }
    runs.values().map(|count| count - 1).sum()
}

/// Returns the value of a counter from OpenMetrics text, or 0 if it is missing.
pub(crate) fn read_counter(text: &str, name: &str) -> u64 {
    let name = format!("dandelionwall_{name}_total ");
    let value = text.lines().find_map(|line| line.strip_prefix(&name));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

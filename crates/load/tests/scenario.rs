//! Tests scenarios, capacity estimates, time series, recovery, comparisons, plots and experiments.

use std::process::Command;
use std::time::Duration;

use dw_api::callers::Usage;
use dw_load::compare;
use dw_load::plot;
use dw_load::time_series;
use dw_load::Capacity;
use dw_load::Deployment;
use dw_load::Experiment;
use dw_load::ExperimentRunner;
use dw_load::LatencySummary;
use dw_load::Measurement;
use dw_load::Outcome;
use dw_load::Recovery;
use dw_load::Sample;
use dw_load::Scenario;
use dw_load::SeriesPoint;
use dw_load::Workload;
use dw_standin::Fleet;
use serde_json::json;

const DIVISION_SCENARIO: &str = include_str!("../../../examples/experiment-division.yaml");
const LETARGO_SCENARIO: &str = include_str!("../../../examples/experiment-letargo.yaml");

const SHORT_SCENARIO: &str = "
deployment: division
load: {requests_per_s: 15}
duration_s: 4
warm_up_s: 1
speedup: 8
window_s: 0.5
policies: [nested, flat-block]
cases:
  - name: steady
  - name: rough
    faults:
      - {kind: kill-engines, at_s: 1.5}
      - {kind: slow-engines, at_s: 1.5, until_s: 3, share: 0.3334, factor: 4}
      - {kind: lose-events, at_s: 1.5, share: 0.1}
      - {kind: shift, at_s: 2}
      - {kind: restart-routers, at_s: 2.5}
";

/// Guards against invalid example scenarios, and against a capacity estimate that is not limited by
/// the expected model or does not grow with the cache hit rate.
#[test]
fn examples_are_valid_and_have_a_capacity() {
    for (text, model) in [
        (DIVISION_SCENARIO, "quote-writer"),
        (LETARGO_SCENARIO, "care-note"),
    ] {
        let scenario = Scenario::from_yaml(text).expect("the example is valid");
        assert_eq!(scenario.cases_or_default().len(), 8);
        let description = match scenario.deployment {
            Deployment::Division => dw_local::DIVISION,
            Deployment::Letargo => dw_local::LETARGO,
        };
        let fleet = Fleet::from_yaml(description).expect("the fleet is valid");
        let capacity = scenario.capacity(&fleet);
        assert_eq!(capacity.model, model);
        let services = scenario.deployment.services();
        let cached = Capacity::estimate(&fleet, &services, 0.9);
        assert!(cached.requests_per_s > capacity.requests_per_s);
    }
}

/// Guards against invalid scenarios that are accepted, and against errors that do not name the key
/// and a remedy.
#[test]
fn faulty_scenario_names_key_and_remedy() {
    let cases = [
        ("load: {share: 0.8, requests_per_s: 3}", "load: set either"),
        ("load: {share: -1}", "load: write a number above 0"),
        ("load: {share: 0.8}\nseeds: []", "seeds: write at least one"),
        (
            "load: {share: 0.8}\npolicies: [best]",
            "policies: write nested",
        ),
        ("load: {share: 0.8}\ngate: open", "gate: write fair-preempt"),
        (
            "load: {share: 0.8}\nwarm_up_s: 70",
            "warm_up_s: write a time",
        ),
        ("load: {share: 0.8}\nspedup: 3", "unknown field `spedup`"),
        (
            "load: {share: 0.8}\ncases: [{name: a, faults: [{kind: shift, at_s: 61}]}]",
            "cases[0].faults[0].at_s: write a time before duration_s",
        ),
        (
            "load: {share: 0.8}\ncases: [{name: a}, {name: a}]",
            "cases[1].name: write a name",
        ),
    ];
    for (text, expected) in cases {
        let text = format!("deployment: division\nduration_s: 60\n{text}\n");
        let error = Scenario::from_yaml(&text).expect_err(expected).to_string();
        assert!(error.contains(expected), "{error}");
    }
}

/// Guards against invalid options and files that do not give exit code 2 and a remedy.
#[test]
fn wrong_command_lines_exit_with_2() {
    let program = env!("CARGO_BIN_EXE_dandelionwall-load");
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/experiment-division.yaml"
    );
    let cases: [(&[&str], &str); 8] = [
        (
            &["experiment", example, "--case", "flood"],
            "write the name of a case",
        ),
        (&["experiment", example, "--policy", "best"], "write nested"),
        (&[], "write run, experiment"),
        (&["experiment"], "name exactly one YAML file"),
        (&["experiment", "absent.yaml"], "correct this file"),
        (
            &["run", example, "--router", "127.0.0.1:1"],
            "use the experiment command",
        ),
        (&["--compare", example], "name exactly two reports"),
        (&["experiment", example, "--fast"], "see --help"),
    ];
    for (args, expected) in cases {
        let output = Command::new(program).args(args).output().expect("runs");
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(error.contains(expected), "{args:?}: {error}");
    }
}

/// Guards against a load fault that does not change the arrival rate, or changes it too early.
#[test]
fn load_fault_multiplies_arrivals_between_its_times() {
    let scenario = Scenario::from_yaml(DIVISION_SCENARIO).expect("the example is valid");
    let fleet = Fleet::from_yaml(dw_local::DIVISION).expect("the fleet is valid");
    let capacity = scenario.capacity(&fleet);
    let counts = |name: &str| {
        let cases = scenario.cases_or_default();
        let case = cases.iter().find(|case| case.name == name);
        let settings = scenario.workload(case.expect("the case exists"), 1, &capacity);
        let arrivals: Vec<_> = Workload::new(settings).collect();
        let arrivals_between = |from, to| {
            let range = Duration::from_secs(from)..Duration::from_secs(to);
            arrivals.iter().filter(|a| range.contains(&a.at)).count() as f64
        };
        (arrivals_between(0, 20), arrivals_between(20, 40))
    };
    let (baseline, load) = (counts("steady"), counts("load-300"));
    assert_eq!(baseline.0, load.0);
    let factor = load.1 / baseline.1;
    assert!((3.2..4.3).contains(&factor), "{factor}");
}

fn sample(at_s: u64, cached_tokens: u64, first_ms: u64) -> Sample {
    let load = Deployment::Division.services()[0];
    Sample {
        number: at_s,
        at: Duration::from_secs(at_s),
        org: "org-1".to_owned(),
        load,
        first_token: Some(Duration::from_millis(first_ms)),
        total: Duration::from_millis(first_ms + 1),
        outcome: Outcome::Answered {
            usage: Some(Usage {
                cached_tokens,
                completion_tokens: 1,
                prompt_tokens: 1_000,
            }),
        },
    }
}

/// Guards against computing the dip or the recovery time from the wrong points.
#[test]
fn recovery_measures_depth_and_time_of_a_dip() {
    let points = |samples: Vec<Sample>| {
        time_series(&samples, Duration::from_secs(1), Duration::from_secs(30))
    };
    let baseline = points((0..30).map(|at_s| sample(at_s, 800, 100)).collect());
    let is_degraded = |at_s| (10..16).contains(&at_s);
    let faulty = points(
        (0..30)
            .map(|at_s| match is_degraded(at_s) {
                true => sample(at_s, 400, 300),
                false => sample(at_s, 800, 100),
            })
            .collect(),
    );
    let recovery = Recovery::measure(&faulty, &baseline, 10.0);
    assert!((recovery.hit_rate_dip - 0.5).abs() < 0.01, "{recovery:?}");
    assert!((recovery.tail_rise - 3.0).abs() < 0.05, "{recovery:?}");
    assert_eq!(recovery.hit_rate_back_s, Some(6.0));
    assert_eq!(recovery.tail_back_s, Some(6.0));
    let unchanged = Recovery::measure(&baseline, &baseline, 10.0);
    assert_eq!(
        (unchanged.hit_rate_dip, unchanged.hit_rate_back_s),
        (0.0, Some(0.0))
    );
    let permanent = points((0..30).map(|at_s| sample(at_s, 400, 100)).collect());
    assert_eq!(
        Recovery::measure(&permanent, &baseline, 10.0).hit_rate_back_s,
        None
    );
}

/// Guards against matching runs by position instead of case and policy, and against a division by
/// zero.
#[test]
fn comparison_matches_runs_by_case_and_policy() {
    let run = |policy: &str, waste: f64| json!({"case": "a", "policy": policy, "waste": waste});
    let first = json!({"runs": [run("x", 4.0), run("y", 0.0)], "series": [1]});
    let second = json!({"runs": [run("y", 1.0), run("x", 2.0)], "series": [2]});
    let figures = compare(&first, &second);
    let ratios: Vec<_> = figures
        .iter()
        .map(|r| (r.path.as_str(), r.ratio()))
        .collect();
    let expected = [("runs.a/x.waste", Some(0.5)), ("runs.a/y.waste", None)];
    assert_eq!(ratios, expected);
}

/// Guards against missing or incomplete plot files, also for a run without any response.
#[test]
fn plots_are_written_for_every_case() {
    let scenario = Scenario::from_yaml(SHORT_SCENARIO).expect("the scenario is valid");
    let point = SeriesPoint {
        at_s: 1.0,
        first_token: LatencySummary::from_durations([Duration::from_millis(5)].into_iter()),
        ..SeriesPoint::default()
    };
    let run = |case: &str, series| Measurement {
        case: case.to_owned(),
        policy: "nested".to_owned(),
        series,
        ..Measurement::default()
    };
    let experiment = Experiment {
        capacity: Capacity::default(),
        runs: vec![run("steady", vec![point]), run("rough", Vec::new())],
        scenario,
    };
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("plots");
    std::fs::create_dir_all(&dir).expect("the directory can be created");
    plot(&experiment, &dir).expect("plots are written");
    for case in ["steady", "rough"] {
        for name in [
            "hit-rate",
            "nested-first-token",
            "recomputed",
            "urgent-p99",
            "worth",
        ] {
            let file = dir.join(format!("{case}-{name}.svg"));
            let text = std::fs::read_to_string(&file).expect("the plot exists");
            assert!(text.contains("</svg>"), "{}", file.display());
        }
    }
}

/// Guards against an experiment that loses samples, repeats at-most-once calls, uses cached blocks
/// of another organisation, weights version or incarnation, or skips a policy, also with several
/// faults at once.
#[tokio::test(flavor = "multi_thread")]
async fn experiment_measures_every_policy_under_faults() {
    let scenario = Scenario::from_yaml(SHORT_SCENARIO).expect("the scenario is valid");
    let runner = ExperimentRunner::new(scenario).expect("the names exist");
    let experiment = runner.run().await.expect("the clusters start");
    let names = experiment.runs.iter();
    let names: Vec<_> = names
        .map(|r| (r.case.as_str(), r.policy.as_str()))
        .collect();
    let expected = [
        ("steady", "nested"),
        ("steady", "flat-block"),
        ("rough", "nested"),
        ("rough", "flat-block"),
    ];
    assert_eq!(names, expected);
    for run in &experiment.runs {
        let all = &run.report.all;
        let outcomes = all.answered + all.refused + all.broken_streams() + all.unreachable;
        assert!(all.sent > 0 && outcomes == all.sent, "{run:?}");
        assert_eq!((run.counts.duplicates, run.counts.crossings), (0, 0));
        assert!(run.counts.computed_tokens > 0);
        assert!(run.counts.router_attempts > 0);
        assert_eq!(run.recovery.is_some(), run.case == "rough");
    }
}

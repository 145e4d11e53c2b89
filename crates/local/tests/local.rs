//! Both deployments in one process.

use std::process::Command;

use dw_local::run_examples;
use dw_local::Cluster;
use dw_local::DIVISION;
use dw_local::LETARGO;

/// Guards against a first run that fails, and against rows that do not say where or why.
#[test]
fn once_shows_every_example() {
    let program = env!("CARGO_BIN_EXE_dandelionwall-local");
    let output = Command::new(program).arg("--once").output().expect("runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{text}{errors}");
    let rows: Vec<&str> = text.lines().filter(|line| line.contains(" 200 ")).collect();
    assert_eq!(rows.len(), 15, "{text}");
    assert!(rows.iter().all(|row| !row.ends_with(" -")), "{text}");
}

/// Guards against a second deposit or move for a repeated key, and against cache entries that
/// cross organisations, weights or incarnations.
#[tokio::test]
async fn repeated_keys_run_once_and_caches_are_not_crossed() {
    for (description, service) in [(DIVISION, "deposit"), (LETARGO, "fridge-move")] {
        let cluster = Cluster::start(description).await.expect("started");
        let rows = run_examples(&cluster).await.expect("answers");
        assert!(rows.iter().all(|row| row.complete), "{rows:?}");
        let fleet = cluster.fleet();
        let runs: usize = fleet
            .services
            .iter()
            .filter(|(name, _)| name.starts_with(service))
            .map(|(_, started)| started.state.executions().executions.len())
            .sum();
        assert_eq!(runs, 1, "{service}");
        for (name, engine) in &fleet.engines {
            let audit = engine.state.audit();
            let crossings = audit.organisation_crossings
                + audit.weights_crossings
                + audit.incarnation_crossings;
            assert_eq!(crossings, 0, "{name}");
        }
        cluster.shutdown().await;
    }
}

/// Guards against options that are silently ignored.
#[test]
fn unknown_option_is_refused() {
    let program = env!("CARGO_BIN_EXE_dandelionwall-local");
    let output = Command::new(program).arg("--twice").output().expect("runs");
    assert_eq!(output.status.code(), Some(2));
}

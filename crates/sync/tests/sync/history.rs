//! Histories of concurrent operators with lost answers and outages.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dw_base::ConfigVersion;
use dw_config::CommitError;
use dw_config::CommittedChange;
use dw_config::Config;
use dw_config::ConfigSource;
use dw_sync::ConfigNode;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::linearizability::WGLChecker;
use todc_utils::specifications::Specification;
use tokio::time::sleep;

use crate::common::change;
use crate::common::World;

const OPERATORS: usize = 4;
const CHANGES: u64 = 12;

/// Operation on the head; the value is known at the response.
#[derive(Clone, Copy, Debug)]
enum HeadOp {
    Commit(Option<u64>),
    Read(u64),
}

struct HeadSpec;

impl Specification for HeadSpec {
    type State = u64;
    type Operation = HeadOp;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &HeadOp, head: &u64) -> (bool, u64) {
        match operation {
            HeadOp::Commit(Some(version)) => (*version == head + 1, *version),
            HeadOp::Commit(None) => (true, *head),
            HeadOp::Read(version) => (version == head, *head),
        }
    }
}

type Actions = Arc<Mutex<Vec<(usize, Action<HeadOp>)>>>;
type Versions = Arc<Mutex<Vec<ConfigVersion>>>;
type Outcomes = Vec<(String, Result<u64, CommitError>)>;

async fn operate(
    world: Arc<World>,
    node: Arc<ConfigNode>,
    operator: usize,
    actions: Actions,
    reads: bool,
) -> Outcomes {
    let mut outcomes = Outcomes::new();
    for n in 0..CHANGES {
        let id = format!("c-{operator}-{n}");
        let model = format!("m{}", n % 3);
        // Each change is a process of its own, because an open outcome ends after the next call.
        let process = operator * CHANGES as usize + n as usize;
        let base = node.current().version;
        actions
            .lock()
            .unwrap()
            .push((process, Action::Call(HeadOp::Commit(None))));
        let result = node.commit(change(&id, &model, n), base).await;
        let result = result.map(|report| report.version.0);
        let version = world.stores.version_of_change(&id);
        if !matches!(result, Err(CommitError::OutcomeUnknown(_))) {
            let response = Action::Response(HeadOp::Commit(version));
            actions.lock().unwrap().push((process, response));
        }
        outcomes.push((id, result));
        if reads {
            let reader = 1_000 + operator;
            actions
                .lock()
                .unwrap()
                .push((reader, Action::Call(HeadOp::Read(0))));
            node.poll().await;
            let read = HeadOp::Read(node.current().version.0);
            actions
                .lock()
                .unwrap()
                .push((reader, Action::Response(read)));
        }
    }
    outcomes
}

/// Records the versions in force at a node.
fn watch_versions(node: &Arc<ConfigNode>) -> Versions {
    let versions = Versions::default();
    let (mut receiver, seen) = (node.changes(), Arc::clone(&versions));
    tokio::spawn(async move {
        while receiver.changed().await.is_ok() {
            let version = receiver.borrow_and_update().version;
            seen.lock().unwrap().push(version);
        }
    });
    versions
}

fn check_monotonic(versions: &Versions) {
    let versions = versions.lock().unwrap();
    assert!(!versions.is_empty());
    assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
}

fn replay(world: &World) -> Config {
    let mut config = Config::default();
    for version in 1..=world.stores.head() {
        let value = world
            .stores
            .item(&format!("config/change/{version}"))
            .unwrap();
        let change: CommittedChange = serde_json::from_value(value).unwrap();
        config = config.apply(&change).unwrap();
    }
    config
}

fn check_outcomes(world: &World, outcomes: &Outcomes) -> usize {
    for (id, result) in outcomes {
        let logged = world.stores.version_of_change(id);
        match result {
            Ok(version) => assert_eq!(logged, Some(*version), "{id}"),
            Err(CommitError::OutcomeUnknown(_)) => {}
            Err(error) => assert_eq!(logged, None, "{id} was refused: {error}"),
        }
    }
    outcomes.iter().filter(|(_, result)| result.is_ok()).count()
}

fn check_linearizable(world: &World, actions: &Actions, outcomes: &Outcomes) {
    let mut actions = actions.lock().unwrap().clone();
    // An open outcome may take effect at any later moment, so its response comes last.
    for (index, (id, result)) in outcomes.iter().enumerate() {
        if matches!(result, Err(CommitError::OutcomeUnknown(_))) {
            let version = world.stores.version_of_change(id);
            actions.push((index, Action::Response(HeadOp::Commit(version))));
        }
    }
    let history = History::from_actions(actions);
    assert!(WGLChecker::<HeadSpec>::is_linearizable(history));
}

async fn run_history(seed: u64, lost: f64, outages: bool) -> usize {
    let world = World::new(seed);
    let (mut nodes, mut watched) = (Vec::new(), Vec::new());
    for index in 0..OPERATORS {
        let node = world.start(&format!("r{index}"), seed + index as u64).await;
        watched.push(watch_versions(&node));
        nodes.push(node);
    }
    world.faults(|faults| faults.lost = lost);
    let actions = Actions::default();
    let tasks: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            let (world, node) = (Arc::clone(&world), Arc::clone(node));
            tokio::spawn(operate(world, node, index, Arc::clone(&actions), !outages))
        })
        .collect();
    if outages {
        for _ in 0..4 {
            sleep(Duration::from_millis(700)).await;
            world.faults(|faults| faults.table_down = true);
            world.cut("r3", true);
            sleep(Duration::from_millis(3_000)).await;
            world.faults(|faults| faults.table_down = false);
            world.cut("r3", false);
        }
        // A restarted node must not fall behind the others.
        let before = nodes[0].current().version;
        nodes[0] = world.start("r0", seed + 100).await;
        assert!(nodes[0].current().version >= before);
    }
    let mut outcomes = Outcomes::new();
    for task in tasks {
        outcomes.extend(task.await.unwrap());
    }
    sleep(Duration::from_millis(10_000)).await;
    let wanted = replay(&world);
    assert!(dw_config::validate(&wanted).is_empty());
    for node in &nodes {
        assert_eq!(*node.current(), wanted);
        assert!(node.is_current());
    }
    watched.iter().for_each(check_monotonic);
    check_linearizable(&world, &actions, &outcomes);
    check_outcomes(&world, &outcomes)
}

/// Guards against a lost answer that makes a change count twice, vanish or be refused wrongly.
#[tokio::test(start_paused = true)]
async fn concurrent_operators_with_lost_answers() {
    let mut accepted = 0;
    for seed in 0..20 {
        accepted += run_history(seed, 0.3, false).await;
    }
    assert!(accepted > 100, "only {accepted} changes were accepted");
}

/// Guards against refusals that took effect, and versions that revert, around outages and cuts.
#[tokio::test(start_paused = true)]
async fn concurrent_operators_with_outages() {
    let mut accepted = 0;
    for seed in 100..120 {
        accepted += run_history(seed, 0.3, true).await;
    }
    assert!(accepted > 100, "only {accepted} changes were accepted");
}

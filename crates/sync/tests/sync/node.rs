//! Single situations of a node: cut off, restarted, lagging.

use std::time::Duration;

use dw_base::ConfigVersion;
use dw_config::CommitError;
use dw_config::ConfigSource;
use dw_wire::ConfigUpdate;
use tokio::time::sleep;

use crate::common::change;
use crate::common::make_changes;
use crate::common::World;

const NEWEST: ConfigVersion = ConfigVersion(u64::MAX);

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Guards against a command that returns before all nodes have the change, or hides a node that
/// lacks it, and against a cut node that goes on serving.
#[tokio::test(start_paused = true)]
async fn a_cut_node_is_named_stops_and_catches_up() {
    let world = World::new(1);
    let first = world.start("r1", 1).await;
    let second = world.start("r2", 2).await;
    let report = first.commit(change("a", "m", 1), NEWEST).await.unwrap();
    assert_eq!(
        (report.version, report.unconfirmed),
        (ConfigVersion(1), vec![])
    );
    assert_eq!(second.current().version, ConfigVersion(1));
    world.cut("r2", true);
    let report = first.commit(change("b", "m", 2), NEWEST).await.unwrap();
    assert_eq!(report.unconfirmed, vec!["r2".parse().unwrap()]);
    assert!(first.is_current() && !second.is_current());
    assert_eq!(second.current().version, ConfigVersion(1));
    world.cut("r2", false);
    sleep_ms(6_000).await;
    assert!(second.is_current());
    assert_eq!(*second.current(), *first.current());
}

/// Guards against a stop of the service when only the table is down, and against changes that are
/// accepted then.
#[tokio::test(start_paused = true)]
async fn a_table_outage_refuses_changes_only() {
    let world = World::new(2);
    let first = world.start("r1", 1).await;
    let second = world.start("r2", 2).await;
    make_changes(&first, "a", 1).await;
    world.faults(|faults| faults.table_down = true);
    sleep_ms(60_000).await;
    assert!(first.is_current() && second.is_current());
    let error = first.commit(change("b", "m", 2), NEWEST).await.unwrap_err();
    assert!(matches!(error, CommitError::Unavailable(_)));
    assert_eq!(first.current().version, ConfigVersion(1));
}

/// Guards against an open outcome reported as refused, and a repeated change that counts twice.
#[tokio::test(start_paused = true)]
async fn an_open_outcome_is_settled_by_sending_again() {
    let world = World::new(3);
    let node = world.start("r1", 1).await;
    world.faults(|faults| {
        faults.lost = 1.0;
        faults.down_after_loss = true;
    });
    let error = node.commit(change("a", "m", 1), NEWEST).await.unwrap_err();
    assert!(matches!(error, CommitError::OutcomeUnknown(_)));
    world.faults(|faults| *faults = Default::default());
    for _ in 0..2 {
        let report = node
            .commit(change("a", "m", 1), ConfigVersion(0))
            .await
            .unwrap();
        assert_eq!(report.version, ConfigVersion(1));
    }
    let other = node.commit(change("a", "m", 2), NEWEST).await.unwrap_err();
    assert!(matches!(other, CommitError::Refused(_)), "{other}");
    assert_eq!(world.stores.head(), 1);
}

/// Guards against a conflict that is not noticed or names the wrong version.
#[tokio::test(start_paused = true)]
async fn a_conflict_names_the_version_that_won() {
    let world = World::new(4);
    let node = world.start("r1", 1).await;
    make_changes(&node, "a", 2).await;
    let base = ConfigVersion(1);
    let error = node
        .commit(change("b", "arches", 9), base)
        .await
        .unwrap_err();
    let CommitError::Conflict { lost_to, .. } = error else {
        panic!("{error}");
    };
    assert_eq!(lost_to, ConfigVersion(2));
    let other = node.commit(change("c", "other", 9), base).await.unwrap();
    assert_eq!(other.version, ConfigVersion(3));
}

/// Guards against a restarted node that takes an old snapshot, or another restarted node, for the
/// newest configuration while the table is down.
#[tokio::test(start_paused = true)]
async fn a_restart_without_table_never_reverts() {
    let world = World::new(5);
    let first = world.start("r1", 1).await;
    world.start("r2", 2).await;
    make_changes(&first, "a", 70).await;
    assert_eq!(world.stores.snapshots().len(), 1);
    world.faults(|faults| faults.table_down = true);
    let restarted = world.start("r2", 3).await;
    assert!(restarted.is_current());
    assert_eq!(restarted.current().version, ConfigVersion(70));
    world.cut("r1", true);
    let again = world.start("r2", 4).await;
    let third = world.start("r3", 5).await;
    sleep_ms(20_000).await;
    assert!(!again.is_current() && !third.is_current());
    world.faults(|faults| faults.table_down = false);
    sleep_ms(6_000).await;
    assert!(again.is_current() && third.is_current());
    assert_eq!(third.current().version, ConfigVersion(70));
}

/// Guards against snapshots that are given up after a failure, and against a lagging node that
/// cannot use them.
#[tokio::test(start_paused = true)]
async fn snapshots_are_retried_and_serve_a_lagging_node() {
    let world = World::new(6);
    let first = world.start("r1", 1).await;
    world.faults(|faults| faults.objects_down = true);
    make_changes(&first, "a", 64).await;
    assert!(world.stores.snapshots().is_empty());
    world.faults(|faults| faults.objects_down = false);
    sleep_ms(6_000).await;
    assert_eq!(
        world.stores.snapshots(),
        ["config/snapshot/00000000000000000064"]
    );
    make_changes(&first, "b", 300).await;
    let late = world.start("r2", 2).await;
    assert_eq!(*late.current(), *first.current());
    assert!(matches!(
        first.newer(ConfigVersion(1)),
        Some(ConfigUpdate::Snapshot { .. })
    ));
    assert!(matches!(
        first.newer(ConfigVersion(200)),
        Some(ConfigUpdate::Changes { .. })
    ));
}

/// Guards against a node that waits for its next poll although a peer announced a newer version.
#[tokio::test(start_paused = true)]
async fn an_announced_version_is_fetched_from_the_peer() {
    let world = World::new(7);
    let first = world.start("r1", 1).await;
    make_changes(&first, "a", 1).await;
    let second = world.start("r2", 2).await;
    world.remove("r2");
    make_changes(&first, "b", 1).await;
    world.faults(|faults| faults.table_down = true);
    second.observe(&"r1".parse().unwrap(), ConfigVersion(2));
    sleep_ms(50).await;
    assert_eq!(second.current().version, ConfigVersion(2));
}

/// Guards against a node that takes hostile data from the table, or loses its configuration by it.
#[tokio::test(start_paused = true)]
async fn hostile_items_change_nothing() {
    let world = World::new(8);
    let node = world.start("r1", 1).await;
    make_changes(&node, "a", 1).await;
    let before = node.current();
    let hostile = [
        ("config/head", serde_json::json!("newest")),
        ("config/head", serde_json::json!(2)),
        ("config/change/2", serde_json::json!({"version": 2})),
        ("config/object/model/arches", serde_json::json!([1])),
    ];
    for (key, value) in hostile {
        world.stores.put(key, value);
        let error = node
            .commit(change("b", "arches", 2), NEWEST)
            .await
            .unwrap_err();
        assert!(matches!(error, CommitError::Malformed(_)), "{key}: {error}");
        sleep_ms(6_000).await;
        assert_eq!(node.current(), before);
    }
}

/// Guards against a node that counts as isolated although one of many dead peers answers.
#[tokio::test(start_paused = true)]
async fn one_live_peer_among_dead_ones_is_enough() {
    let world = World::new(9);
    let first = world.start("r1", 1).await;
    make_changes(&first, "a", 1).await;
    for index in 2..12 {
        world.start(&format!("r{index}"), index).await;
    }
    for index in 3..12 {
        world.cut(&format!("r{index}"), true);
    }
    world.faults(|faults| faults.table_down = true);
    for _ in 0..60 {
        sleep_ms(1_000).await;
        assert!(first.is_current());
    }
}

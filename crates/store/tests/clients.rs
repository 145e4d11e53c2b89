//! Checks the HTTP clients against the stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use dw_api::table::Check;
use dw_api::table::ReadRequest;
use dw_api::table::TxnRequest;
use dw_api::table::Write;
use dw_base::DurationMs;
use dw_standin::ephemeral_addr;
use dw_standin::start_objects;
use dw_standin::start_table;
use dw_standin::start_vms;
use dw_standin::MemoryObjects;
use dw_standin::MemoryTable;
use dw_standin::MemoryVms;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_standin::PlatformLimits;
use dw_store::Endpoint;
use dw_store::HttpObjects;
use dw_store::HttpTable;
use dw_store::HttpVms;
use dw_store::NodeBudget;
use dw_store::Objects;
use dw_store::StoreError;
use dw_store::Table;
use dw_store::VmSource;
use serde_json::json;

fn endpoint(addr: SocketAddr, deadline_ms: u64) -> Endpoint {
    Endpoint {
        addr,
        deadline: DurationMs(deadline_ms),
        budget: Arc::new(NodeBudget::new(1_000.0, 1_000.0)),
    }
}

fn write(key: &str, version: u64) -> TxnRequest {
    TxnRequest {
        checks: vec![Check {
            key: key.to_owned(),
            version,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(json!({"n": 1})),
        }],
    }
}

fn read(key: &str) -> ReadRequest {
    ReadRequest {
        after: None,
        keys: vec![key.to_owned()],
        limit: None,
        prefix: None,
    }
}

/// Guards against a transaction that is applied although its check does not hold.
#[tokio::test]
async fn failed_check_names_the_version_and_writes_nothing() {
    let running = start_table(ephemeral_addr(), Arc::default()).await.unwrap();
    let table = HttpTable::new(endpoint(running.addr(), 60_000));
    let first = table.transact(&write("a", 0)).await.unwrap();
    let second = table.transact(&write("a", 0)).await.unwrap();
    assert!(first.committed && !second.committed);
    assert_eq!(second.conflicts[0].version, first.version);
    let items = table.read(&read("a")).await.unwrap().items;
    assert_eq!(items[0].version, first.version);
    running.stop().await;
}

/// Guards against reporting a write that took effect as certainly not carried out.
#[tokio::test]
async fn lost_answer_to_a_write_is_an_unknown_outcome() {
    let memory = Arc::new(MemoryTable::default());
    let running = start_table(ephemeral_addr(), Arc::clone(&memory))
        .await
        .unwrap();
    let table = HttpTable::new(endpoint(running.addr(), 60_000));
    memory.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    let lost = table.transact(&write("a", 0)).await.unwrap_err();
    assert!(matches!(lost, StoreError::UnknownOutcome { .. }), "{lost}");
    assert_eq!(table.read(&read("a")).await.unwrap().items.len(), 1);
    assert_eq!(memory.counters().writes, 1);
}

/// Guards against an unbounded wait for a service that accepts calls and never answers.
#[tokio::test]
async fn deadline_ends_a_call_that_hangs() {
    let memory = Arc::new(MemoryTable::default());
    let running = start_table(ephemeral_addr(), Arc::clone(&memory))
        .await
        .unwrap();
    let table = HttpTable::new(endpoint(running.addr(), 50));
    memory.set_faults(PlatformFaults {
        outage: Outage::Hang,
        ..PlatformFaults::default()
    });
    let written = table.transact(&write("a", 0)).await.unwrap_err();
    assert!(matches!(written, StoreError::UnknownOutcome { .. }));
    let found = table.read(&read("a")).await.unwrap_err();
    assert!(matches!(found, StoreError::Unavailable { .. }));
}

/// Guards against treating a refused connection or a refusal by the service as an unknown outcome.
#[tokio::test]
async fn refused_write_is_unavailable() {
    let memory = Arc::new(MemoryTable::default());
    let running = start_table(ephemeral_addr(), Arc::clone(&memory))
        .await
        .unwrap();
    let table = HttpTable::new(endpoint(running.addr(), 60_000));
    memory.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let refused = table.transact(&write("a", 0)).await.unwrap_err();
    assert!(matches!(refused, StoreError::Unavailable { .. }));
    running.stop().await;
    let unreachable = table.transact(&write("a", 0)).await.unwrap_err();
    assert!(
        matches!(unreachable, StoreError::Unavailable { .. }),
        "{unreachable}"
    );
}

/// Guards against a client that exceeds the node's share of the service's rate.
#[tokio::test(start_paused = true)]
async fn node_budget_refills_at_its_rate() {
    let budget = NodeBudget::new(1.0, 2.0);
    assert!(budget.take_read() && !budget.take_read());
    assert!(budget.take_write() && budget.take_write() && !budget.take_write());
    tokio::time::advance(std::time::Duration::from_millis(500)).await;
    assert!(budget.take_write() && !budget.take_write() && !budget.take_read());
}

/// Guards against a second creation that replaces an object, and against listings of other prefixes.
#[tokio::test]
async fn objects_are_created_once_and_listed_by_prefix() {
    let memory = Arc::new(MemoryObjects::default());
    let running = start_objects(ephemeral_addr(), memory).await.unwrap();
    let objects = HttpObjects::new(endpoint(running.addr(), 60_000));
    assert!(objects.create("s/1", Bytes::from("one")).await.unwrap());
    assert!(!objects.create("s/1", Bytes::from("two")).await.unwrap());
    assert!(objects.create("t/1", Bytes::from("x")).await.unwrap());
    assert_eq!(objects.get("s/1").await.unwrap().unwrap(), "one");
    assert_eq!(objects.get("s/2").await.unwrap(), None);
    assert_eq!(objects.list("s/").await.unwrap(), ["s/1"]);
    let rejected = objects.get("s 1").await.unwrap_err();
    assert!(matches!(rejected, StoreError::Rejected { .. }));
}

/// Guards against a list client that cannot read the service's answer.
#[tokio::test]
async fn vm_list_is_read() {
    let memory = Arc::new(MemoryVms::new(PlatformLimits::default(), DurationMs::ZERO));
    let running = start_vms(ephemeral_addr(), Arc::clone(&memory))
        .await
        .unwrap();
    let vms = HttpVms::new(endpoint(running.addr(), 60_000));
    memory.set_vms(Vec::new());
    assert_eq!(vms.vms().await.unwrap().seq, 1);
}

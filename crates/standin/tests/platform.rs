//! Tests of the in-memory platform services.

use std::time::Duration;

use dw_api::table::ReadRequest;
use dw_api::table::TxnRequest;
use dw_api::table::Write;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::DurationMs;
use dw_standin::MemoryTable;
use dw_standin::MemoryVms;
use dw_standin::PlatformFaults;
use dw_standin::PlatformLimits;
use dw_store::StoreError;
use dw_store::Table;
use dw_store::VmSource;
use serde_json::json;

fn put(keys: &[&str]) -> TxnRequest {
    TxnRequest {
        checks: Vec::new(),
        writes: keys
            .iter()
            .map(|key| Write {
                key: (*key).to_owned(),
                value: Some(json!(1)),
            })
            .collect(),
    }
}

/// Guards against versions that do not grow across keys, and against wrong pages of a prefix scan.
#[tokio::test]
async fn versions_grow_over_all_keys_and_scans_are_paged() {
    let table = MemoryTable::default();
    let first = table.transact(&put(&["p/a", "p/b", "p/c"])).await.unwrap();
    let second = table.transact(&put(&["q"])).await.unwrap();
    assert!(second.version > first.version);
    let page = ReadRequest {
        after: Some("p/a".to_owned()),
        keys: vec!["q".to_owned()],
        limit: Some(1),
        prefix: Some("p/".to_owned()),
    };
    let items = table.read(&page).await.unwrap().items;
    let keys: Vec<&str> = items.iter().map(|item| item.key.as_str()).collect();
    assert_eq!(keys, ["p/b", "q"]);
}

/// Guards against a stand-in that admits writes above its rate limit.
#[tokio::test(start_paused = true)]
async fn writes_beyond_the_limit_are_refused() {
    let table = MemoryTable::new(PlatformLimits {
        reads_per_s: 1.0,
        writes_per_s: 2.0,
    });
    table.transact(&put(&["a"])).await.unwrap();
    table.transact(&put(&["a"])).await.unwrap();
    let refused = table.transact(&put(&["a"])).await.unwrap_err();
    assert!(matches!(refused, StoreError::Unavailable { .. }));
    assert_eq!(table.counters().rate_limited, 1);
}

/// Guards against a `delay_ms` fault that does not delay calls.
#[tokio::test(start_paused = true)]
async fn delay_fault_delays_calls() {
    let table = MemoryTable::default();
    table.set_faults(PlatformFaults {
        delay_ms: 700,
        ..PlatformFaults::default()
    });
    let before = tokio::time::Instant::now();
    table.transact(&put(&["a"])).await.unwrap();
    assert!(before.elapsed() >= Duration::from_millis(700));
}

/// Guards against changes of the VM list that are visible before the lag has passed.
#[tokio::test(start_paused = true)]
async fn vm_list_lags() {
    let vms = MemoryVms::new(PlatformLimits::default(), DurationMs(2_000));
    vms.set_vms(vec![Vm {
        control_addr: "127.0.0.1:1".to_owned(),
        data_addr: "127.0.0.1:2".to_owned(),
        data_centre: "ikeja".to_owned(),
        name: "r1".to_owned(),
        role: VmRole::Router,
        state: VmState::Live,
        upstream: None,
    }]);
    assert!(vms.vms().await.unwrap().vms.is_empty());
    tokio::time::advance(Duration::from_millis(2_000)).await;
    assert_eq!(vms.vms().await.unwrap().vms.len(), 1);
}

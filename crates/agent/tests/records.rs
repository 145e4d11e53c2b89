//! Table writes, retention and bodies of outcome records.

mod common;

use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use common::call_request;
use common::run;
use common::Setup;
use dw_agent::Agent;
use dw_agent::Writer;
use dw_api::table::ReadRequest;
use dw_api::table::ReadResponse;
use dw_api::table::TxnRequest;
use dw_api::table::TxnResponse;
use dw_base::DurationMs;
use dw_base::ManualClock;
use dw_base::SystemClock;
use dw_base::TimeMs;
use dw_outcome::Event;
use dw_outcome::MAX_BATCH_ITEMS;
use dw_outcome::RETENTION_MS;
use dw_standin::MemoryTable;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_store::Objects;
use dw_store::StoreError;
use dw_store::Table;
use dw_wire::Answer;
use dw_wire::Frame;

/// A table that records its transactions.
#[derive(Default)]
struct Recorder {
    table: MemoryTable,
    transactions: Mutex<Vec<TxnRequest>>,
}

#[async_trait]
impl Table for Recorder {
    async fn transact(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        let answer = self.table.transact(request).await?;
        let mut transactions = self.transactions.lock().expect("no test has panicked");
        transactions.push(request.clone());
        Ok(answer)
    }

    async fn read(&self, request: &ReadRequest) -> Result<ReadResponse, StoreError> {
        self.table.read(request).await
    }
}

fn records(transaction: &TxnRequest) -> usize {
    let is_record = |key: &str| key.starts_with("outcome/");
    let keys = transaction.writes.iter().map(|write| write.key.as_str());
    keys.filter(|key| is_record(key)).count()
}

/// Guards against a transaction for each record when calls come at the same time.
#[tokio::test]
async fn simultaneous_records_share_transactions() {
    let table = Arc::new(Recorder::default());
    let upstream = "p".parse().expect("valid id");
    let clock = Arc::new(SystemClock::new());
    let writer = Writer::spawn(table.clone(), clock, upstream);
    let writes = (0..2 * MAX_BATCH_ITEMS).map(|number| {
        let key = format!("outcome/org/booking/{number}");
        writer.write(key, serde_json::json!({}), 0)
    });
    let written = futures::future::join_all(writes).await;
    let committed = |event: &&Event| matches!(event, Event::Committed { .. });
    assert_eq!(written.iter().filter(committed).count(), 50);
    let transactions = table.transactions.lock().expect("no test has panicked");
    let sizes: Vec<usize> = transactions.iter().map(records).collect();
    assert_eq!(sizes, [MAX_BATCH_ITEMS, MAX_BATCH_ITEMS]);
}

async fn answer(agent: &Agent, id: &str, key: &str, body: &str) -> Answer {
    let mut frames = run(agent, &call_request(id, key, body)).await.all().await;
    match frames.pop() {
        Some(Frame::Answer(answer)) => answer,
        other => panic!("unexpected {other:?}"),
    }
}

async fn rows(setup: &Setup, prefix: &str) -> Vec<dw_api::table::Item> {
    let request = ReadRequest {
        after: None,
        keys: Vec::new(),
        limit: None,
        prefix: Some(prefix.to_owned()),
    };
    setup.table.read(&request).await.expect("table works").items
}

/// Returns once all records say that their calls have run.
async fn all_done(setup: &Setup) -> Vec<dw_api::table::Item> {
    loop {
        let records = rows(setup, "outcome/").await;
        if records.iter().all(|item| item.value["state"] == "done") {
            return records;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// Guards against calls that cost more than two record writes.
#[tokio::test]
async fn call_costs_two_writes() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    for number in 0..3 {
        answer(&agent, &format!("r{number}"), &format!("k{number}"), "1").await;
        all_done(&setup).await;
    }
    agent.shutdown().await;
    let batches = rows(&setup, "outcome-batch/p/").await;
    let written = batches.iter().map(|item| {
        let keys = item.value["keys"].as_array().expect("keys");
        keys.len()
    });
    assert_eq!(written.sum::<usize>(), 6, "running and done of three calls");
}

/// Guards against records that are kept for ever or deleted early, and against a successor that
/// does not delete those of its predecessor.
#[tokio::test]
async fn records_are_deleted_after_a_day() {
    let mut setup = Setup::new().await;
    let clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
    setup.clock = clock.clone();
    let agent = setup.agent("p").await;
    answer(&agent, "a", "old", "1").await;
    all_done(&setup).await;
    agent.shutdown().await;
    clock.advance(DurationMs(RETENTION_MS.0 / 2));
    let agent = setup.agent("p").await;
    answer(&agent, "b", "young", "1").await;
    all_done(&setup).await;
    assert!(answer(&agent, "c", "old", "1").await.replayed);
    clock.advance(DurationMs(RETENTION_MS.0 / 2 + 1));
    answer(&agent, "d", "new", "1").await;
    let keys = loop {
        let keys: Vec<String> = all_done(&setup).await.into_iter().map(|r| r.key).collect();
        if keys.len() < 3 {
            break keys;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    };
    assert_eq!(
        keys,
        ["outcome/org/booking/new", "outcome/org/booking/young"]
    );
}

/// Guards against long bodies in the table, and against their loss while the object store is down.
#[tokio::test]
async fn long_bodies_go_to_the_object_store() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    let body = serde_json::json!("x".repeat(20_000)).to_string();
    for (key, outage, objects) in [("a", Outage::None, 1), ("b", Outage::Refuse, 1)] {
        setup.objects.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        });
        let first = answer(&agent, &format!("{key}1"), key, &body).await;
        assert!(first.body.len() > 20_000);
        let records = all_done(&setup).await;
        setup.objects.set_faults(PlatformFaults::default());
        let stored = setup.objects.list("outcome-body/").await.expect("works");
        assert_eq!(stored.len(), objects);
        let record = records.iter().find(|item| item.key.ends_with(key));
        let size_bytes = record.expect("written").value.to_string().len();
        assert_eq!(
            size_bytes > 20_000,
            outage == Outage::Refuse,
            "{size_bytes}"
        );
        let again = answer(&agent, &format!("{key}2"), key, &body).await;
        assert!(again.replayed);
        assert_eq!(again.body, first.body);
    }
}

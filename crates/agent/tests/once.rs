//! Calls that run at most once, through real sockets and a table with faults.

mod common;

use std::sync::Arc;

use common::call_request;
use common::run;
use common::Setup;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_wire::Frame;
use dw_wire::RefusalReason;

async fn one(agent: &dw_agent::Agent, id: &str, key: &str, body: &str) -> Frame {
    let mut frames = run(agent, &call_request(id, key, body)).await.all().await;
    assert_eq!(frames.len(), 1, "{frames:?}");
    frames.remove(0)
}

fn reason(frame: &Frame) -> RefusalReason {
    match frame {
        Frame::Refused(refusal) => refusal.reason,
        other => panic!("unexpected {other:?}"),
    }
}

/// Guards against a second run of a key, and against an answer to another body.
#[tokio::test]
async fn key_runs_once() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    let Frame::Answer(first) = one(&agent, "a", "k", "{\"n\":1}").await else {
        panic!("an answer is expected");
    };
    assert_eq!((first.http_status, first.replayed), (201, false));
    assert_eq!(first.body, b"{\"booked\":{\"n\":1}}");
    let replayed = loop {
        match one(&agent, &format!("b{}", next_id()), "k", "{\"n\":1}").await {
            Frame::Answer(answer) => break answer,
            refused => assert_eq!(reason(&refused), RefusalReason::InProgress),
        }
    };
    assert!(replayed.replayed);
    assert_eq!(replayed.body, first.body);
    let reused = one(&agent, "c", "k", "{\"n\":2}").await;
    assert_eq!(reason(&reused), RefusalReason::KeyReused);
    setup.upstream.until(|fake| fake.executions["k"] == 1).await;
}

fn next_id() -> u64 {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::SeqCst)
}

/// Guards against two runs when callers send one key at the same time.
#[tokio::test]
async fn simultaneous_callers_run_once() {
    let setup = Setup::new().await;
    let agent = Arc::new(setup.agent("p").await);
    let calls = (0..8).map(|index| {
        let agent = Arc::clone(&agent);
        async move { one(&agent, &format!("r{index}"), "k", "1").await }
    });
    let frames = futures::future::join_all(calls).await;
    let answers = frames
        .iter()
        .filter(|frame| matches!(frame, Frame::Answer(answer) if !answer.replayed))
        .count();
    assert_eq!(answers, 1);
    setup.upstream.until(|fake| fake.executions["k"] == 1).await;
}

/// Guards against a call that is lost or repeated when the table's answers are lost.
#[tokio::test]
async fn lost_table_answers_are_settled() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    while !registered(&setup).await {
        tokio::task::yield_now().await;
    }
    setup.table.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    let Frame::Answer(answer) = one(&agent, "a", "k", "1").await else {
        panic!("an answer is expected");
    };
    assert!(!answer.replayed);
    setup.upstream.until(|fake| fake.executions["k"] == 1).await;
}

async fn registered(setup: &Setup) -> bool {
    use dw_store::Table;
    let request = dw_api::table::ReadRequest {
        after: None,
        keys: vec!["agent/agent-p".to_owned()],
        limit: None,
        prefix: None,
    };
    let answer = setup.table.read(&request).await.expect("table works");
    !answer.items.is_empty()
}

/// Guards against a refusal as not run of a call that has run, and a call without a record.
#[tokio::test]
async fn table_outage_refuses_before_sending() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    setup.table.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let refused = one(&agent, "a", "k", "1").await;
    assert_eq!(reason(&refused), RefusalReason::TableUnavailable);
    setup
        .upstream
        .until(|fake| fake.executions.is_empty())
        .await;
    setup.table.set_faults(PlatformFaults::default());
    assert!(matches!(one(&agent, "b", "k", "1").await, Frame::Answer(_)));
}

/// Guards against a second run after the answer of the first was lost and the agent was replaced.
#[tokio::test]
async fn lost_call_ends_unknown_after_restart() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    setup.upstream.set(|fake| fake.lose_call_answers = true);
    let Frame::Failed(failure) = one(&agent, "a", "k", "1").await else {
        panic!("a failure is expected");
    };
    assert!(failure.may_have_run);
    let retry = one(&agent, "b", "k", "1").await;
    assert_eq!(reason(&retry), RefusalReason::InProgress);
    let before = agent.status().agent_incarnation;
    agent.kill();
    let agent = loop {
        let agent = setup.agent("p").await;
        if agent.status().agent_incarnation > before {
            break agent;
        }
    };
    let retry = one(&agent, "c", "k", "1").await;
    assert_eq!(reason(&retry), RefusalReason::OutcomeUnknown);
    setup.upstream.until(|fake| fake.executions["k"] == 1).await;
}

/// Guards against a shutdown before the result of a call is written.
#[tokio::test]
async fn shutdown_writes_results() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    assert!(matches!(one(&agent, "a", "k", "1").await, Frame::Answer(_)));
    agent.shutdown().await;
    let agent = setup.agent("p").await;
    let Frame::Answer(answer) = one(&agent, "b", "k", "1").await else {
        panic!("an answer is expected");
    };
    assert!(answer.replayed);
}

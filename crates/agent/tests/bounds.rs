//! Bounds of the memory of an agent.

mod common;

use common::generate_request;
use common::node_state;
use common::resume;
use common::run;
use common::text_of;
use common::Setup;
use dw_wire::FailureKind;
use dw_wire::Frame;

/// Guards against finished answers that fill the memory, and against the loss of the newest one.
#[tokio::test]
async fn oldest_finished_answers_are_dropped() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    for number in 0..40 {
        let request = generate_request(&format!("r{number}"), "hello", 200);
        let frames = run(&agent, &request).await.all().await;
        assert!(matches!(frames.last(), Some(Frame::End(_))));
        let state = node_state(&agent).await;
        let bytes = state["kept_answer_bytes"].as_u64().expect("a count");
        assert!(bytes <= 1 << 16, "{bytes}");
    }
    let oldest = resume(&agent, "r0", 100).await.all().await;
    assert!(
        matches!(oldest.as_slice(), [Frame::Failed(f)] if f.kind == FailureKind::ResumeUnavailable),
        "{oldest:?}"
    );
    let newest = resume(&agent, "r39", 100).await.all().await;
    assert_eq!(text_of(&newest, 100).split_whitespace().count(), 100);
}

/// Guards against records of requests that fill the memory.
#[tokio::test]
async fn explained_requests_are_bounded() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    for number in 0..1_100 {
        let request = generate_request(&format!("r{number}"), "hello", 0);
        let frames = run(&agent, &request).await.all().await;
        assert!(matches!(frames.last(), Some(Frame::End(_))));
    }
    let state = node_state(&agent).await;
    assert_eq!(state["explained_requests"], 1_024);
}

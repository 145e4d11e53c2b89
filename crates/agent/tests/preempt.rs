//! Pre-emption of a running generation.

mod common;

use std::sync::Arc;

use common::config;
use common::fair;
use common::generate_request;
use common::run;
use common::text_of;
use common::Setup;
use dw_agent::Agent;
use dw_base::Priority;
use dw_standin::answer_text;
use dw_standin::ephemeral_addr;
use dw_standin::start_engine;
use dw_standin::Engine;
use dw_standin::EngineFaults;
use dw_standin::EngineSettings;
use dw_standin::WeightLoadTracker;
use dw_wire::Frame;

async fn agent_with_batch_of_one(setup: &Setup) -> Agent {
    let agent = setup.agent_with("e", fair(1)).await;
    while !agent.status().accepting {
        tokio::task::yield_now().await;
    }
    agent
}

/// Runs a generation of 3 tokens that an urgent one pre-empts after its first, and checks it.
async fn preempt(setup: &Setup) {
    setup.upstream.set(|fake| fake.allowed = 1);
    let agent = agent_with_batch_of_one(setup).await;
    let mut slow = run(&agent, &generate_request("slow", "hello", 3)).await;
    let mut frames = Vec::new();
    for _ in 0..2 {
        frames.push(slow.next().await.expect("start and one chunk"));
    }
    let mut urgent = generate_request("fast", "hello", 0);
    urgent.priority = Priority::Urgent;
    let fast = run(&agent, &urgent).await.all().await;
    assert!(matches!(fast.last(), Some(Frame::End(_))), "{fast:?}");
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    frames.extend(slow.all().await);
    let Some(Frame::End(end)) = frames.last() else {
        panic!("unexpected {frames:?}");
    };
    assert_eq!(end.chunks, 3);
    assert_eq!(text_of(&frames, 0).split_whitespace().count(), 3);
    let fake = setup.upstream.state.lock().expect("lives");
    assert_eq!(fake.cancelled, ["slow.1.0"]);
}

/// Guards against chunks that are lost, repeated or computed again when a generation is cancelled
/// and resumed.
#[tokio::test]
async fn preempted_generation_is_resumed() {
    let setup = Setup::new().await;
    preempt(&setup).await;
    let fake = setup.upstream.state.lock().expect("lives");
    assert_eq!(fake.resumed, [1]);
    assert!(!fake.generations.contains_key("slow.1.1"));
}

/// Guards against chunks that are lost or repeated when the engine cannot resume what it cancelled.
#[tokio::test]
async fn preempted_generation_continues() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.forgets_cancelled = true);
    preempt(&setup).await;
    let fake = setup.upstream.state.lock().expect("lives");
    assert_eq!(fake.generations["slow.1.1"], ("hellot0 ".to_owned(), 2));
}

/// Guards against a change of weights that ends a pre-empted generation with an error.
#[tokio::test]
async fn weights_change_waits_for_the_preempted() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 1);
    let agent = agent_with_batch_of_one(&setup).await;
    let mut slow = run(&agent, &generate_request("slow", "hello", 3)).await;
    slow.next().await.expect("start");
    slow.next().await.expect("chunk");
    let mut urgent = generate_request("fast", "hello", 2);
    urgent.priority = Priority::Urgent;
    let mut fast = run(&agent, &urgent).await;
    fast.next().await.expect("start");
    setup.config.set(config(2, 2));
    while agent.status().accepting {
        tokio::task::yield_now().await;
    }
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    let slow = slow.all().await;
    assert!(matches!(slow.last(), Some(Frame::End(_))), "{slow:?}");
    assert!(matches!(fast.all().await.last(), Some(Frame::End(_))));
    setup.upstream.until(|fake| fake.weights == 2).await;
}

/// Guards against an urgent request that waits for a long stream, and against a pre-empted caller
/// whose text differs from that of an uninterrupted run, with the stand-in of an engine.
#[tokio::test]
async fn preempted_text_is_complete() {
    const TOKENS: u64 = 50;
    let settings = EngineSettings::builder()
        .model("m")
        .decode_ms_per_token(1.0)
        .max_batch(1)
        .build();
    let engine = Arc::new(Engine::new(settings, Arc::new(WeightLoadTracker::new(2))));
    // The stream lasts several seconds, so that it is paused before it ends.
    let faults = |slow_factor, paused| EngineFaults {
        slow_factor,
        paused,
        ..EngineFaults::default()
    };
    engine.set_faults(faults(100.0, false));
    let running = start_engine(ephemeral_addr(), Arc::clone(&engine))
        .await
        .expect("starts");
    let mut setup = Setup::new().await;
    setup.upstream.addr = running.addr();
    let agent = agent_with_batch_of_one(&setup).await;
    let mut slow = run(&agent, &generate_request("slow", "hello", TOKENS)).await;
    let mut frames = vec![
        slow.next().await.expect("start"),
        slow.next().await.expect("chunk"),
    ];
    engine.set_faults(faults(1.0, true));
    let mut urgent = generate_request("fast", "hello", 2);
    urgent.priority = Priority::Urgent;
    let fast = run(&agent, &urgent).await;
    while agent.status().queued == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(agent.status().running, 1);
    engine.set_faults(EngineFaults::default());
    let fast = fast.all().await;
    assert_eq!(text_of(&fast, 0), answer_text("fast.1.0", 2));
    frames.extend(slow.all().await);
    assert_eq!(text_of(&frames, 0), answer_text("slow.1.0", TOKENS));
    assert!(matches!(frames.last(), Some(Frame::End(end)) if end.chunks == TOKENS));
}

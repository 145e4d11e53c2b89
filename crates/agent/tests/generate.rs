//! Generations through real sockets, with faults of the engine and of connections.

mod common;

use common::generate_request;
use common::resume;
use common::run;
use common::text_of;
use common::Setup;
use dw_base::DurationMs;
use dw_base::BLOCK_BYTES;
use dw_wire::Alternative;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::RefusalReason;

fn refusal(frames: &[Frame]) -> RefusalReason {
    match frames {
        [Frame::Refused(refusal)] => refusal.reason,
        other => panic!("unexpected {other:?}"),
    }
}

/// Guards against a poor placement that is served although the second choice is better, and
/// against one that is refused without end.
#[tokio::test]
async fn poor_placement_is_refused_at_most_twice() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    let prompt = "p".repeat(4 * BLOCK_BYTES);
    let mut request = generate_request("r", &prompt, 1);
    request.alternative = Some(Alternative {
        cost_ms: DurationMs(0),
        prefill_weight: 3.0,
    });
    for hops in 0..2 {
        request.hops = hops;
        let frames = run(&agent, &request).await.all().await;
        assert_eq!(refusal(&frames), RefusalReason::BetterHome);
    }
    request.hops = 2;
    let frames = run(&agent, &request).await.all().await;
    assert!(matches!(frames[0], Frame::Start(_)), "{frames:?}");

    // Once the prompt is cached the agent itself is the better place.
    let mut hops = 0;
    loop {
        let mut again = generate_request(&format!("s{hops}"), &prompt, 1);
        again.alternative = request.alternative;
        hops += 1;
        let frames = run(&agent, &again).await.all().await;
        if matches!(frames[0], Frame::Start(_)) {
            break;
        }
        tokio::task::yield_now().await;
    }
}

/// Guards against tokens that are held back until later ones exist.
#[tokio::test]
async fn token_arrives_before_the_next_exists() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 0);
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 3)).await;
    assert!(matches!(answer.next().await, Some(Frame::Start(_))));
    for index in 0..3 {
        setup.upstream.set(|fake| fake.allowed = index + 1);
        let Some(Frame::Chunk { seq, .. }) = answer.next().await else {
            panic!("chunk {index} is missing");
        };
        assert_eq!(seq, index);
    }
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    let Some(Frame::End(end)) = answer.next().await else {
        panic!("end is missing");
    };
    assert_eq!((end.chunks, end.request_id.as_str()), (3, "r"));
    assert!(answer.next().await.is_none());
}

/// Guards against loss or repetition of tokens when the engine's connection breaks at any token.
#[tokio::test]
async fn broken_engine_connection_is_resumed() {
    for cut in 0..=4 {
        let setup = Setup::new().await;
        setup.upstream.set(|fake| fake.allowed = cut);
        let agent = setup.agent("e").await;
        let mut answer = run(&agent, &generate_request("r", "hello", 4)).await;
        let mut frames = Vec::new();
        for _ in 0..=cut {
            frames.push(
                answer
                    .next()
                    .await
                    .expect("start and the chunks before the cut"),
            );
        }
        setup.upstream.set(|fake| {
            fake.cut_at = Some(cut);
            fake.allowed = u64::MAX;
        });
        frames.extend(answer.all().await);
        assert_eq!(
            text_of(&frames, 0),
            "t0 t1 t2 t3 ",
            "cut before token {cut}"
        );
        assert!(matches!(frames.last(), Some(Frame::End(_))));
        setup.upstream.until(|fake| fake.resumed == [cut]).await;
    }
}

/// Guards against a clean end after the engine died.
#[tokio::test]
async fn engine_crash_ends_with_error() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 2);
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 4)).await;
    for _ in 0..3 {
        answer.next().await.expect("start and two chunks");
    }
    setup.upstream.set(|fake| {
        fake.incarnation += 1;
        fake.generations.clear();
    });
    let Some(Frame::Failed(failure)) = answer.next().await else {
        panic!("the answer must end with an error");
    };
    assert_eq!(failure.kind, FailureKind::UpstreamLost);
    assert!(failure.may_have_run);
}

/// Guards against loss when the router's connection breaks, and against an early drop of a
/// finished answer.
#[tokio::test]
async fn broken_router_connection_is_resumed() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 2);
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 4)).await;
    for _ in 0..2 {
        answer.next().await.expect("start and one chunk");
    }
    drop(answer);
    let resumed = resume(&agent, "r", 1).await;
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    let frames = resumed.all().await;
    assert_eq!(text_of(&frames, 1), "t1 t2 t3 ");
    assert!(matches!(frames.last(), Some(Frame::End(_))));
    let again = resume(&agent, "r", 0).await.all().await;
    assert_eq!(text_of(&again, 0), "t0 t1 t2 t3 ");
    assert!(matches!(again.first(), Some(Frame::Start(_))));
    let unknown = resume(&agent, "other", 0).await.all().await;
    assert!(matches!(unknown.as_slice(), [Frame::Failed(_)]));
}

/// Guards against a second run of an attempt whose message arrives twice.
#[tokio::test]
async fn repeated_message_follows_the_first() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    let request = generate_request("r", "hello", 2);
    let first = run(&agent, &request).await.all().await;
    let second = run(&agent, &request).await.all().await;
    assert_eq!(text_of(&first, 0), text_of(&second, 0));
    setup
        .upstream
        .until(|fake| fake.generations.len() == 1)
        .await;
}

/// Guards against generations that continue for callers who have left.
#[tokio::test]
async fn abandoned_generation_is_cancelled() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 1);
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 4)).await;
    answer.next().await.expect("start");
    drop(answer);
    setup
        .upstream
        .until(|fake| fake.cancelled == ["r.1.0"])
        .await;
}

/// Guards against more running generations than the batch holds, and against a queue that is
/// not bounded.
#[tokio::test]
async fn batch_and_queue_are_bounded() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 0);
    let agent = setup.agent("e").await;
    let mut answers = Vec::new();
    for index in 0..10 {
        answers.push(run(&agent, &generate_request(&format!("r{index}"), "hello", 1)).await);
    }
    let refused = run(&agent, &generate_request("late", "hello", 1)).await;
    assert_eq!(refusal(&refused.all().await), RefusalReason::QueueFull);
    setup
        .upstream
        .until(|fake| fake.generations.len() == 2)
        .await;
    let status = agent.status();
    assert_eq!((status.running, status.queued), (2, 8));
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    for answer in answers {
        assert!(matches!(answer.all().await.last(), Some(Frame::End(_))));
    }
}

/// Guards against work for another upstream, another salt or older weights.
#[tokio::test]
async fn wrong_requests_are_refused() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    let base = generate_request("r", "hello", 1);
    let mut upstream = base.clone();
    upstream.upstream = "x".parse().expect("valid id");
    let mut org = base.clone();
    org.org = "another".parse().expect("valid id");
    let mut protocol = base.clone();
    protocol.protocol += 1;
    for (request, reason) in [
        (upstream, RefusalReason::WrongUpstream),
        (org, RefusalReason::BadRequest),
        (protocol, RefusalReason::BadRequest),
    ] {
        assert_eq!(refusal(&run(&agent, &request).await.all().await), reason);
    }
    setup
        .upstream
        .until(|fake| fake.generations.is_empty())
        .await;
}

/// Guards against a shutdown that cuts off a stream or takes new work.
#[tokio::test]
async fn shutdown_finishes_running_work() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 1);
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 3)).await;
    answer.next().await.expect("start");
    let addr = agent.data_addr();
    let stopped = tokio::spawn(agent.shutdown());
    let refused = loop {
        let request = generate_request("late", "hello", 1);
        let frames = common::run_at(addr, &request).await.all().await;
        if let [Frame::Refused(refusal)] = frames.as_slice() {
            break refusal.clone();
        }
    };
    assert_eq!(refused.reason, RefusalReason::Leaving);
    assert!(refused.status.expect("status").leaving);
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    let frames = answer.all().await;
    assert_eq!(text_of(&frames, 0), "t0 t1 t2 ");
    assert!(matches!(frames.last(), Some(Frame::End(_))));
    stopped.await.expect("shutdown ends");
}

//! Complete, refused, broken and crossed answers.

mod common;

use std::sync::Arc;

use common::closed_port;
use common::frames;
use common::good;
use common::id;
use common::parts;
use common::refused;
use common::request_id;
use common::send;
use common::start;
use common::status;
use common::streamed_text;
use common::Agent;
use common::Ask;
use common::Part;
use common::Seen;
use common::CHAT;
use common::STREAM;
use dw_base::ManualClock;
use dw_base::TimeMs;
use dw_router::Router;
use dw_wire::Answer;
use dw_wire::Failure;
use dw_wire::FailureKind;
use dw_wire::Frame;
use dw_wire::RefusalReason;
use http::StatusCode;
use http_body_util::BodyExt;
use serde_json::Value;
use tokio::sync::Semaphore;

const WHOLE: &str = "<0><1><2>";

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

fn unavailable(seen: &Seen, upstream: &str) -> Vec<Part> {
    vec![Part::send(Frame::Failed(Failure {
        request_id: request_id(seen),
        kind: FailureKind::ResumeUnavailable,
        may_have_run: true,
        message: "chunks are no longer kept".to_owned(),
        status: status(upstream),
    }))]
}

/// Guards against plain answers that lose text or token counts, and against wrong run requests.
#[tokio::test]
async fn plain_answer_is_whole() {
    let agent = Agent::start("a", good("a")).await;
    let router = start(&[&agent]).await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let ask = Ask::chat(CHAT)
        .with("traceparent", trace)
        .with("x-deadline-ms", "5000");
    let (code, headers, body) = ask.send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{body}");
    let body = json(&body);
    assert_eq!(body["choices"][0]["message"]["content"], WHOLE);
    assert_eq!(body["usage"]["cached_tokens"], 3);
    let run = agent.runs().remove(0);
    assert_eq!(run.org, id("planner"));
    assert!(run.budget_ms.0 <= 5_000, "{}", run.budget_ms);
    assert!(run
        .traceparent
        .expect("present")
        .contains("0af7651916cd43dd8448eb211c80319c"));
    let request_id = headers["x-request-id"].to_str().expect("text");
    assert_eq!(run.request_id.as_str(), request_id);
    let record = json(&router.explain(&id(request_id)).expect("kept"));
    assert_eq!(record[0]["decision"]["upstream"], "a");
}

/// Guards against events that are held back until later ones arrive.
#[tokio::test]
async fn first_chunk_is_flushed_before_the_second_exists() {
    let gate = Arc::new(Semaphore::new(0));
    let held = gate.clone();
    let agent = Agent::start("a", move |seen, _| {
        let mut parts = send(frames(&request_id(seen), "a", 3));
        parts.insert(2, Part::Gate(held.clone()));
        parts
    })
    .await;
    let router = start(&[&agent]).await;
    let mut body = Ask::chat(STREAM)
        .open(router.callers_addr())
        .await
        .into_body();
    let first = body.frame().await.expect("frame").expect("no error");
    let first = String::from_utf8(first.into_data().expect("data").to_vec()).expect("text");
    assert_eq!(streamed_text(&first), "<0>");
    gate.add_permits(1);
    let rest = body.collect().await.expect("body").to_bytes();
    let rest = String::from_utf8(rest.to_vec()).expect("text");
    assert_eq!(streamed_text(&rest), "<1><2>");
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
}

/// Guards against lost, doubled or reordered chunks when the connection breaks at any frame.
#[tokio::test]
async fn cut_at_every_boundary_is_resumed() {
    for cut in 0..=4 {
        for body in [CHAT, STREAM] {
            let agent = Agent::start("a", move |seen, _| {
                let mut parts = send(frames(&request_id(seen), "a", 3));
                match seen {
                    Seen::Run(_) => {
                        parts.truncate(cut);
                        parts.push(Part::Cut);
                    }
                    Seen::Resume(resume) => {
                        parts.drain(1..=resume.from_seq as usize);
                    }
                }
                parts
            })
            .await;
            let router = start(&[&agent]).await;
            let (code, _, text) = Ask::chat(body).send(router.callers_addr()).await;
            assert_eq!(code, StatusCode::OK, "cut at {cut}: {text}");
            let whole = match body {
                CHAT => json(&text)["choices"][0]["message"]["content"].to_string(),
                _ => format!("{:?}", streamed_text(&text)),
            };
            assert_eq!(whole, format!("{WHOLE:?}"), "cut at {cut}: {text}");
            assert_eq!(agent.runs().len(), 1, "cut at {cut}");
        }
    }
}

/// Guards against a clean end of a stream that was cut and cannot be resumed.
#[tokio::test]
async fn cut_stream_ends_with_an_error_event() {
    for cut in 2..=4 {
        let agent = Agent::start("a", move |seen, _| match seen {
            Seen::Run(_) => {
                let mut parts = send(frames(&request_id(seen), "a", 3));
                parts.truncate(cut);
                parts.push(Part::Cut);
                parts
            }
            Seen::Resume(_) => unavailable(seen, "a"),
        })
        .await;
        let router = start(&[&agent]).await;
        let (_, _, text) = Ask::chat(STREAM).send(router.callers_addr()).await;
        assert!(!text.contains("[DONE]"), "cut at {cut}: {text}");
        let last = text.trim_end().rsplit("\n\n").next().expect("event");
        let event = last
            .strip_prefix("event: error\ndata: ")
            .expect("error event");
        assert_eq!(json(event)["error"]["not_run"], false, "{text}");
    }
}

/// Guards against a repeated run after text has reached the caller, and against a missing repeat
/// before.
#[tokio::test]
async fn plain_answer_is_repeated_elsewhere() {
    let cut = Agent::start("a", |seen, _| match seen {
        Seen::Run(_) => {
            let mut parts = send(frames(&request_id(seen), "a", 3));
            parts.truncate(3);
            parts.push(Part::Cut);
            parts
        }
        Seen::Resume(_) => unavailable(seen, "a"),
    })
    .await;
    let other = Agent::start("b", good("b")).await;
    let router = start(&[&cut, &other]).await;
    let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    assert_eq!(json(&text)["choices"][0]["message"]["content"], WHOLE);
    assert_eq!(other.runs()[0].attempt, 2);
}

/// Guards against text of another request reaching the caller.
#[tokio::test]
async fn crossed_answer_is_not_delivered() {
    let agent = Agent::start("a", |seen, _| match seen {
        Seen::Run(_) => {
            let mut wrong = frames(&id("r-other"), "a", 1);
            if let Frame::Chunk { text, .. } = &mut wrong[1] {
                *text = "foreign".to_owned();
            }
            send(wrong)
        }
        Seen::Resume(_) => send(frames(&request_id(seen), "a", 3)),
    })
    .await;
    let router = start(&[&agent]).await;
    for body in [CHAT, STREAM] {
        let (_, _, text) = Ask::chat(body).send(router.callers_addr()).await;
        assert!(!text.contains("foreign") && text.contains("<2>"), "{text}");
    }
}

/// Guards against chunks that arrive again, late or with a gap.
#[tokio::test]
async fn duplicates_and_gaps_are_corrected() {
    let agent = Agent::start("a", |seen, _| {
        let all = frames(&request_id(seen), "a", 3);
        let pick = |order: &[usize]| order.iter().map(|i| all[*i].clone()).collect();
        match seen {
            Seen::Run(_) => send(pick(&[0, 1, 1, 3, 4])),
            Seen::Resume(resume) => {
                assert_eq!(resume.from_seq, 1);
                send(pick(&[0, 1, 2, 3, 4]))
            }
        }
    })
    .await;
    let router = start(&[&agent]).await;
    let (_, _, text) = Ask::chat(STREAM).send(router.callers_addr()).await;
    assert_eq!(streamed_text(&text), WHOLE, "{text}");
}

/// Guards against ignored advice of an agent and against endless hops.
#[tokio::test]
async fn better_homes_are_followed_twice_at_most() {
    let better = |own: &'static str, next: &'static str| {
        move |seen: &Seen, _| refused(seen, own, RefusalReason::BetterHome, Some(next))
    };
    let a = Agent::start("a", better("a", "b")).await;
    let b = Agent::start("b", good("b")).await;
    let router = start(&[&a, &b]).await;
    let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    assert_eq!(b.runs()[0].hops, 1);

    let a = Agent::start("a", better("a", "b")).await;
    let b = Agent::start("b", better("b", "c")).await;
    let c = Agent::start("c", better("c", "d")).await;
    let d = Agent::start("d", better("d", "a")).await;
    let router = start(&[&a, &b, &c, &d]).await;
    let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    assert_eq!(json(&text)["error"]["not_run"], true);
    let hops: Vec<u32> = [&a, &b, &c, &d]
        .iter()
        .flat_map(|x| x.runs())
        .map(|r| r.hops)
        .collect();
    assert_eq!(hops.iter().max(), Some(&2));
}

/// Guards against a router that ignores the exact cost of a poor placement, and against a refusal
/// as poorly placed that costs a retry or excludes the upstream for good.
#[tokio::test]
async fn poor_placements_are_refused_twice_and_then_served() {
    let poor_twice = |own: &'static str| {
        move |seen: &Seen, _| match seen {
            Seen::Run(run) if run.hops < 2 => refused(seen, own, RefusalReason::BetterHome, None),
            _ => good(own)(seen, 0),
        }
    };
    let a = Agent::start("a", poor_twice("a")).await;
    let b = Agent::start("b", poor_twice("b")).await;
    let router = start(&[&a, &b]).await;
    let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    let mut hops: Vec<u32> = [&a, &b]
        .iter()
        .flat_map(|agent| agent.runs())
        .map(|run| run.hops)
        .collect();
    hops.sort_unstable();
    assert_eq!(hops, [0, 1, 2]);
}

/// Guards against a refusal without its time, and against retries beyond the budget of one.
#[tokio::test]
async fn overload_is_reported_within_the_retry_budget() {
    let full = |own: &'static str| {
        move |seen: &Seen, _| refused(seen, own, RefusalReason::QueueFull, None)
    };
    let agents = [
        Agent::start("a", full("a")).await,
        Agent::start("b", full("b")).await,
        Agent::start("c", full("c")).await,
    ];
    let router = start(&agents.each_ref()).await;
    let (code, headers, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    assert_eq!(headers["retry-after"], "1");
    let error = &json(&text)["error"];
    assert_eq!(
        (&error["not_run"], &error["retry_after_ms"]),
        (&true.into(), &20.into())
    );
    assert_eq!(
        agents.iter().map(|agent| agent.runs().len()).sum::<usize>(),
        2
    );
}

/// Guards against requests that fail because one VM is gone.
#[tokio::test]
async fn unreachable_agent_is_avoided() {
    let mut gone = Agent::start("a", good("a")).await;
    let closed = closed_port();
    gone.data_addr = closed.local_addr().expect("bound");
    let other = Agent::start("b", good("b")).await;
    let router = start(&[&gone, &other]).await;
    let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    assert_eq!(other.runs().len(), 1);
}

/// Guards against a second run of a call that may have run, and against a false "not run".
#[tokio::test]
async fn lost_deposit_is_not_repeated() {
    let cut = |_: &Seen, _| vec![Part::Cut];
    let agents = [Agent::start("a", cut).await, Agent::start("b", cut).await];
    let router = start(&agents.each_ref()).await;
    let ask = Ask::new("/v1/services/deposit/calls", "{}").with("idempotency-key", "k1");
    let (code, _, text) = ask.send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::CONFLICT, "{text}");
    let error = &json(&text)["error"];
    assert_eq!(
        (&error["type"], &error["not_run"]),
        (&"outcome_unknown".into(), &false.into())
    );
    assert_eq!(
        agents.iter().map(|agent| agent.runs().len()).sum::<usize>(),
        1
    );
}

/// Guards against changes of a plain service's status or body.
#[tokio::test]
async fn service_answer_is_passed_on() {
    let agent = Agent::start("a", |seen, _| {
        vec![Part::send(Frame::Answer(Answer {
            request_id: request_id(seen),
            http_status: 202,
            body: br#"{"arch":1}"#.to_vec(),
            replayed: false,
            status: status("a"),
        }))]
    })
    .await;
    let router = start(&[&agent]).await;
    let ask = Ask::new("/v1/services/order-status/calls", "[1]");
    let (code, _, text) = ask.send(router.callers_addr()).await;
    assert_eq!((code.as_u16(), text.as_str()), (202, r#"{"arch":1}"#));
}

/// Guards against a late answer that reaches another request, and against a false "not run" after
/// a deadline.
#[tokio::test]
async fn late_answer_reaches_nobody() {
    let gate = Arc::new(Semaphore::new(0));
    let held = gate.clone();
    let agent = Agent::start("a", move |seen, index| {
        let mut parts = send(frames(&request_id(seen), "a", 3));
        if index == 0 {
            parts.insert(0, Part::Gate(held.clone()));
            parts.push(Part::send(late_chunk("late")));
        }
        parts
    })
    .await;
    let mut parts = parts(&[&agent]);
    // The clock stands still, so that the request certainly reaches the agent.
    parts.clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
    let router = Router::start(parts).await.expect("started");
    let first = Ask::chat(CHAT).with("x-deadline-ms", "1");
    let (code, _, text) = first.send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::GATEWAY_TIMEOUT, "{text}");
    assert_eq!(json(&text)["error"]["not_run"], false, "{text}");
    gate.add_permits(1);
    for _ in 0..3 {
        let (_, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
        assert_eq!(json(&text)["choices"][0]["message"]["content"], WHOLE);
    }
}

fn late_chunk(text: &str) -> Frame {
    Frame::Chunk {
        seq: 3,
        text: text.to_owned(),
        tokens: 1,
    }
}

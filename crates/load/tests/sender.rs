//! Checks the sender and the report against a scripted router.

use std::net::SocketAddr;
use std::time::Duration;

use dw_load::send;
use dw_load::Arrival;
use dw_load::Deployment;
use dw_load::Outcome;
use dw_load::Report;
use dw_load::Sample;
use dw_load::SseParser;
use dw_load::Workload;
use dw_load::WorkloadSettings;
use proptest::prelude::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TEXT: &str = r#"data: {"choices":[{"index":0,"text":"abc "}],"id":"r","model":"m","object":"text_completion"}"#;

const LAST: &str = r#"data: {"choices":[{"index":0,"text":"","finish_reason":"length"}],"id":"r","model":"m","object":"text_completion","usage":{"cached_tokens":2048,"completion_tokens":1,"prompt_tokens":4096}}"#;

const ERROR: &str =
    r#"{"error":{"type":"overloaded","message":"m","remedy":"r","not_run":true,"request_id":"r"}}"#;

/// Answers every connection with `answer`, after the whole request has arrived.
async fn router(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                read_request(&mut stream).await;
                let _closed_by_peer = stream.write_all(answer.as_bytes()).await;
            });
        }
    });
    addr
}

async fn read_request(stream: &mut tokio::net::TcpStream) {
    let mut seen = Vec::new();
    loop {
        let mut chunk = vec![0; 65_536];
        let count = stream.read(&mut chunk).await.unwrap_or(0);
        seen.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&seen).to_lowercase();
        let length = text
            .split("content-length: ")
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next()?.parse::<usize>().ok());
        let head = text.find("\r\n\r\n").map(|end| end + 4);
        let whole = matches!((head, length), (Some(head), Some(n)) if seen.len() >= head + n);
        if whole || count == 0 {
            return;
        }
    }
}

fn ok(events: &[&str]) -> String {
    let events = events.join("\n\n");
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{events}\n\n")
}

fn quote() -> Arrival {
    let settings = WorkloadSettings::builder()
        .deployment(Deployment::Division)
        .build();
    let mut quote = Workload::new(settings)
        .find(|arrival| arrival.load.service == "quote")
        .expect("the mix has quotes");
    quote.at = Duration::ZERO;
    quote
}

async fn sample(answer: String) -> Sample {
    let addr = router(answer).await;
    let samples = send(std::iter::once(quote()), &[addr]).await;
    samples.expect("a router was named").remove(0)
}

/// Guards against a whole answer that is not counted, or whose first token has no time.
#[tokio::test]
async fn whole_answer_is_answered() {
    let sample = sample(ok(&[TEXT, LAST, "data: [DONE]"])).await;
    assert!(
        matches!(sample.outcome, Outcome::Answered { .. }),
        "{sample:?}"
    );
    assert!(sample
        .first_token
        .is_some_and(|first| first <= sample.total));
    let report = Report::new(&[sample]);
    assert_eq!(report.all.answered, 1);
    assert_eq!(report.services["quote"].hit_rate(), 0.5);
    let json = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<Report>(&json).unwrap(), report);
}

/// Guards against answers with missing tokens or a missing end that count as whole.
#[tokio::test]
async fn answer_without_end_or_with_missing_text_is_incomplete() {
    for events in [
        vec![TEXT, LAST],
        vec![LAST, "data: [DONE]"],
        vec![TEXT, "data: [DONE]"],
    ] {
        let sample = sample(ok(&events)).await;
        assert!(
            matches!(sample.outcome, Outcome::Incomplete { .. }),
            "{sample:?}"
        );
    }
}

/// Guards against an explicit error that counts as an early end, or as an answer.
#[tokio::test]
async fn error_event_and_refusal_are_told_apart() {
    let event = format!("event: error\ndata: {ERROR}");
    let failed = sample(ok(&[TEXT, &event])).await;
    assert_eq!(failed.outcome, Outcome::Failed);
    let length = ERROR.len();
    let head = "HTTP/1.1 503 Service Unavailable\r\ncontent-length";
    let refused = sample(format!("{head}: {length}\r\n\r\n{ERROR}")).await;
    let wanted = Outcome::Refused {
        status: 503,
        kind: "overloaded".to_owned(),
        not_run: true,
    };
    assert_eq!(refused.outcome, wanted);
    assert_eq!(Report::new(&[failed, refused]).all.worth, 0.0);
}

proptest! {
    /// Guards against events that are lost or joined when chunks end inside them.
    #[test]
    fn events_do_not_depend_on_chunk_ends(size in 1usize..40) {
        let text = "data: one\n\nevent: error\r\ndata: zwö\r\n\r\n: note\n\ndata: a\ndata: b\n\n";
        let mut parser = SseParser::default();
        let found: Vec<_> = text.as_bytes().chunks(size).flat_map(|c| parser.push(c)).collect();
        let wanted = [("message", "one"), ("error", "zwö"), ("message", "a\nb")];
        let wanted = wanted.map(|(kind, data)| (kind.to_owned(), data.to_owned()));
        prop_assert_eq!(found, wanted);
    }
}

//! Tests the sender and the report against a router with scripted responses.

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

const TEXT_EVENT: &str = r#"data: {"choices":[{"index":0,"text":"abc "}],"id":"r","model":"m","object":"text_completion"}"#;

const FINAL_EVENT: &str = r#"data: {"choices":[{"index":0,"text":"","finish_reason":"length"}],"id":"r","model":"m","object":"text_completion","usage":{"cached_tokens":2048,"completion_tokens":1,"prompt_tokens":4096}}"#;

const ERROR_BODY: &str =
    r#"{"error":{"type":"overloaded","message":"m","remedy":"r","not_run":true,"request_id":"r"}}"#;

/// Starts a server that sends `response` on every connection once it has read a complete request.
async fn start_router(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let addr = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                read_request(&mut stream).await;
                let _closed_by_peer = stream.write_all(response.as_bytes()).await;
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
        let complete = matches!((head, length), (Some(head), Some(n)) if seen.len() >= head + n);
        if complete || count == 0 {
            return;
        }
    }
}

fn stream_response(events: &[&str]) -> String {
    let events = events.join("\n\n");
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{events}\n\n")
}

fn quote_arrival() -> Arrival {
    let settings = WorkloadSettings::builder()
        .deployment(Deployment::Division)
        .build();
    let mut arrival = Workload::new(settings)
        .find(|arrival| arrival.load.service == "quote")
        .expect("the mix has quotes");
    arrival.at = Duration::ZERO;
    arrival
}

async fn send_quote(response: String) -> Sample {
    let addr = start_router(response).await;
    let samples = send(std::iter::once(quote_arrival()), &[addr]).await;
    samples.expect("a router was named").remove(0)
}

/// Guards against a complete response that is not counted, or that has no time to first token.
#[tokio::test]
async fn whole_answer_is_answered() {
    let sample = send_quote(stream_response(&[TEXT_EVENT, FINAL_EVENT, "data: [DONE]"])).await;
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

/// Guards against responses that are counted as complete although text, usage or `[DONE]` is
/// missing.
#[tokio::test]
async fn answer_without_end_or_with_missing_text_is_incomplete() {
    for events in [
        vec![TEXT_EVENT, FINAL_EVENT],
        vec![FINAL_EVENT, "data: [DONE]"],
        vec![TEXT_EVENT, "data: [DONE]"],
    ] {
        let sample = send_quote(stream_response(&events)).await;
        assert!(
            matches!(sample.outcome, Outcome::Incomplete { .. }),
            "{sample:?}"
        );
    }
}

/// Guards against an error event or an error response that is counted as incomplete or as answered.
#[tokio::test]
async fn error_event_and_refusal_are_told_apart() {
    let event = format!("event: error\ndata: {ERROR_BODY}");
    let failed = send_quote(stream_response(&[TEXT_EVENT, &event])).await;
    assert_eq!(failed.outcome, Outcome::Failed);
    let length = ERROR_BODY.len();
    let head = "HTTP/1.1 503 Service Unavailable\r\ncontent-length";
    let refused = send_quote(format!("{head}: {length}\r\n\r\n{ERROR_BODY}")).await;
    let expected = Outcome::Refused {
        status: 503,
        kind: "overloaded".to_owned(),
        not_run: true,
    };
    assert_eq!(refused.outcome, expected);
    assert_eq!(Report::new(&[failed, refused]).all.worth, 0.0);
}

proptest! {
    /// Guards against events that are lost or merged when a chunk boundary lies within them.
    #[test]
    fn events_do_not_depend_on_chunk_ends(size in 1usize..40) {
        let text = "data: one\n\nevent: error\r\ndata: zwö\r\n\r\n: note\n\ndata: a\ndata: b\n\n";
        let mut parser = SseParser::default();
        let events: Vec<_> = text.as_bytes().chunks(size).flat_map(|c| parser.push(c)).collect();
        let expected = [("message", "one"), ("error", "zwö"), ("message", "a\nb")];
        let expected = expected.map(|(kind, data)| (kind.to_owned(), data.to_owned()));
        prop_assert_eq!(events, expected);
    }
}

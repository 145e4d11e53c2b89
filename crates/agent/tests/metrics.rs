//! Metrics and spans of an agent.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;

use common::call_request;
use common::generate_request;
use common::run;
use common::Setup;
use dw_agent::Agent;
use dw_base::Priority;
use dw_base::BLOCK_BYTES;
use dw_wire::Frame;
use fastrace::collector::Config;
use fastrace::collector::Reporter;
use fastrace::collector::SpanRecord;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

async fn scrape(agent: &Agent) -> String {
    let addr = agent.metrics_addr().expect("configured");
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<bytes::Bytes>>();
    let uri = format!("http://{addr}/metrics").parse().expect("URI");
    let body = client.get(uri).await.expect("answers").into_body();
    let bytes = body.collect().await.expect("body").to_bytes();
    String::from_utf8(bytes.to_vec()).expect("text")
}

/// Returns once the metrics contain all lines.
async fn contains(agent: &Agent, lines: &[&str]) {
    loop {
        let text = scrape(agent).await;
        if lines.iter().all(|line| text.lines().any(|l| l == *line)) {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Guards against metrics that do not follow the work, or that are missing.
#[tokio::test]
async fn metrics_follow_the_work() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 1);
    let agent = setup.agent("e").await;
    let prompt = "x".repeat(2 * BLOCK_BYTES);
    let mut answers = Vec::new();
    for number in 0..3 {
        answers.push(run(&agent, &generate_request(&format!("r{number}"), &prompt, 2)).await);
    }
    contains(
        &agent,
        &[
            "dandelionwall_running_requests 2",
            "dandelionwall_queued_requests 1",
            "dandelionwall_prefill_tokens_per_s 10000.0",
            "dandelionwall_exported_pieces_total 2",
            "dandelionwall_cached_blocks 2",
            "dandelionwall_cache_synchronised 1",
        ],
    )
    .await;
    let mut urgent = generate_request("urgent", "hello", 0);
    urgent.priority = Priority::Urgent;
    assert!(matches!(
        run(&agent, &urgent).await.all().await.last(),
        Some(Frame::End(_))
    ));
    let mut wrong = generate_request("wrong", "hello", 0);
    wrong.upstream = "other".parse().expect("valid id");
    run(&agent, &wrong).await.all().await;
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    for answer in answers {
        answer.all().await;
    }
    contains(
        &agent,
        &[
            "dandelionwall_running_requests 0",
            "dandelionwall_preemptions_total 1",
            "dandelionwall_refusals_total{reason=\"WrongUpstream\"} 1",
            "dandelionwall_waited_ms_count{priority=\"urgent\"} 1",
            "dandelionwall_expected_wait_ms{priority=\"batch\"} 0",
        ],
    )
    .await;
    // Event 9 shows that events 3 to 8 were lost.
    setup.upstream.set(|fake| {
        fake.seq = 9;
        let event = serde_json::json!({"seq": 9, "kind": "stored", "hashes": []});
        fake.events.push(event);
    });
    contains(&agent, &["dandelionwall_cache_gaps_total 1"]).await;
}

/// Guards against records that are written and not counted.
#[tokio::test]
async fn outcome_records_are_counted() {
    let setup = Setup::new().await;
    let agent = setup.agent("p").await;
    run(&agent, &call_request("a", "k", "1")).await.all().await;
    contains(
        &agent,
        &[
            "dandelionwall_outcome_records_total{state=\"running\"} 1",
            "dandelionwall_outcome_records_total{state=\"done\"} 1",
        ],
    )
    .await;
}

struct Collected(Arc<Mutex<Vec<SpanRecord>>>);

impl Reporter for Collected {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        self.0.lock().expect("no test has panicked").extend(spans);
    }
}

/// Guards against steps of the agent that are missing in the caller's trace.
#[tokio::test]
async fn spans_continue_the_trace() {
    let spans = Arc::new(Mutex::new(Vec::new()));
    fastrace::set_reporter(Collected(spans.clone()), Config::default());
    let setup = Setup::new().await;
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let parent = Some(format!("00-{trace}-b7ad6b7169203331-01"));
    let engine = setup.agent("e").await;
    let mut request = generate_request("g", &"x".repeat(BLOCK_BYTES), 1);
    request.traceparent = parent.clone();
    run(&engine, &request).await.all().await;
    let plain = setup.agent("p").await;
    let mut request = call_request("c", "k", "1");
    request.traceparent = parent;
    run(&plain, &request).await.all().await;
    engine.shutdown().await;
    plain.shutdown().await;
    fastrace::flush();
    let spans = spans.lock().expect("no test has panicked");
    let of_trace = spans
        .iter()
        .filter(|span| format!("{:032x}", span.trace_id.0) == trace);
    let names: BTreeSet<&str> = of_trace.map(|span| span.name.as_ref()).collect();
    let expected = [
        "admit", "agent", "call", "generate", "import", "queue", "record",
    ];
    assert_eq!(names, BTreeSet::from(expected));
}

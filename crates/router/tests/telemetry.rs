//! Spans and metrics of requests.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use common::get;
use common::good;
use common::refused;
use common::start;
use common::Agent;
use common::Ask;
use common::CHAT;
use common::STREAM;
use dw_wire::RefusalReason;
use fastrace::collector::Config;
use fastrace::collector::Reporter;
use fastrace::collector::SpanRecord;
use http::StatusCode;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

#[derive(Clone, Default)]
struct Collected(Arc<Mutex<Vec<SpanRecord>>>);

impl Reporter for Collected {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        self.0.lock().expect("not poisoned").extend(spans);
    }
}

/// Guards against steps without a span, and against a trace that ends at the router.
#[tokio::test]
async fn every_step_has_a_span_below_the_request() {
    let collected = Collected::default();
    fastrace::set_reporter(collected.clone(), Config::default());
    let agent = Agent::start("a", good("a")).await;
    let router = start(&[&agent]).await;
    let parent = format!("00-{TRACE}-b7ad6b7169203331-01");
    let ask = Ask::chat(STREAM).with("traceparent", &parent);
    let (code, _, text) = ask.send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    router.shutdown().await;
    fastrace::flush();
    let spans = collected.0.lock().expect("not poisoned").clone();
    // Parallel tests of this binary have traces of their own.
    let spans = spans.iter().filter(|s| s.trace_id.to_string() == TRACE);
    let spans: BTreeMap<String, SpanRecord> =
        spans.map(|s| (s.name.to_string(), s.clone())).collect();
    let request = spans["request"].span_id;
    for step in [
        "authenticate",
        "validate",
        "resolve",
        "limit",
        "chain",
        "place",
        "forward",
        "relay",
    ] {
        assert_eq!(spans[step].parent_id, request, "{step}");
    }
    let sent = agent.runs()[0].traceparent.clone();
    let forward = spans["forward"].span_id;
    assert_eq!(sent, Some(format!("00-{TRACE}-{forward}-01")));
}

/// Guards against requests, refusals and retries that no metric shows.
#[tokio::test]
async fn requests_are_measured() {
    let full = Agent::start("a", |seen, _| {
        refused(seen, "a", RefusalReason::QueueFull, None)
    })
    .await;
    let other = Agent::start("b", good("b")).await;
    let router = start(&[&full, &other]).await;
    let (code, _, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    let unknown = Ask::chat(CHAT).with("authorization", "Bearer guess");
    let (code, _, text) = unknown.send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::UNAUTHORIZED, "{text}");
    let (_, metrics) = get(router.admin_addr().expect("configured"), "/metrics").await;
    for line in [
        "requests_total 2",
        "attempts_total 2",
        "retries_total 1",
        "hops_total 0",
        "config_version 1",
        "request_errors_total{reason=\"unauthorized\",not_run=\"true\"} 1",
        "placements_total{reason=\"not a home\"} 2",
        "request_seconds_count{service=\"quote\",priority=\"normal\"} 1",
        "first_token_seconds_count{service=\"quote\",priority=\"normal\"} 1",
    ] {
        let line = format!("dandelionwall_{line}\n");
        assert!(metrics.contains(&line), "{line}{metrics}");
    }
    assert!(metrics.contains("dandelionwall_config_age_seconds "));
}

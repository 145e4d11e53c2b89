//! Sending of the examples, and the table of their results.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::cluster::Cluster;
use crate::config::TOKEN;
use crate::example::examples;
use crate::example::Example;

/// Result of one example request.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Deployment.
    pub deployment: String,
    /// What the example shows.
    pub title: String,
    /// HTTP status.
    pub http_status: u16,
    /// Whether the whole answer arrived.
    pub complete: bool,
    /// Upstream that answered.
    pub upstream: String,
    /// Why it was chosen.
    pub reason: String,
    /// Time to the first part of the answer.
    pub first_token_ms: u128,
    /// Prompt tokens found in the cache, for generated text.
    pub cached_tokens: Option<u64>,
}

/// Results of all examples.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table(pub Vec<Row>);

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = [
            "deployment",
            "request",
            "status",
            "ran on",
            "first ms",
            "cached tok",
            "why",
        ];
        let line = |f: &mut fmt::Formatter<'_>, cells: [&str; 7]| {
            let [deployment, request, status, ran_on, first, cached, why] = cells;
            writeln!(
                f,
                "{deployment:<10} {request:<17} {status:>6} {ran_on:<15} {first:>8} {cached:>10}  {why}"
            )
        };
        line(f, head)?;
        for row in &self.0 {
            let cached = row.cached_tokens.map_or("-".to_owned(), |n| n.to_string());
            let cells = [
                &row.deployment,
                &row.title,
                &row.http_status.to_string(),
                &row.upstream,
                &row.first_token_ms.to_string(),
                &cached,
                &row.reason,
            ];
            line(f, cells.map(String::as_str))?;
        }
        Ok(())
    }
}

/// Sends all examples of the deployment, one after the other.
///
/// # Errors
///
/// Returns an error if the router does not answer.
pub async fn run_examples(cluster: &Cluster) -> eyre::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for example in examples(cluster.name()) {
        rows.push(run(cluster, &example).await?);
    }
    Ok(rows)
}

async fn run(cluster: &Cluster, example: &Example) -> eyre::Result<Row> {
    let started = Instant::now();
    let response = send(cluster.router().callers_addr(), example).await?;
    let (head, mut body) = response.into_parts();
    let mut first_token_ms = None;
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        first_token_ms.get_or_insert_with(|| started.elapsed().as_millis());
        if let Some(data) = frame?.data_ref() {
            text.extend_from_slice(data);
        }
    }
    let text = String::from_utf8_lossy(&text);
    let streamed = example.body["stream"] == true;
    let request_id = head
        .headers
        .get("x-request-id")
        .and_then(|v| v.to_str().ok());
    let record = request_id
        .and_then(|id| id.parse().ok())
        .and_then(|id| cluster.router().explain(&id));
    let decision = last_decision(record.as_deref());
    let shown = |key: &str| decision[key].as_str().unwrap_or("-").to_owned();
    Ok(Row {
        deployment: cluster.name().to_owned(),
        title: example.title.to_owned(),
        http_status: head.status.as_u16(),
        complete: head.status.is_success() && (!streamed || text.ends_with("data: [DONE]\n\n")),
        upstream: shown("upstream"),
        reason: shown("reason"),
        first_token_ms: first_token_ms.unwrap_or_default(),
        cached_tokens: cached_tokens(&text),
    })
}

async fn send(addr: SocketAddr, example: &Example) -> eyre::Result<http::Response<Incoming>> {
    let mut request = Request::post(format!("http://{addr}{}", example.path))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-service", example.service);
    if let Some(key) = example.key {
        request = request.header("idempotency-key", key);
    }
    let request = request.body(Full::new(Bytes::from(example.body.to_string())))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    Ok(client.request(request).await?)
}

/// Returns the decision of the last attempt.
fn last_decision(record: Option<&str>) -> Value {
    let record: Value = record
        .and_then(|record| serde_json::from_str(record).ok())
        .unwrap_or_default();
    let last = record.as_array().and_then(|attempts| attempts.last());
    last.map(|attempt| attempt["decision"].clone())
        .unwrap_or_default()
}

/// Returns the cached tokens that the last event of a stream states.
fn cached_tokens(events: &str) -> Option<u64> {
    let events = events.split("\n\n");
    let usage = events.filter_map(|event| {
        let event: Value = serde_json::from_str(event.strip_prefix("data: ")?).ok()?;
        event["usage"]["cached_tokens"].as_u64()
    });
    usage.last()
}

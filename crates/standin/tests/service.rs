//! Tests of the stand-in plain service.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use dw_api::service::CallResponse;
use dw_standin::ephemeral_addr;
use dw_standin::start_service;
use dw_standin::PlainService;
use dw_standin::ServiceFaults;
use dw_standin::ServiceSettings;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

async fn call(addr: SocketAddr, id: &str) -> Option<CallResponse> {
    let body = json!({"request_id": id, "user": "o", "service": "deposit", "body": {}, "key": "k"});
    let request = Request::post(format!("http://{addr}/v1/calls"))
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("the request is valid");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.ok()?;
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Guards against a call with a lost response that is not recorded as executed, and against a call
/// closed before its execution that is.
#[tokio::test]
async fn every_execution_is_recorded() {
    let service = Arc::new(PlainService::new(ServiceSettings::default()));
    let server = start_service(ephemeral_addr(), Arc::clone(&service))
        .await
        .unwrap();
    let answer = call(server.addr(), "a").await.unwrap();
    assert_eq!((answer.request_id.as_str(), answer.status), ("a", 200));
    service.set_faults(ServiceFaults {
        cut_before: 1,
        lose_answers: 1,
        ..ServiceFaults::default()
    });
    assert!(call(server.addr(), "cut").await.is_none());
    assert!(call(server.addr(), "lost").await.is_none());
    let executions = service.executions().executions;
    let ids: Vec<(&str, bool)> = executions
        .iter()
        .map(|execution| (execution.request_id.as_str(), execution.finished))
        .collect();
    assert_eq!(ids, [("a", true), ("lost", true)]);
}

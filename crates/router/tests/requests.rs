//! Requests that must not reach an upstream.

mod common;

use std::sync::Arc;
use std::sync::Mutex;

use common::good;
use common::parts;
use common::start;
use common::Agent;
use common::Ask;
use common::CHAT;
use common::STREAM;
use dw_base::DurationMs;
use dw_base::Tokens;
use dw_config::ConfigSource;
use dw_config::FixedConfig;
use dw_config::Object;
use dw_router::filter::limit::LimitExceeded;
use dw_router::filter::limit::LimitRequest;
use dw_router::filter::limit::Limiter;
use dw_router::Router;
use expect_test::expect;
use http::StatusCode;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

/// Guards against malformed or forbidden requests that reach an upstream, and against errors
/// without a remedy.
#[tokio::test]
async fn bad_requests_reach_no_upstream() {
    let agent = Agent::start("a", good("a")).await;
    let router = start(&[&agent]).await;
    let long = format!(r#"{{"model":"arch-1","prompt":"{}"}}"#, "x".repeat(50_000));
    let huge = "x".repeat(70_000);
    let completion = |body: &str| Ask::new("/v1/completions", body).with("x-service", "quote");
    let deposit = || Ask::new("/v1/services/deposit/calls", "{}");
    let asks = [
        ("no token", Ask::chat(CHAT).without("authorization")),
        (
            "wrong token",
            Ask::chat(CHAT).with("authorization", "Bearer guess"),
        ),
        (
            "basic",
            Ask::chat(CHAT).with("authorization", "Basic secret"),
        ),
        ("no service", Ask::chat(CHAT).without("x-service")),
        (
            "unknown service",
            Ask::chat(CHAT).with("x-service", "absent"),
        ),
        (
            "malformed service",
            Ask::chat(CHAT).with("x-service", "a b"),
        ),
        ("wrong path", Ask::chat(CHAT).with("x-service", "deposit")),
        ("unknown path", Ask::new("/v1/other", CHAT)),
        ("no JSON", Ask::chat("{")),
        ("no model", Ask::chat(r#"{"messages":[]}"#)),
        (
            "unknown model",
            Ask::chat(&CHAT.replace("arch-1", "absent")),
        ),
        ("unknown role", Ask::chat(&CHAT.replace("user", "tool"))),
        (
            "no messages",
            Ask::chat(r#"{"model":"arch-1","messages":[]}"#),
        ),
        (
            "no tokens",
            completion(r#"{"model":"arch-1","prompt":"x","max_tokens":0}"#),
        ),
        (
            "unknown priority",
            Ask::chat(CHAT).with("x-priority", "high"),
        ),
        (
            "priority too high",
            Ask::chat(CHAT).with("x-priority", "urgent"),
        ),
        ("zero deadline", Ask::chat(CHAT).with("x-deadline-ms", "0")),
        (
            "negative deadline",
            Ask::chat(CHAT).with("x-deadline-ms", "-1"),
        ),
        ("long prompt", completion(&long)),
        ("large body", completion(&huge)),
        ("no key", deposit()),
        ("malformed key", deposit().with("idempotency-key", "a b")),
        ("other service", deposit().with("x-service", "quote")),
        (
            "bad call body",
            Ask::new("/v1/services/order-status/calls", "{"),
        ),
    ];
    let mut shown = String::new();
    for (name, ask) in asks {
        let (code, _, text) = ask.send(router.callers_addr()).await;
        let body: Value = serde_json::from_str(&text).expect("JSON");
        let error = &body["error"];
        assert_eq!(error["not_run"], true, "{name}: {text}");
        assert_ne!(error["remedy"], "", "{name}: {text}");
        shown += &format!(
            "{name}: {} {}\n",
            code.as_u16(),
            error["type"].as_str().expect("text")
        );
    }
    expect![[r#"
        no token: 401 unauthorized
        wrong token: 401 unauthorized
        basic: 401 unauthorized
        no service: 400 bad_request
        unknown service: 404 not_found
        malformed service: 400 bad_request
        wrong path: 400 bad_request
        unknown path: 404 not_found
        no JSON: 400 bad_request
        no model: 400 bad_request
        unknown model: 404 not_found
        unknown role: 400 bad_request
        no messages: 400 bad_request
        no tokens: 400 bad_request
        unknown priority: 400 bad_request
        priority too high: 403 forbidden
        zero deadline: 400 bad_request
        negative deadline: 400 bad_request
        long prompt: 413 too_large
        large body: 413 too_large
        no key: 400 bad_request
        malformed key: 400 bad_request
        other service: 400 bad_request
        bad call body: 400 bad_request
    "#]]
    .assert_eq(&shown);
    assert_eq!(agent.runs().len(), 0);
}

struct Exhausted;

impl Limiter for Exhausted {
    fn admit(&self, request: &LimitRequest) -> Result<(), LimitExceeded> {
        assert_eq!(request.org.as_str(), "planner");
        Err(LimitExceeded {
            retry_after_ms: DurationMs(1_500),
        })
    }

    fn refund(&self, _request: &LimitRequest, _unused: Tokens) {}
}

/// Guards against limits that are not applied or do not say when to come back.
#[tokio::test]
async fn exhausted_limit_is_refused() {
    let agent = Agent::start("a", good("a")).await;
    let mut parts = parts(&[&agent]);
    parts.limiter = Some(Arc::new(Exhausted));
    let router = Router::start(parts).await.expect("started");
    let (code, headers, text) = Ask::chat(CHAT).send(router.callers_addr()).await;
    assert_eq!(code, StatusCode::TOO_MANY_REQUESTS, "{text}");
    assert_eq!(headers["retry-after"], "2");
    assert_eq!(agent.runs().len(), 0);
}

/// Records the allowance that is given back.
#[derive(Default)]
struct Recorder(Mutex<Vec<(Tokens, Tokens)>>);

impl Limiter for Recorder {
    fn admit(&self, _request: &LimitRequest) -> Result<(), LimitExceeded> {
        Ok(())
    }

    fn refund(&self, request: &LimitRequest, unused: Tokens) {
        let mut given = self.0.lock().expect("not poisoned");
        given.push((request.tokens, unused));
    }
}

/// Guards against allowance that is lost for text that was never generated.
#[tokio::test]
async fn unused_allowance_is_given_back() {
    let agent = Agent::start("a", good("a")).await;
    let recorder = Arc::new(Recorder::default());
    let mut parts = parts(&[&agent]);
    parts.limiter = Some(recorder.clone());
    let router = Router::start(parts).await.expect("started");
    for body in [CHAT, STREAM] {
        let (code, _, text) = Ask::chat(body).send(router.callers_addr()).await;
        assert_eq!(code, StatusCode::OK, "{text}");
    }
    router.shutdown().await;
    let given = recorder.0.lock().expect("not poisoned").clone();
    // The prompt has 3 tokens, 512 may be generated and 3 are.
    assert_eq!(given, [(Tokens(515), Tokens(509)); 2]);
}

/// Guards against a token that stays valid after an operator has replaced it.
#[tokio::test]
async fn replaced_token_is_refused() {
    let agent = Agent::start("a", good("a")).await;
    let mut parts = parts(&[&agent]);
    let config = Arc::new(FixedConfig::new((*parts.config.current()).clone()));
    parts.config = config.clone();
    let router = Router::start(parts).await.expect("started");
    let status = |token: &'static str| {
        let ask = Ask::chat(CHAT).with("authorization", token);
        let addr = router.callers_addr();
        async move { ask.send(addr).await.0 }
    };
    assert_eq!(status("Bearer secret").await, StatusCode::OK);
    assert_eq!(status("Bearer newer").await, StatusCode::UNAUTHORIZED);
    let mut changed = (*config.current()).clone();
    for entry in changed.entries.values_mut() {
        if let Object::Organisation(org) = &mut entry.object {
            org.token_sha256 = vec![hex::encode(Sha256::digest(b"newer"))];
        }
    }
    config.set(changed);
    assert_eq!(status("Bearer secret").await, StatusCode::UNAUTHORIZED);
    assert_eq!(status("Bearer newer").await, StatusCode::OK);
}

//! Tests of the stand-in engine over HTTP.

use std::sync::Arc;

use bytes::Bytes;
use dw_api::engine::CacheEvents;
use dw_api::engine::CancelResponse;
use dw_api::engine::EngineState;
use dw_api::engine::GenerateEvent;
use dw_api::engine::KvBlocks;
use dw_api::engine::LoadReport;
use dw_base::BlockHash;
use dw_base::Chain;
use dw_base::BLOCK_BYTES;
use dw_standin::answer_text;
use dw_standin::ephemeral_addr;
use dw_standin::start_engine;
use dw_standin::Audit;
use dw_standin::BlockRegistry;
use dw_standin::Engine;
use dw_standin::EngineFaults;
use dw_standin::EngineSettings;
use dw_standin::MemoryObjects;
use dw_standin::ServerHandle;
use dw_standin::WeightLoad;
use dw_standin::WeightLoadTracker;
use dw_store::Objects;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::json;
use serde_json::Value;

const SPEEDUP: f64 = 50.0;

struct TestServer {
    engine: Arc<Engine>,
    handle: ServerHandle,
}

impl TestServer {
    async fn new(settings: EngineSettings) -> TestServer {
        TestServer::with_load_tracker(settings, Arc::new(WeightLoadTracker::new(2))).await
    }

    async fn with_load_tracker(
        settings: EngineSettings,
        weight_loads: Arc<WeightLoadTracker>,
    ) -> TestServer {
        TestServer::with_shared_state(settings, weight_loads, Arc::default()).await
    }

    async fn with_shared_state(
        settings: EngineSettings,
        weight_loads: Arc<WeightLoadTracker>,
        registry: Arc<BlockRegistry>,
    ) -> TestServer {
        let engine = Arc::new(Engine::with_shared_state(settings, weight_loads, registry));
        let handle = start_engine(ephemeral_addr(), Arc::clone(&engine))
            .await
            .expect("the engine starts");
        TestServer { engine, handle }
    }

    async fn call(&self, method: Method, path: &str, body: &Value) -> Response<Incoming> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.handle.addr()))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is valid");
        let client = Client::builder(TokioExecutor::new()).build_http();
        client.request(request).await.expect("the engine answers")
    }

    async fn json<T: DeserializeOwned>(&self, method: Method, path: &str, body: &Value) -> T {
        let response = self.call(method, path, body).await;
        assert_eq!(response.status(), StatusCode::OK, "{path}");
        let bytes = response
            .into_body()
            .collect()
            .await
            .expect("the answer is complete")
            .to_bytes();
        serde_json::from_slice(&bytes).expect("the answer is of its type")
    }

    async fn generate(&self, request: &Value) -> Vec<GenerateEvent> {
        let response = self.call(Method::POST, "/v1/generate", request).await;
        events(response).await.expect("the answer is complete")
    }

    async fn audit(&self) -> Audit {
        self.json(Method::GET, "/v1/audit", &json!(null)).await
    }
}

/// Returns the events of a response, or `None` if its connection was closed before the end.
async fn events(response: Response<Incoming>) -> Option<Vec<GenerateEvent>> {
    assert_eq!(response.status(), StatusCode::OK);
    let bytes = response.into_body().collect().await.ok()?.to_bytes();
    let text = std::str::from_utf8(&bytes).expect("events are text");
    let parse = |part: &str| {
        let json = part.strip_prefix("data: ").expect("events have data");
        serde_json::from_str(json).expect("events are of their type")
    };
    Some(text.split_terminator("\n\n").map(parse).collect())
}

fn text(events: &[GenerateEvent]) -> String {
    let token = |event: &GenerateEvent| match event {
        GenerateEvent::Token { text, .. } => Some(text.clone()),
        _ => None,
    };
    events.iter().filter_map(token).collect()
}

fn cached_tokens(events: &[GenerateEvent]) -> u64 {
    match events.first() {
        Some(GenerateEvent::Start { cached_tokens, .. }) => *cached_tokens,
        other => panic!("no start event: {other:?}"),
    }
}

fn settings() -> EngineSettings {
    EngineSettings::builder()
        .speedup(SPEEDUP)
        .event_delay_ms(0.0)
        .cache_age_ms(1e9)
        .build()
}

fn request(id: &str, user: &str, pieces: usize, max_tokens: u64) -> Value {
    json!({
        "request_id": id,
        "model": "model",
        "user": user,
        "cache_salt": BlockHash(7).to_string(),
        "prompt": "p".repeat(pieces * BLOCK_BYTES + 5),
        "max_tokens": max_tokens,
        "priority": 1,
    })
}

/// Guards against answers with missing or reordered tokens, and against a cached prefix that is not
/// reused.
#[tokio::test]
async fn answer_is_complete_and_second_one_uses_the_cache() {
    let server = TestServer::new(settings()).await;
    let first = server.generate(&request("a", "o", 2, 5)).await;
    assert_eq!(first.len(), 7);
    assert_eq!(text(&first), answer_text("a", 5));
    assert_eq!(cached_tokens(&first), 0);
    let second = server.generate(&request("b", "o", 3, 1)).await;
    assert_eq!(cached_tokens(&second), 4_096);
    assert_eq!(server.audit().await.organisation_crossings, 0);
}

/// Guards against a recomputed-token count that misses blocks held by another engine or the KV
/// store, or that includes blocks of a crashed engine or the incomplete last block of a prompt.
#[tokio::test]
async fn recomputed_tokens_are_those_held_elsewhere() {
    let objects = Arc::new(MemoryObjects::default());
    let registry = Arc::new(BlockRegistry::with_kv_store(Arc::clone(&objects)));
    let weight_loads = Arc::new(WeightLoadTracker::new(2));
    let start_server = || {
        TestServer::with_shared_state(settings(), Arc::clone(&weight_loads), Arc::clone(&registry))
    };
    let [first, second, third] = [
        start_server().await,
        start_server().await,
        start_server().await,
    ];
    first.generate(&request("a", "o", 2, 1)).await;
    assert_eq!(first.audit().await.recomputed_tokens, 0);
    second.generate(&request("b", "o", 3, 1)).await;
    assert_eq!(second.audit().await.recomputed_tokens, 2 * 2_048);
    for server in [&first, &second] {
        server.engine.set_faults(EngineFaults {
            crash: true,
            ..EngineFaults::default()
        });
    }
    let chain = Chain::from_root(BlockHash(7), "p".repeat(BLOCK_BYTES).as_bytes());
    let key = format!("kv/{}", chain.blocks[0]);
    let created = objects.create(&key, Bytes::new()).await;
    assert_eq!(created.ok(), Some(true));
    third.generate(&request("c", "o", 2, 1)).await;
    assert_eq!(third.audit().await.recomputed_tokens, 2_048);
}

/// Guards against an audit that misses the use of a block of another organisation.
#[tokio::test]
async fn audit_counts_use_of_another_organisations_block() {
    let server = TestServer::new(settings()).await;
    server.generate(&request("a", "o", 1, 1)).await;
    server.generate(&request("b", "other", 1, 1)).await;
    let audit = server.audit().await;
    assert_eq!(audit.organisation_crossings, 1);
    assert_eq!(audit.examples[0].request_id, "b");
}

/// Guards against a cache that exceeds its capacity, and against evictions without an event.
#[tokio::test]
async fn cache_is_bounded_and_evictions_are_events() {
    let mut settings = settings();
    settings.cache_blocks = 2;
    let server = TestServer::new(settings).await;
    server.generate(&request("a", "o", 3, 1)).await;
    let found: CacheEvents = server
        .json(Method::GET, "/v1/cache/events?after=0", &json!(null))
        .await;
    let kinds: Vec<String> = found.events.iter().map(|e| e.kind.to_string()).collect();
    assert_eq!(kinds, ["stored", "stored", "evicted", "stored"]);
    assert_eq!(found.last_seq, 4);
}

/// Guards against a lost event that leaves no gap in the sequence numbers.
#[tokio::test]
async fn lost_events_leave_a_gap() {
    let server = TestServer::new(settings()).await;
    server.engine.set_faults(EngineFaults {
        event_loss: 1.0,
        ..EngineFaults::default()
    });
    server.generate(&request("a", "o", 2, 1)).await;
    let found: CacheEvents = server
        .json(Method::GET, "/v1/cache/events?after=0", &json!(null))
        .await;
    assert_eq!((found.events.len(), found.last_seq), (0, 2));
}

/// Guards against a crash after which an unfinished answer ends cleanly or blocks are still cached.
#[tokio::test]
async fn crash_cuts_answers_and_empties_the_cache() {
    let server = TestServer::new(settings()).await;
    server.generate(&request("a", "o", 1, 1)).await;
    let unfinished = server
        .call(
            Method::POST,
            "/v1/generate",
            &request("b", "o", 1, 1_000_000),
        )
        .await;
    let crash = json!({"crash": true});
    let _: Value = server.json(Method::POST, "/faults", &crash).await;
    assert_eq!(events(unfinished).await, None);
    assert_eq!(server.engine.incarnation(), 2);
    let after = server.generate(&request("c", "o", 1, 1)).await;
    assert_eq!(cached_tokens(&after), 0);
}

/// Guards against missing or repeated tokens in an answer that is resumed after its connection was
/// closed and its generation cancelled.
#[tokio::test]
async fn cut_or_cancelled_answer_is_resumed_without_gap() {
    let server = TestServer::new(settings()).await;
    let disconnected = server
        .call(Method::POST, "/v1/generate", &request("a", "o", 0, 2_000))
        .await;
    let _: Value = server
        .json(Method::POST, "/faults", &json!({"cut": true}))
        .await;
    assert_eq!(events(disconnected).await, None);
    let cancelled: CancelResponse = server
        .json(Method::POST, "/v1/cancel", &json!({"request_id": "a"}))
        .await;
    assert!(cancelled.cancelled && cancelled.tokens < 2_000);
    let from = json!({"request_id": "a", "from_index": 3});
    let resumed = server.call(Method::POST, "/v1/resume", &from).await;
    let resumed = events(resumed).await.unwrap();
    assert_eq!(text(&resumed), answer_text("a", 2_000)[12..]);
}

/// Guards against an engine that ignores `checks_fence` when it gets an outdated fencing token.
#[tokio::test]
async fn old_fence_is_refused_only_by_engines_that_check() {
    for (checks_fence, expected) in [(true, StatusCode::CONFLICT), (false, StatusCode::OK)] {
        let mut settings = settings();
        settings.checks_fence = checks_fence;
        let server = TestServer::new(settings).await;
        let order =
            |fence| json!({"fence": fence, "order": {"type": "load_adapter", "adapter": "x"}});
        let _: EngineState = server.json(Method::POST, "/v1/orders", &order(5)).await;
        let old = server.call(Method::POST, "/v1/orders", &order(4)).await;
        assert_eq!(old.status(), expected);
    }
}

/// Guards against generations for the old weights after a weight load, and against blocks that stay
/// cached over it.
#[tokio::test]
async fn weight_load_blocks_generations_and_clears_the_cache() {
    let server = TestServer::new(settings()).await;
    server.generate(&request("a", "o", 1, 1)).await;
    let order = json!({
        "fence": 1,
        "order": {"type": "load_weights", "model": "model", "weights_version": 2},
    });
    let state: EngineState = server.json(Method::POST, "/v1/orders", &order).await;
    assert!(state.loading);
    let wait = "/v1/cache/events?after=1&wait_ms=30000";
    let found: CacheEvents = server.json(Method::GET, wait, &json!(null)).await;
    assert_eq!(found.weights_version, 2);
    let mut old = request("b", "o", 1, 1);
    old["weights_version"] = json!(1);
    let refused = server.call(Method::POST, "/v1/generate", &old).await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
    let after = server.generate(&request("c", "o", 1, 1)).await;
    assert_eq!(cached_tokens(&after), 0);
}

/// Guards against imported blocks that are not reused, and against the import of blocks of another
/// weights version.
#[tokio::test]
async fn exported_blocks_are_reused_after_import() {
    let (from, to) = (
        TestServer::new(settings()).await,
        TestServer::new(settings()).await,
    );
    from.generate(&request("a", "o", 2, 1)).await;
    let snapshot: Value = from.json(Method::GET, "/v1/cache", &json!(null)).await;
    let requested = json!({"hashes": snapshot["hashes"]});
    let mut blocks: KvBlocks = from
        .json(Method::POST, "/v1/cache/export", &requested)
        .await;
    assert_eq!(blocks.blocks.len(), 2);
    let _: Value = to
        .json(Method::POST, "/v1/cache/import", &json!(blocks))
        .await;
    let answer = to.generate(&request("b", "o", 2, 1)).await;
    assert_eq!(cached_tokens(&answer), 4_096);
    blocks.weights_version = 9;
    let refused = to
        .call(Method::POST, "/v1/cache/import", &json!(blocks))
        .await;
    assert_eq!(refused.status(), StatusCode::CONFLICT);
}

/// Guards against events that are buffered until the answer ends, and against chunks with several
/// events.
#[tokio::test]
async fn events_arrive_one_by_one_while_the_answer_runs() {
    let mut settings = settings();
    // Slow enough that unread events do not fill the read buffer, which would split a chunk.
    settings.decode_ms_per_token = 500.0;
    let server = TestServer::new(settings).await;
    let endless = request("a", "o", 0, u64::MAX);
    let response = server.call(Method::POST, "/v1/generate", &endless).await;
    let mut body = response.into_body();
    for _ in 0..20 {
        let frame = body.frame().await.unwrap().unwrap();
        let chunk = frame.into_data().unwrap();
        assert_eq!(chunk.windows(2).filter(|end| end == b"\n\n").count(), 1);
    }
}

/// Guards against an urgent generation that waits for earlier ones of lower priority.
#[tokio::test]
async fn urgent_generation_leaves_the_queue_first() {
    let mut settings = settings();
    settings.max_batch = 1;
    let server = TestServer::new(settings).await;
    server.engine.set_faults(EngineFaults {
        paused: true,
        ..EngineFaults::default()
    });
    let batch = server
        .call(Method::POST, "/v1/generate", &request("a", "o", 1, 1))
        .await;
    let mut urgent = request("b", "o", 1, 1);
    urgent["priority"] = json!(0);
    let urgent = server.call(Method::POST, "/v1/generate", &urgent).await;
    server.engine.set_faults(EngineFaults::default());
    // The generation that runs first computes the prefix; the other one finds it cached.
    assert_eq!(cached_tokens(&events(urgent).await.unwrap()), 0);
    assert_eq!(cached_tokens(&events(batch).await.unwrap()), 2_048);
}

/// Guards against blocks that stay cached after `cache_age_ms`, and against evictions without an
/// event.
#[tokio::test]
async fn unused_blocks_are_evicted_by_age() {
    let mut settings = settings();
    settings.cache_age_ms = 500.0;
    let server = TestServer::new(settings).await;
    server.generate(&request("a", "o", 1, 1)).await;
    let wait = "/v1/cache/events?after=1&wait_ms=30000";
    let found: CacheEvents = server.json(Method::GET, wait, &json!(null)).await;
    assert_eq!(found.events[0].kind.to_string(), "evicted");
    let after = server.generate(&request("b", "o", 1, 1)).await;
    assert_eq!(cached_tokens(&after), 0);
}

/// Guards against a load report that ignores the configured lag.
#[tokio::test]
async fn load_report_lags() {
    let mut settings = settings();
    settings.load_lag_ms = 1e9;
    let server = TestServer::new(settings).await;
    let endless = request("a", "o", 0, u64::MAX);
    let _running = server.call(Method::POST, "/v1/generate", &endless).await;
    let late: LoadReport = server.json(Method::GET, "/v1/load", &json!(null)).await;
    assert_eq!(late.running + late.queued, 0);
    let no_lag = json!({"load_lag_ms": 0.0});
    let _: Value = server.json(Method::POST, "/faults", &no_lag).await;
    let now: LoadReport = server.json(Method::GET, "/v1/load", &json!(null)).await;
    assert_eq!(now.running + now.queued, 1);
}

/// Guards against weight loads above the limit that are not slowed down.
#[test]
fn loads_beyond_the_limit_take_longer() {
    let weight_loads = Arc::new(WeightLoadTracker::new(2));
    let loads = [
        weight_loads.begin(),
        weight_loads.begin(),
        weight_loads.begin(),
    ];
    assert_eq!(loads.each_ref().map(WeightLoad::slowdown), [1.0, 1.0, 1.5]);
    drop(loads);
    assert_eq!(
        (weight_loads.begin().slowdown(), weight_loads.peak()),
        (1.0, 3)
    );
}

/// Guards against concurrent weight loads of several engines that are counted separately.
#[tokio::test]
async fn load_gate_counts_loads_of_all_engines() {
    let weight_loads = Arc::new(WeightLoadTracker::new(1));
    let mut settings = settings();
    settings.weight_load_ms = 1e6;
    let order = json!({
        "fence": 1,
        "order": {"type": "load_weights", "model": "model", "weights_version": 2},
    });
    for expected in 1..=2 {
        let server =
            TestServer::with_load_tracker(settings.clone(), Arc::clone(&weight_loads)).await;
        let state: EngineState = server.json(Method::POST, "/v1/orders", &order).await;
        assert!(state.loading);
        while weight_loads.peak() < expected {
            tokio::task::yield_now().await;
        }
    }
}

//! Orders to engines: stale holders, bounded weight loads, and rolling changes under load.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use dw_base::BLOCK_BYTES;
use dw_proof::ask;
use dw_proof::check_refusals;
use dw_proof::check_stream;
use dw_proof::hello;
use dw_proof::operate;
use dw_proof::until;
use dw_proof::Reply;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::EngineSettings;
use serde_json::json;
use serde_json::Value;

/// Tokens of an answer.
const TOKENS: u64 = 10;

/// Callers at the same time.
const CALLERS: usize = 8;

/// Most weight loads at once.
const LOADS: usize = 2;

fn engine(checks_fence: bool) -> EngineSettings {
    EngineSettings::builder()
        .prefill_tokens_per_s(400_000.0)
        .decode_ms_per_token(3.0)
        .weight_load_ms(150.0)
        .checks_fence(checks_fence)
        .build()
}

async fn site(engines: usize, checks_fence: bool) -> Site {
    let settings = SiteSettings::builder()
        .engines(vec![engine(checks_fence); engines])
        .weight_loads(LOADS)
        .build();
    Site::start(settings).await.expect("started")
}

async fn load(site: &Site, weights: u64) {
    let body = json!({ "text": format!("load model writer weights {weights}") });
    let reply = operate(site.routers["r0"].admin, body).await;
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Returns the weights that an agent reports as served.
async fn weights(site: &Site, upstream: &str) -> u64 {
    let hello = hello(site.agents[upstream].control).await;
    let status = hello.and_then(|hello| hello.status);
    status
        .filter(|status| status.accepting)
        .map_or(0, |status| status.weights.0)
}

async fn all_serve(site: &Site, version: u64) {
    for upstream in site.agents.keys() {
        let served = || async { weights(site, upstream).await == version };
        until("the engine serves the new weights", served)
            .await
            .expect("no hang");
    }
}

fn state(site: &Site, upstream: &str) -> impl std::future::Future<Output = Value> {
    let addr = site.fleet.engines[upstream].server.addr();
    async move { dw_proof::get(addr, "/v1/state").await }
}

/// Guards against requests that are refused or cut during a rolling change although another engine
/// could serve them, and against more loads at once than the deployment allows.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_change_refuses_nothing() {
    rolling_change(8).await;
}

/// Guards against the same when each load takes a large part of the engines away.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_change_of_few_engines_refuses_nothing() {
    rolling_change(3).await;
}

async fn rolling_change(engines: usize) {
    let site = site(engines, true).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = (0..CALLERS).map(|index| {
        let (stop, router) = (Arc::clone(&stop), site.callers(index));
        tokio::spawn(async move {
            let mut replies: Vec<Reply> = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let number = replies.len() % 5;
                let prompt = format!("{index:04}{number:04}").repeat(BLOCK_BYTES / 8);
                replies.push(
                    ask(
                        router,
                        &RequestHead::stream("acme", "write", &prompt, TOKENS),
                    )
                    .await,
                );
            }
            replies
        })
    });
    let callers: Vec<_> = callers.collect();
    for version in 2..=4 {
        load(&site, version).await;
        all_serve(&site, version).await;
    }
    stop.store(true, Ordering::SeqCst);
    let mut replies = Vec::new();
    for caller in callers {
        replies.extend(caller.await.expect("a caller ends"));
    }
    let faults: Vec<_> = replies
        .iter()
        .flat_map(|reply| check_stream(reply, TOKENS))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let faults = check_refusals(&replies, &site.generations());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let most = site.fleet.weight_load_tracker.peak();
    assert!((1..=LOADS).contains(&most), "{most} loads ran at once");
    let refused: Vec<_> = replies.iter().filter(|reply| !reply.done()).collect();
    assert!(
        refused.is_empty(),
        "{} of {} refused: {:?}",
        refused.len(),
        replies.len(),
        refused[0]
    );
}

/// Guards against an order of an agent that was paused, replaced and continued: an engine that checks
/// fencing numbers keeps the weights that the successor has loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stale_holder_changes_nothing() {
    let mut site = site(1, true).await;
    let stale = site.agents.remove("e0").expect("running");
    stale.process.freeze().expect("frozen");
    site.restart_agent("e0").await.expect("started");
    site.wait_accepting("e0").await.expect("accepting");
    // The paused agent still wants version 1 when it continues, until it learns of the change.
    site.declare("load model writer weights 2")
        .await
        .expect("accepted");
    all_serve(&site, 2).await;
    let before = state(&site, "e0").await;
    stale.process.thaw().expect("continued");
    // The stale agent has looked at the engine again when it answers a greeting after the change.
    let informed = || async {
        let hello = hello(stale.control).await;
        hello.is_some_and(|hello| hello.config_version.0 >= 2)
    };
    until("the stale agent has the change", informed)
        .await
        .expect("no hang");
    let after = state(&site, "e0").await;
    assert_eq!(after["weights_version"], 2, "{before} {after}");
    assert!(
        after["fence"].as_u64() >= before["fence"].as_u64(),
        "{before} {after}"
    );
    let request = RequestHead::stream("acme", "write", "p", TOKENS);
    let served = || async { ask(site.callers(0), &request).await.done() };
    until("the successor serves", served)
        .await
        .expect("no hang");
    assert_eq!(state(&site, "e0").await["weights_version"], 2);
}

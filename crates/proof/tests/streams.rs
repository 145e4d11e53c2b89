//! Guarantees 2 and 4: streams are complete and in order or end with an error event, and every
//! caller gets its own answer.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use dw_base::BLOCK_BYTES;
use dw_proof::ask;
use dw_proof::check_once;
use dw_proof::check_stream;
use dw_proof::until;
use dw_proof::Call;
use dw_proof::Reply;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::EngineFaults;
use dw_standin::EngineSettings;
use dw_standin::ServiceSettings;
use futures::future::join_all;
use serde_json::json;

/// Tokens of a short answer.
const TOKENS: u64 = 12;

/// Connections that must break of the three at each of thirteen points. A loaded machine joins reads,
/// so that an answer has fewer of them and the late points are not reached.
const LEAST_CUTS: u32 = 12;

/// Pairs of answers that must be exchanged. A router that has just lost a connection may refuse the
/// second request of a pair.
const LEAST_CROSSINGS: u32 = 5;

/// Tokens of an answer during which a process is ended.
const LONG: u64 = 60;

/// Answers about the state that are lost, of which a router must notice some.
const LOST_STATES: u32 = 8;

/// Rounds after which a fault that no stream has met is a failure of the test.
const MOST_ROUNDS: usize = 40;

fn engine() -> EngineSettings {
    EngineSettings::builder()
        .prefill_tokens_per_s(200_000.0)
        .decode_ms_per_token(4.0)
        .max_batch(32)
        .build()
}

async fn site(engines: usize) -> Site {
    let settings = SiteSettings::builder()
        .engines(vec![engine(); engines])
        .plains(vec![ServiceSettings::default(); 1])
        .build();
    Site::start(settings).await.expect("started")
}

/// Sends streams with different prompts at the same time.
async fn streams(site: &Site, count: usize, tokens: u64) -> Vec<Reply> {
    let one = |index: usize| {
        // Prompts that share no whole piece have different homes.
        let prompt = format!("{index:08}").repeat(BLOCK_BYTES / 8);
        let request = RequestHead::stream("acme", "write", &prompt, tokens);
        // An answer that waits for a second one to be exchanged with must not wait for long.
        let request = request.with("x-deadline-ms", "5000");
        let addr = site.callers(index);
        async move { ask(addr, &request).await }
    };
    join_all((0..count).map(one)).await
}

fn check(replies: &[Reply], tokens: u64) {
    let faults: Vec<_> = replies
        .iter()
        .flat_map(|reply| check_stream(reply, tokens))
        .collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let ids: BTreeSet<_> = replies.iter().map(|reply| &reply.request_id).collect();
    assert_eq!(ids.len(), replies.len(), "two requests have one id");
}

/// Waits until every router serves again after it has lost connections.
async fn recover(site: &Site) {
    for router in site.routers.values() {
        let request = RequestHead::stream("acme", "write", "probe", 1);
        let served = || async { ask(router.callers, &request).await.done() };
        until("the router serves again", served)
            .await
            .expect("no hang");
    }
}

/// Counts the ends of streams by status and type of error, for the message of a failure.
fn count(replies: &[Reply], kinds: &mut BTreeMap<(u16, String), u32>) {
    for reply in replies {
        *kinds.entry((reply.status, reply.kind())).or_default() += 1;
    }
}

fn all_done(replies: &[Reply]) {
    let cut = replies.iter().find(|reply| !reply.done());
    assert!(cut.is_none(), "not complete: {cut:?}");
}

/// Guards against loss, repetition or exchange of tokens when the engine's connection breaks at any
/// point of the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn engine_connections_break_at_each_read() {
    let site = site(1).await;
    let proxy = &site.to_upstream["e0"];
    for reads in 0..=TOKENS as u32 {
        proxy.cut_after([reads; 3]);
        let replies = streams(&site, 6, TOKENS).await;
        check(&replies, TOKENS);
        all_done(&replies);
    }
    assert!(
        proxy.cuts() >= LEAST_CUTS,
        "{} connections broke",
        proxy.cuts()
    );
}

/// Guards against refusals because the agent lost one answer of its engine about the state, as when
/// a kept connection breaks under it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_state_answers_refuse_nothing() {
    let site = site(1).await;
    let proxy = &site.to_upstream["e0"];
    for cuts in 1..=LOST_STATES {
        proxy.cut_next("GET /v1/state");
        while proxy.cuts() < cuts {
            let replies = streams(&site, 6, 1).await;
            check(&replies, 1);
            all_done(&replies);
        }
    }
}

/// Guards against the same when the connection between router and agent breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn agent_connections_break_at_each_read() {
    let site = site(1).await;
    let proxy = &site.to_agent["e0"];
    for reads in 0..=TOKENS as u32 {
        proxy.cut_after([reads; 3]);
        let replies = streams(&site, 6, TOKENS).await;
        check(&replies, TOKENS);
        // Without a first frame the router cannot know whether the agent has the request.
        let done = replies.iter().filter(|reply| reply.done()).count();
        assert!(
            done >= 3,
            "streams whose connection did not break: {replies:?}"
        );
    }
    assert!(
        proxy.cuts() >= LEAST_CUTS,
        "{} connections broke",
        proxy.cuts()
    );
}

/// Guards against the same when both connections of a stream break, at the same and at different
/// points.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn both_connections_break() {
    let site = site(2).await;
    for (engine, agent) in [(2, 5), (5, 2), (4, 4), (9, 1), (1, 9)] {
        for upstream in ["e0", "e1"] {
            site.to_upstream[upstream].cut_after([engine; 4]);
            site.to_agent[upstream].cut_after([agent; 4]);
        }
        check(&streams(&site, 8, TOKENS).await, TOKENS);
    }
    let cuts = |proxies: &BTreeMap<String, dw_proof::Proxy>| {
        proxies.values().map(dw_proof::Proxy::cuts).sum::<u32>()
    };
    assert!(cuts(&site.to_upstream) > 0 && cuts(&site.to_agent) > 0);
}

/// Guards against a clean end of a stream whose engine has crashed, alone and together with a broken
/// connection to the router.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn engine_crash_ends_streams_with_an_error() {
    let site = site(2).await;
    let mut errors = 0;
    let mut kinds = BTreeMap::new();
    for round in 0..MOST_ROUNDS {
        recover(&site).await;
        let crash = async {
            // The point of the crash moves through the answer from round to round.
            tokio::time::sleep(Duration::from_millis(40 + 20 * (round as u64 % 10))).await;
            let (crashed, other) = [("e0", "e1"), ("e1", "e0")][round % 2];
            site.fleet.engines[crashed].state.set_faults(EngineFaults {
                crash: true,
                ..EngineFaults::default()
            });
            if round % 4 > 1 {
                site.to_agent[other].cut();
            }
        };
        let (replies, ()) = tokio::join!(streams(&site, 8, LONG), crash);
        check(&replies, LONG);
        count(&replies, &mut kinds);
        errors += replies
            .iter()
            .filter(|reply| reply.status == 200 && !reply.done())
            .count();
        if errors >= 8 && round >= 3 {
            return;
        }
    }
    panic!("{errors} streams met a crash: {kinds:?}");
}

/// Guards against a clean end of a stream whose agent was killed, alone and together with a crash of
/// the other engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn agent_kill_ends_streams_with_an_error() {
    let mut site = site(2).await;
    let mut errors = 0;
    let mut kinds = BTreeMap::new();
    for round in 0..MOST_ROUNDS {
        recover(&site).await;
        let kill = async {
            tokio::time::sleep(Duration::from_millis(60 + 20 * (round as u64 % 8))).await;
            site.agents["e0"].process.kill();
            if round % 2 == 1 {
                site.fleet.engines["e1"].state.set_faults(EngineFaults {
                    crash: true,
                    ..EngineFaults::default()
                });
            }
        };
        let (replies, ()) = tokio::join!(streams(&site, 8, LONG), kill);
        check(&replies, LONG);
        count(&replies, &mut kinds);
        errors += replies
            .iter()
            .filter(|reply| reply.status == 200 && !reply.done())
            .count();
        if errors >= 4 && round >= 3 {
            return;
        }
        site.restart_agent("e0").await.expect("restarted");
        site.wait_accepting("e0").await.expect("accepting");
    }
    panic!("{errors} streams met a kill: {kinds:?}");
}

/// Exchanges answers to one path, of which the first connections break if it is a resume.
async fn crossed(proxy_of: impl Fn(&Site) -> &dw_proof::Proxy, path: &'static str, breaks: u32) {
    let site = site(1).await;
    let proxy = proxy_of(&site);
    let mut kinds = BTreeMap::new();
    for _ in 0..MOST_ROUNDS {
        recover(&site).await;
        proxy.cut_after((0..breaks).map(|_| 3));
        proxy.cross(path);
        let replies = streams(&site, 4, TOKENS).await;
        check(&replies, TOKENS);
        count(&replies, &mut kinds);
        // Exchanged connections stay exchanged.
        proxy.cut();
        if proxy.crossings() >= LEAST_CROSSINGS {
            return;
        }
    }
    panic!("{} pairs were exchanged: {kinds:?}", proxy.crossings());
}

/// Guards against an answer that reaches the caller of another request when the answers of the
/// engine are exchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossed_answers_of_an_engine_are_detected() {
    crossed(|site| &site.to_upstream["e0"], "/v1/generate", 0).await;
}

/// Guards against the same when the engine's answers to resumes are exchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossed_resumes_of_an_engine_are_detected() {
    crossed(|site| &site.to_upstream["e0"], "/v1/resume", 4).await;
}

/// Guards against the same when the answers of an agent are exchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossed_answers_of_an_agent_are_detected() {
    crossed(|site| &site.to_agent["e0"], "/v1/run", 0).await;
}

/// Guards against the same when the agent's answers to resumes are exchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossed_resumes_of_an_agent_are_detected() {
    crossed(|site| &site.to_agent["e0"], "/v1/resume", 4).await;
}

/// Guards against the same when the answers of a plain service or of its agent are exchanged.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crossed_answers_of_a_service_are_detected() {
    let site = site(1).await;
    let mut calls = Vec::new();
    for round in 0..MOST_ROUNDS {
        for router in site.routers.values() {
            let request = RequestHead::call("acme", "lookup", None, json!({}));
            let served = || async { ask(router.callers, &request).await.status == 200 };
            until("the router serves again", served)
                .await
                .expect("no hang");
        }
        let upstream = (&site.to_upstream["p0"], "/v1/calls");
        let agent = (&site.to_agent["p0"], "/v1/run");
        let (proxy, path) = [upstream, agent][round % 2];
        proxy.cross(path);
        let one = |index: usize| {
            let key = format!("{round}-{index}");
            let body = json!({ "round": round, "index": index });
            let request = RequestHead::call("acme", "booking", Some(&key), body.clone());
            let addr = site.callers(index);
            async move {
                Call {
                    org: "acme".to_owned(),
                    service: "booking".to_owned(),
                    key,
                    body,
                    reply: ask(addr, &request).await,
                }
            }
        };
        calls.extend(join_all((0..4).map(one)).await);
        proxy.cut();
        if [upstream, agent]
            .iter()
            .all(|(proxy, _)| proxy.crossings() >= LEAST_CROSSINGS)
        {
            break;
        }
    }
    let faults = check_once(&calls, &site.executions());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    for proxy in [&site.to_upstream["p0"], &site.to_agent["p0"]] {
        assert!(proxy.crossings() >= LEAST_CROSSINGS);
    }
}

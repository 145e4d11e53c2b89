//! Guarantees 3, 7 and 8: drain, restart, and upstreams that leave.

use dw_api::vms::VmState;
use dw_base::BLOCK_BYTES;
use dw_proof::ask;
use dw_proof::check_refusals;
use dw_proof::check_stream;
use dw_proof::operate;
use dw_proof::until;
use dw_proof::Reply;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::EngineSettings;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use futures::future::join_all;
use serde_json::json;
use tokio::task::JoinHandle;

/// Tokens of an answer that is running when a process is asked to end.
const LONG: u64 = 80;

/// Requests of one batch.
const BATCH: usize = 24;

async fn site(engines: usize, routers: usize) -> Site {
    let engine = EngineSettings::builder()
        .prefill_tokens_per_s(400_000.0)
        .decode_ms_per_token(4.0)
        .max_batch(16)
        .cache_age_ms(600_000.0)
        .build();
    let settings = SiteSettings::builder()
        .engines(vec![engine; engines])
        .routers(routers)
        .build();
    Site::start(settings).await.expect("started")
}

fn accepted(site: &Site, upstream: &str) -> Vec<String> {
    site.fleet.engines[upstream].state.accepted_requests()
}

/// A prompt of whole pieces that no other number shares, so that the numbers have different homes.
fn long_prompt(number: usize) -> String {
    format!("{number:08}").repeat(2 * BLOCK_BYTES / 8)
}

fn start_streams(site: &Site, count: usize) -> Vec<JoinHandle<Reply>> {
    let one = |index: usize| {
        let request = RequestHead::stream("acme", "write", &long_prompt(index), LONG);
        let addr = site.callers(index);
        tokio::spawn(async move { ask(addr, &request).await })
    };
    (0..count).map(one).collect()
}

async fn check_complete(streams: Vec<JoinHandle<Reply>>) {
    for stream in join_all(streams).await {
        let reply = stream.expect("a caller ends");
        assert_eq!(check_stream(&reply, LONG), Vec::<String>::new());
        assert!(reply.done(), "cut off: {reply:?}");
    }
}

/// Guards against a router that cuts off requests, or fails, when it is asked to end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn terminated_router_finishes_streams() {
    let site = site(2, 1).await;
    let streams = start_streams(&site, 16);
    until("all streams run", || async {
        site.generations().len() >= 16
    })
    .await
    .expect("no hang");
    let router = &site.routers["r0"];
    router.process.terminate().expect("signalled");
    let refused = || async {
        let reply = ask(
            router.callers,
            &RequestHead::stream("acme", "write", "late", 1),
        )
        .await;
        // A router whose streams have ended no longer listens.
        reply.status == 0 || (reply.kind() == "draining" && reply.not_run())
    };
    until("new requests are refused", refused)
        .await
        .expect("no hang");
    check_complete(streams).await;
    let status = router.process.wait().await.expect("no hang");
    assert!(status.success(), "{status}");
}

/// Guards against an agent that cuts off requests, or fails, when it is asked to end, and against
/// new work for its upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn terminated_agent_finishes_streams() {
    let site = site(2, 2).await;
    let streams = start_streams(&site, 16);
    until("all streams run", || async {
        site.generations().len() >= 16
    })
    .await
    .expect("no hang");
    assert!(!accepted(&site, "e0").is_empty(), "no stream runs at e0");
    site.agents["e0"].process.terminate().expect("signalled");
    check_complete(streams).await;
    let status = site.agents["e0"].process.wait().await.expect("no hang");
    assert!(status.success(), "{status}");
    no_new_work(&site, "e0").await;
}

/// Guards against requests that are cut off when router and agents are asked to end together.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn terminated_site_finishes_streams() {
    let site = site(2, 2).await;
    let streams = start_streams(&site, 16);
    until("all streams run", || async {
        site.generations().len() >= 16
    })
    .await
    .expect("no hang");
    let routers = site.routers.values().map(|router| &router.process);
    let processes: Vec<_> = routers
        .chain(site.agents.values().map(|agent| &agent.process))
        .collect();
    for process in &processes {
        process.terminate().expect("signalled");
    }
    check_complete(streams).await;
    for process in processes {
        let status = process.wait().await.expect("no hang");
        assert!(status.success(), "{status}");
    }
}

/// Sends batches until one brings no new work to the upstream, then checks that this stays so while
/// all requests are served.
async fn no_new_work(site: &Site, upstream: &str) {
    let batch = || async {
        let before = accepted(site, upstream).len();
        let one = |index: usize| {
            let request = RequestHead::stream("acme", "write", &long_prompt(index), 1);
            let addr = site.callers(index);
            async move { ask(addr, &request).await }
        };
        let replies = join_all((0..BATCH).map(one)).await;
        let faults = check_refusals(&replies, &site.generations());
        assert!(faults.is_empty(), "{faults:?}");
        let done = replies.iter().filter(|reply| reply.done()).count();
        (accepted(site, upstream).len() - before, done)
    };
    until("the upstream gets no new work", || async {
        batch().await == (0, BATCH)
    })
    .await
    .expect("no hang");
    for _ in 0..3 {
        assert_eq!(
            batch().await,
            (0, BATCH),
            "new work after the upstream had left"
        );
    }
}

/// Sends requests until the upstream has work.
async fn has_work(site: &Site, upstream: &str) {
    let sent = || async {
        check_complete(start_streams(site, 8)).await;
        !accepted(site, upstream).is_empty()
    };
    until("the upstream has work", sent).await.expect("no hang");
}

/// Guards against new work for an upstream that the VM list shows as leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn upstream_leaving_the_list_gets_no_new_work() {
    let site = site(2, 2).await;
    has_work(&site, "e0").await;
    let mut vms = site.vms();
    for vm in &mut vms {
        if vm.name == "agent-e0" {
            vm.state = VmState::Leaving;
        }
    }
    site.fleet.vms.state.set_vms(vms);
    no_new_work(&site, "e0").await;
}

/// Guards against new work for an upstream that an operator has drained, and against an upstream
/// that does not come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_upstream_gets_no_new_work() {
    let site = site(2, 2).await;
    has_work(&site, "e0").await;
    let streams = start_streams(&site, 8);
    let body = json!({ "text": "drain upstream e0" });
    let reply = operate(site.routers["r0"].admin, body).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    check_complete(streams).await;
    no_new_work(&site, "e0").await;
    let body = json!({ "text": "resume upstream e0" });
    let reply = operate(site.routers["r0"].admin, body).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    let before = accepted(&site, "e0").len();
    let back = || async {
        check_complete(start_streams(&site, 8)).await;
        accepted(&site, "e0").len() > before
    };
    until("the upstream has work again", back)
        .await
        .expect("no hang");
}

/// Returns the upstream that ran a request.
fn ran_at(site: &Site, reply: &Reply) -> String {
    let own = |name: &&String| {
        let ids = accepted(site, name);
        ids.iter().any(|id| id.starts_with(&reply.request_id))
    };
    site.fleet
        .engines
        .keys()
        .find(own)
        .expect("ran at an engine")
        .clone()
}

/// Guards against a cold start of one restarted router, of all together, and of all together while the
/// table is down: the first request is a hit at the upstream that has the prefix.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_routers_serve_hits() {
    let mut site = site(3, 2).await;
    let mut homes = Vec::new();
    for number in 0..6 {
        let request = RequestHead::stream("acme", "write", &long_prompt(number), 1);
        let reply = ask(site.callers(0), &request).await;
        assert!(reply.done(), "{reply:?}");
        homes.push(ran_at(&site, &reply));
    }
    for (names, outage) in [
        (vec!["r0"], Outage::None),
        (vec!["r0", "r1"], Outage::None),
        (vec!["r0", "r1"], Outage::Refuse),
        (vec!["r0", "r1"], Outage::Hang),
    ] {
        site.fleet.table.state.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        });
        for name in &names {
            site.routers[*name].process.kill();
        }
        for name in &names {
            site.start_router(name).await.expect("started");
        }
        site.wait_known().await.expect("no hang");
        for (number, home) in homes.iter().enumerate() {
            let request = RequestHead::stream("acme", "write", &long_prompt(number), 1);
            let reply = ask(site.callers(0), &request).await;
            assert!(reply.done(), "{names:?} {outage:?}: {reply:?}");
            assert_eq!(&ran_at(&site, &reply), home, "{names:?} {outage:?}");
            assert!(reply.cached_tokens() > 0, "{names:?} {outage:?}: {reply:?}");
        }
    }
}

/// Documents a known limit: when all processes have restarted with the table down, no node can know
/// that its version is current, so that calls are refused as not run until the table is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn site_restarted_without_table_refuses_until_it_is_back() {
    let mut site = site(1, 1).await;
    site.fleet.table.state.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    site.routers["r0"].process.kill();
    site.agents["e0"].process.kill();
    site.start_router("r0").await.expect("started");
    let request = RequestHead::stream("acme", "write", "p", 1);
    for _ in 0..20 {
        let reply = ask(site.callers(0), &request).await;
        assert!(reply.not_run() && reply.status == 503, "{reply:?}");
    }
    site.fleet.table.state.set_faults(PlatformFaults::default());
    site.restart_agent("e0").await.expect("restarted");
    let serves = || async { ask(site.callers(0), &request).await.done() };
    until("the site serves again", serves)
        .await
        .expect("no hang");
}

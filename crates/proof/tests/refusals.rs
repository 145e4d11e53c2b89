//! Guarantee 5: a refusal that says "not run" is true.

use std::collections::BTreeMap;
use std::time::Duration;

use dw_proof::ask;
use dw_proof::check_refusals;
use dw_proof::until;
use dw_proof::Reply;
use dw_proof::RequestHead;
use dw_proof::Site;
use dw_proof::SiteSettings;
use dw_standin::EngineFaults;
use dw_standin::EngineSettings;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_standin::ServiceFaults;
use dw_standin::ServiceSettings;
use futures::future::join_all;
use serde_json::json;

/// Requests sent at once, more than queue and batch hold.
const BURST: usize = 30;

/// Refusals that must have been seen.
const KINDS: [&str; 3] = ["queue_full", "deadline_unmeetable", "unavailable"];

/// Rounds after which a kind of refusal that was not seen is a failure.
const MOST_ROUNDS: usize = 60;

async fn burst(site: &Site, round: usize, deadline_ms: &str) -> Vec<Reply> {
    let one = |index: usize| {
        let request = match index % 3 {
            0 => RequestHead::stream("acme", "write", &format!("prompt {index}"), 20),
            1 => RequestHead::call("acme", "lookup", None, json!({ "index": index })),
            _ => {
                let key = format!("{round}-{}", index / 6);
                RequestHead::call("acme", "booking", Some(&key), json!({ "index": index }))
            }
        };
        let request = request.with("x-deadline-ms", deadline_ms);
        let addr = site.callers(index);
        async move { ask(addr, &request).await }
    };
    join_all((0..BURST).map(one)).await
}

/// Guards against a "not run" for a request that an engine or service has run: under overload, with
/// short deadlines, with refusing, crashing and unreachable upstreams, without the table, and with
/// agents that freeze and die.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn not_run_is_true() {
    let engine = EngineSettings::builder()
        .prefill_tokens_per_s(50_000.0)
        .decode_ms_per_token(4.0)
        .max_batch(2)
        .build();
    let plain = ServiceSettings {
        service_ms: 20.0,
        max_running: 2,
        speedup: 1.0,
    };
    let settings = SiteSettings::builder()
        .engines(vec![engine; 2])
        .plains(vec![plain; 2])
        .max_queued(3)
        .build();
    let mut site = Site::start(settings).await.expect("started");
    let mut replies = Vec::new();
    for round in 0..9 {
        let deadline = ["2000", "150", "40"][round % 3];
        let engine = &site.fleet.engines["e0"].state;
        let service = &site.fleet.services["p0"].state;
        match round {
            2 => engine.set_faults(EngineFaults {
                refuse: true,
                ..EngineFaults::default()
            }),
            3 => engine.set_faults(EngineFaults {
                paused: true,
                ..EngineFaults::default()
            }),
            4 => service.set_faults(ServiceFaults {
                lose_answers: 5,
                cut_before: 5,
                ..ServiceFaults::default()
            }),
            5 => site.fleet.table.state.set_faults(PlatformFaults {
                outage: Outage::Refuse,
                lose_answers: 5,
                ..PlatformFaults::default()
            }),
            _ => {}
        }
        let fault = async {
            tokio::time::sleep(Duration::from_millis(30)).await;
            match round {
                1 => site.fleet.engines["e1"].state.set_faults(EngineFaults {
                    crash: true,
                    ..EngineFaults::default()
                }),
                6 => site
                    .agents
                    .values()
                    .for_each(|agent| agent.process.freeze().expect("frozen")),
                7 => site.agents["e0"].process.kill(),
                8 => site.agents["p0"].process.kill(),
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            if round == 6 {
                site.agents
                    .values()
                    .for_each(|agent| agent.process.thaw().expect("continued"));
            }
        };
        let (more, ()) = tokio::join!(burst(&site, round, deadline), fault);
        replies.extend(more);
        site.fleet.engines["e0"]
            .state
            .set_faults(EngineFaults::default());
        site.fleet.services["p0"]
            .state
            .set_faults(ServiceFaults::default());
        site.fleet.table.state.set_faults(PlatformFaults::default());
    }
    for upstream in ["e0", "p0"] {
        site.restart_agent(upstream).await.expect("restarted");
        site.wait_accepting(upstream).await.expect("accepting");
    }
    // What was sent before a kill or freeze has reached its upstream before what is sent now ends.
    let served = || async {
        burst(&site, 100, "5000")
            .await
            .iter()
            .any(|reply| reply.status == 200)
    };
    until("the site serves again", served)
        .await
        .expect("no hang");
    // On a fast machine some kind of refusal does not occur in the rounds above.
    let outage = PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    };
    site.fleet.table.state.set_faults(outage);
    for round in 0..MOST_ROUNDS {
        let seen = |kind: &str| {
            replies
                .iter()
                .any(|reply| reply.not_run() && reply.kind() == kind)
        };
        if KINDS.iter().all(|kind| seen(kind)) {
            break;
        }
        let deadline = ["2000", "150", "40"][round % 3];
        replies.extend(burst(&site, 200 + round, deadline).await);
    }
    let mut ran = site.generations();
    ran.extend(site.executions().into_iter().map(|run| run.request_id));
    let faults = check_refusals(&replies, &ran);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for reply in replies.iter().filter(|reply| reply.not_run()) {
        *kinds.entry(reply.kind()).or_default() += 1;
    }
    for kind in KINDS {
        assert!(
            kinds.contains_key(kind),
            "no refusal {kind} among {kinds:?}"
        );
    }
}

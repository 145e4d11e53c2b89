//! Exchange with the KV store, through real sockets.

mod common;

use std::sync::Arc;

use common::generate_request;
use common::node_state;
use common::run;
use common::Setup;
use common::Upstream;
use dw_agent::Agent;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::DurationMs;
use dw_base::ManualClock;
use dw_base::TimeMs;
use dw_base::BLOCK_BYTES;
use dw_standin::MemoryVms;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_standin::PlatformLimits;
use dw_store::Objects;
use dw_wire::Frame;
use dw_wire::StreamStart;

async fn start_of(agent: &Agent, id: &str, prompt: &str) -> StreamStart {
    let frames = run(agent, &generate_request(id, prompt, 1))
        .await
        .all()
        .await;
    assert!(matches!(frames.last(), Some(Frame::End(_))), "{frames:?}");
    match frames.into_iter().next() {
        Some(Frame::Start(start)) => start,
        other => panic!("unexpected {other:?}"),
    }
}

async fn exported(setup: &Setup, count: usize) {
    while setup.objects.list("kv/").await.expect("store works").len() < count {
        tokio::task::yield_now().await;
    }
}

/// Guards against a warm depth that does not follow the engine's cache.
#[tokio::test]
async fn warm_depth_follows_the_cache() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    let prompt = "x".repeat(2 * BLOCK_BYTES);
    let mut depth = 0;
    let mut number = 0;
    while depth < 2 {
        number += 1;
        let request = generate_request(&format!("r{number}"), &prompt, 1);
        let frames = run(&agent, &request).await.all().await;
        let Some(Frame::End(end)) = frames.last() else {
            panic!("unexpected {frames:?}");
        };
        depth = end.status.warm_depth;
    }
}

/// Guards against prefixes that are computed again by a restarted engine or by another one although
/// the first use has saved them, and against a write or read for each piece.
#[tokio::test]
async fn first_use_is_exported_and_imported_elsewhere() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    let shared = "x".repeat(3 * BLOCK_BYTES);
    assert_eq!(start_of(&agent, "a", &shared).await.imported_tokens, 0);
    exported(&setup, 1).await;
    assert_eq!(setup.objects.counters().writes, 1);
    let other = Setup {
        upstream: Upstream::start().await,
        table: Arc::clone(&setup.table),
        objects: Arc::clone(&setup.objects),
        config: Arc::clone(&setup.config),
        clock: Arc::clone(&setup.clock),
        vms: None,
    };
    let agent = other.agent("e").await;
    let reads = setup.objects.counters().reads;
    let branch = format!("{shared}{}", "y".repeat(BLOCK_BYTES));
    let start = start_of(&agent, "b", &branch).await;
    assert_eq!((start.imported_tokens, start.cached_tokens), (6_144, 6_144));
    assert_eq!(setup.objects.counters().reads, reads + 2);
    exported(&setup, 2).await;
    other.upstream.set(|fake| {
        fake.incarnation += 1;
        fake.seq = 0;
        fake.events.clear();
        fake.blocks.clear();
        fake.imported.clear();
    });
    while agent.status().upstream_incarnation.0 != 2 {
        tokio::task::yield_now().await;
    }
    let start = start_of(&agent, "c", &branch).await;
    assert_eq!((start.imported_tokens, start.cached_tokens), (8_192, 8_192));
}

/// Guards against agents of a large deployment that each use the whole write rate of the stores.
#[tokio::test]
async fn write_rate_is_shared_by_the_listed_agents() {
    let vms = MemoryVms::new(PlatformLimits::unlimited(), DurationMs(0));
    let agent = |number: usize| Vm {
        name: format!("agent-{number}"),
        role: VmRole::Agent,
        state: VmState::Live,
        data_centre: "dc".to_owned(),
        data_addr: String::new(),
        control_addr: String::new(),
        upstream: None,
    };
    vms.set_vms((0..400).map(agent).collect());
    let mut setup = Setup::new().await;
    // The clock stands still, so that no further write accrues.
    setup.clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
    setup.vms = Some(Arc::new(vms));
    let agent = setup.agent("e").await;
    while node_state(&agent).await["kv_agents"] != 400 {
        tokio::task::yield_now().await;
    }
    for (id, text) in [("a", "x"), ("b", "y"), ("c", "z"), ("d", "w")] {
        start_of(&agent, id, &text.repeat(BLOCK_BYTES)).await;
    }
    agent.shutdown().await;
    assert_eq!(setup.objects.counters().writes, 1);
}

/// Guards against cache entries of another organisation's or older object.
#[tokio::test]
async fn foreign_descriptions_are_not_imported() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    let prompt = "x".repeat(BLOCK_BYTES);
    let chain = dw_base::Chain::new(&common::salt(1), prompt.as_bytes());
    let description = serde_json::json!({"user": "another", "weights_version": 1,
        "blocks": [{"hash": chain.blocks[0].to_string(), "size_bytes": 1}]});
    let key = format!("kv/{}", chain.blocks[0]);
    let body = description.to_string().into_bytes().into();
    setup.objects.create(&key, body).await.expect("works");
    assert_eq!(start_of(&agent, "a", &prompt).await.imported_tokens, 0);
    setup.upstream.until(|fake| fake.imported.is_empty()).await;
}

/// Guards against an outage of the object store that fails requests or delays each of them.
#[tokio::test]
async fn outage_of_the_store_costs_one_call() {
    for outage in [Outage::Refuse, Outage::Hang] {
        let mut setup = Setup::new().await;
        // The clock stands still, so that the pause after the failure does not end.
        setup.clock = Arc::new(ManualClock::new(TimeMs(1_000_000)));
        setup.objects.set_faults(PlatformFaults {
            outage,
            ..PlatformFaults::default()
        });
        let agent = setup.agent("e").await;
        for (id, text) in [("a", "x"), ("b", "y"), ("c", "z"), ("d", "w")] {
            let prompt = text.repeat(BLOCK_BYTES);
            assert_eq!(start_of(&agent, id, &prompt).await.imported_tokens, 0);
        }
        assert_eq!(setup.objects.counters().outage, 1, "{outage:?}");
    }
}

//! Orders to the engine, the control path and settings, through real sockets.

mod common;

use common::config;
use common::config_of_engines;
use common::generate_request;
use common::run;
use common::Setup;
use common::Upstream;
use dw_agent::ProcessSettings;
use dw_config::Object;
use dw_config::UpstreamState;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
use dw_store::Table;
use dw_wire::ControlClient;
use dw_wire::Frame;
use dw_wire::RefusalReason;
use tarpc::client::Config;
use tarpc::serde_transport::tcp::connect;
use tarpc::tokio_serde::formats::Bincode;

async fn rolling_change(checks_fence: bool) {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| {
        fake.checks_fence = checks_fence;
        fake.fence = 6;
        fake.allowed = 1;
    });
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 2)).await;
    answer.next().await.expect("start");
    setup.config.set(config(2, 2));
    while agent.status().accepting {
        tokio::task::yield_now().await;
    }
    let late = run(&agent, &generate_request("late", "hello", 1)).await;
    let late = late.all().await;
    assert!(
        matches!(late.as_slice(), [Frame::Refused(r)] if r.reason == RefusalReason::NotReady),
        "{late:?}"
    );
    assert!(setup
        .upstream
        .state
        .lock()
        .expect("lives")
        .orders
        .is_empty());
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    assert!(matches!(answer.all().await.last(), Some(Frame::End(_))));
    setup.upstream.until(|fake| fake.weights == 2).await;
    while !agent.status().accepting {
        tokio::task::yield_now().await;
    }
    assert_eq!(agent.status().weights.0, 2);
    let fake = setup.upstream.state.lock().expect("lives");
    assert_eq!(fake.orders.len(), 1);
    assert_eq!(
        fake.orders[0]["fence"], 7,
        "above the number that the engine has seen"
    );
}

/// Guards against a new version that cuts off running work or is served before it is read back.
#[tokio::test]
async fn rolling_change_with_fence_check() {
    rolling_change(true).await;
}

/// Guards against the same faults with an engine that ignores fencing numbers.
#[tokio::test]
async fn rolling_change_without_fence_check() {
    rolling_change(false).await;
}

/// Guards against an order while the table is down, and against an engine that stops serving then.
#[tokio::test]
async fn table_outage_keeps_the_old_version() {
    let setup = Setup::new().await;
    setup.table.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    let agent = setup.agent("e").await;
    setup.config.set(config(2, 2));
    while setup.table.counters().outage < 3 {
        tokio::task::yield_now().await;
    }
    let frames = run(&agent, &generate_request("r", "hello", 1))
        .await
        .all()
        .await;
    assert!(matches!(frames.last(), Some(Frame::End(_))), "{frames:?}");
    assert!(setup
        .upstream
        .state
        .lock()
        .expect("lives")
        .orders
        .is_empty());
    setup.table.set_faults(PlatformFaults::default());
    setup.upstream.until(|fake| fake.weights == 2).await;
}

/// Configuration `version` whose engine is drained or not, and whose model has an adapter or none.
fn config_with(version: u64, state: UpstreamState, adapters: &[&str]) -> dw_config::Config {
    let mut config = config(version, 1);
    for entry in config.entries.values_mut() {
        match &mut entry.object {
            Object::Upstream(upstream) => upstream.state = state,
            Object::Model(model) => {
                let ids = adapters.iter().map(|name| name.parse().expect("valid id"));
                model.adapters = ids.collect();
            }
            _ => {}
        }
    }
    config
}

/// Guards against an order with a number that the engine has refused, which is sent again or
/// raised without a read of the table, and against an adapter that is never loaded.
#[tokio::test]
async fn refused_fence_is_raised_from_the_table() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    while setup.table.counters().writes == 0 {
        tokio::task::yield_now().await;
    }
    setup.table.set_faults(PlatformFaults {
        outage: Outage::Refuse,
        ..PlatformFaults::default()
    });
    setup.upstream.set(|fake| fake.fence = 100);
    setup
        .config
        .set(config_with(2, UpstreamState::Active, &["rain"]));
    while setup.table.counters().outage < 2 {
        tokio::task::yield_now().await;
    }
    setup
        .upstream
        .until(|fake| fake.stale_orders <= 1 && fake.orders.is_empty())
        .await;
    assert!(agent.status().accepting, "the old state is served");
    setup.table.set_faults(PlatformFaults::default());
    setup.upstream.until(|fake| fake.adapters == ["rain"]).await;
    let fake = setup.upstream.state.lock().expect("lives");
    assert_eq!(fake.orders[0]["fence"], 101);
    assert!(fake.stale_orders <= 1, "{}", fake.stale_orders);
}

/// Guards against a drained engine that keeps its role, or one that is not brought back, and
/// against a change of role that cuts off running work.
#[tokio::test]
async fn drained_engine_changes_its_role() {
    let setup = Setup::new().await;
    setup.upstream.set(|fake| fake.allowed = 1);
    let agent = setup.agent("e").await;
    let mut answer = run(&agent, &generate_request("r", "hello", 2)).await;
    answer.next().await.expect("start");
    setup
        .config
        .set(config_with(2, UpstreamState::Draining, &["rain"]));
    // The adapter is loaded after the change of the configuration was seen.
    setup.upstream.until(|fake| !fake.adapters.is_empty()).await;
    setup.upstream.until(|fake| !fake.standby).await;
    setup.upstream.set(|fake| fake.allowed = u64::MAX);
    assert!(matches!(answer.all().await.last(), Some(Frame::End(_))));
    setup.upstream.until(|fake| fake.standby).await;
    assert!(!agent.status().accepting);
    setup
        .config
        .set(config_with(3, UpstreamState::Active, &["rain"]));
    setup.upstream.until(|fake| !fake.standby).await;
    while !agent.status().accepting {
        tokio::task::yield_now().await;
    }
}

/// Guards against an agent that takes no work because one connection broke while it asked the
/// engine for its state.
#[tokio::test]
async fn lost_state_answer_keeps_the_agent_ready() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    setup.upstream.set(|fake| {
        fake.lost_states = 1;
        fake.states = 0;
    });
    while setup.upstream.state.lock().expect("lives").states < 3 {
        assert!(agent.status().accepting, "one lost answer stops the work");
        tokio::task::yield_now().await;
    }
}

/// Guards against an agent that offers an engine which no longer tells its state.
#[tokio::test]
async fn silent_engine_gets_no_work() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    setup.upstream.set(|fake| fake.lost_states = u32::MAX);
    while agent.status().accepting {
        tokio::task::yield_now().await;
    }
}

/// Guards against a predecessor that was paused and raises its number over its successor's.
#[tokio::test]
async fn superseded_agent_sends_no_orders() {
    let setup = Setup::new().await;
    let fence = serde_json::json!({"fence": 9, "agent": "agent-e", "incarnation": u64::MAX});
    let write = dw_api::table::Write {
        key: "fence/e".to_owned(),
        value: Some(fence),
    };
    let request = dw_api::table::TxnRequest {
        checks: Vec::new(),
        writes: vec![write],
    };
    setup.table.transact(&request).await.expect("table works");
    let agent = setup.unready_agent("e").await;
    setup
        .config
        .set(config_with(2, UpstreamState::Active, &["rain"]));
    while setup.table.counters().reads == 0 || agent.status().accepting {
        tokio::task::yield_now().await;
    }
    assert_eq!(setup.table.counters().writes, 1);
    setup.upstream.until(|fake| fake.orders.is_empty()).await;
}

/// Guards against more weight loads at once than the deployment allows, and against engines that
/// never get a lease.
#[tokio::test]
async fn leases_bound_the_loads_of_agents() {
    let first = Setup::new().await;
    let mut engines = Vec::new();
    for number in 0..4 {
        let engine = Setup {
            upstream: Upstream::start().await,
            table: first.table.clone(),
            objects: first.objects.clone(),
            config: first.config.clone(),
            clock: first.clock.clone(),
            vms: None,
        };
        engine.upstream.set(|fake| fake.holds_loads = true);
        engines.push((format!("e{number}"), engine));
    }
    let names: Vec<&str> = engines.iter().map(|(name, _)| name.as_str()).collect();
    first.config.set(config_of_engines(1, 1, &names));
    let mut agents = Vec::new();
    for (name, engine) in &engines {
        agents.push(engine.agent(name).await);
    }
    first.config.set(config_of_engines(2, 2, &names));
    for done in 0..4 {
        let loading = || {
            let is_loading = |(_, engine): &&(String, Setup)| {
                engine.upstream.state.lock().expect("lives").loading
            };
            engines.iter().filter(is_loading).collect::<Vec<_>>()
        };
        let wanted = 2.min(4 - done);
        let reads = first.table.counters().reads;
        // The agents without a lease ask the table again meanwhile.
        while loading().len() < wanted || first.table.counters().reads < reads + 4 {
            assert!(loading().len() <= 2);
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            if done >= 2 && loading().len() == wanted {
                break;
            }
        }
        assert_eq!(loading().len(), wanted);
        loading()[0].1.upstream.set(|fake| fake.loading = false);
    }
    for ((_, engine), agent) in engines.iter().zip(&agents) {
        engine.upstream.until(|fake| fake.weights == 2).await;
        while !agent.status().accepting {
            tokio::task::yield_now().await;
        }
    }
}

/// Guards against a control path that other processes cannot use.
#[tokio::test]
async fn control_path_answers() {
    let setup = Setup::new().await;
    let agent = setup.agent("e").await;
    run(&agent, &generate_request("r", "hello", 1))
        .await
        .all()
        .await;
    let transport = connect(agent.control_addr(), Bincode::default)
        .await
        .expect("connects");
    let client = ControlClient::new(Config::default(), transport).spawn();
    let context = tarpc::context::current;
    let state = client.node_state(context()).await.expect("answers");
    assert!(state.contains("\"upstream\":\"e\""), "{state}");
    let explained = loop {
        let id = "r".parse().expect("valid id");
        let answer = client.explain(context(), id).await.expect("answers");
        if let Some(record) = answer {
            break record;
        }
    };
    assert!(explained.contains("\"result\":\"complete\""), "{explained}");
    let hello = dw_wire::Hello {
        node: "router".parse().expect("valid id"),
        incarnation: dw_base::Incarnation(1),
        config_version: dw_base::ConfigVersion(1),
        leaving: false,
        status: None,
    };
    let hello = client.hello(context(), hello).await.expect("answers");
    assert!(!hello.leaving);
    assert!(hello.status.expect("an agent has a status").accepting);
}

/// Guards against settings errors that do not name the key.
#[test]
fn settings_errors_name_the_key() {
    let text = "agent:\n  node: a\n  data_centre: dc\n  upstream: e\n  upstream_addr: 127.0.0.1:1\n  data_addr: 127.0.0.1:0\n  control_addr: 127.0.0.1:0\n  max_queued: 0\nplatform:\n  table_addr: 127.0.0.1:1\n  objects_addr: 127.0.0.1:1\n  vms_addr: 127.0.0.1:1\n";
    let error = dw_settings::from_text::<ProcessSettings>("a.yaml", text).expect_err("invalid");
    let message = error.to_string();
    assert!(message.contains("agent.max_queued"), "{message}");
    assert!(message.contains("greater than 0"), "{message}");
    let valid = text.replace("max_queued: 0", "max_queued: 9");
    dw_settings::from_text::<ProcessSettings>("a.yaml", &valid).expect("valid");
}

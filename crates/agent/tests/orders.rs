//! Orders to the engine, the control path and settings, through real sockets.

mod common;

use common::config;
use common::generate_request;
use common::run;
use common::Setup;
use dw_agent::ProcessSettings;
use dw_standin::Outage;
use dw_standin::PlatformFaults;
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

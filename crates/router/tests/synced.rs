//! Routers that share a table.

mod common;

use std::sync::Arc;

use common::settings;
use common::Ask;
use common::CHAT;
use dw_api::vms::Vm;
use dw_api::vms::VmRole;
use dw_api::vms::VmState;
use dw_base::DurationMs;
use dw_place::RoundRobin;
use dw_router::SyncedParts;
use dw_router::SyncedRouter;
use dw_standin::MemoryObjects;
use dw_standin::MemoryTable;
use dw_standin::MemoryVms;
use dw_standin::PlatformLimits;
use http::StatusCode;
use sha2::Digest;
use sha2::Sha256;

fn vm(router: &SyncedRouter, name: &str) -> Vm {
    Vm {
        name: name.to_owned(),
        role: VmRole::Router,
        state: VmState::Live,
        data_centre: "ikeja".to_owned(),
        data_addr: router.router().callers_addr().to_string(),
        control_addr: router.router().control_addr().to_string(),
        upstream: None,
    }
}

/// Guards against an accepted change that is not in force at another router, and against
/// statements of strangers.
#[tokio::test]
async fn accepted_change_is_in_force_everywhere() {
    let limits = PlatformLimits::unlimited;
    let table = Arc::new(MemoryTable::new(limits()));
    let objects = Arc::new(MemoryObjects::new(limits()));
    let vms = Arc::new(MemoryVms::new(limits(), DurationMs::ZERO));
    let mut routers = Vec::new();
    for name in ["router-1", "router-2"] {
        let mut settings = settings();
        settings.node = common::id(name);
        settings.vm_poll.0 = DurationMs(10);
        settings.bootstrap_token_sha256 = Some(hex::encode(Sha256::digest(b"secret")));
        let parts = SyncedParts::builder()
            .settings(settings)
            .table(table.clone())
            .objects(objects.clone())
            .vms(vms.clone())
            .policy(Box::new(RoundRobin::default()))
            .build();
        routers.push(SyncedRouter::start(parts).await.expect("started"));
    }
    vms.set_vms(vec![
        vm(&routers[0], "router-1"),
        vm(&routers[1], "router-2"),
    ]);
    let admin = routers[0].router().admin_addr().expect("configured");
    let digest = hex::encode(Sha256::digest(b"secret"));
    let text = format!("declare organisation planner token_sha256=[{digest}] share=1");
    let body = serde_json::json!({ "text": text }).to_string();
    let statement = || Ask::new("/v1/statements", &body);
    let (code, _, text) = statement()
        .with("authorization", "Bearer guess")
        .send(admin)
        .await;
    assert_eq!(code, StatusCode::UNAUTHORIZED, "{text}");
    // A router that is not in the list yet would learn of the change only at its next poll.
    let knows_all = |router: &SyncedRouter| {
        let state = router.router().node_state();
        router.node().is_current() && state.contains(r#""routers":["router-1","router-2"]"#)
    };
    while !routers.iter().all(knows_all) {
        tokio::task::yield_now().await;
    }
    let (code, _, text) = statement().send(admin).await;
    assert_eq!(code, StatusCode::OK, "{text}");
    for router in &routers {
        let (code, _, text) = Ask::chat(CHAT).send(router.router().callers_addr()).await;
        // The organisation is known; the service is not declared.
        assert_eq!(code, StatusCode::NOT_FOUND, "{text}");
    }
    for router in routers {
        router.shutdown().await;
    }
}

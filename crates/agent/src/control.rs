//! tarpc server of the control path, and the leaving notice.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dw_api::vms::VmRole;
use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::ModelPart;
use dw_base::RequestDigest;
use dw_base::RequestId;
use dw_base::Suspect;
use dw_store::VmSource;
use dw_wire::ConfigAck;
use dw_wire::ConfigUpdate;
use dw_wire::Control;
use dw_wire::ControlClient;
use dw_wire::Hello;
use dw_wire::Loan;
use dw_wire::LoanDenied;
use dw_wire::LoanRequest;
use dw_wire::SuspectReport;
use dw_wire::NO_PROBE_PAUSE_MS;
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use tarpc::client::Config;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;

use crate::shared::lock;
use crate::shared::Shared;

/// Longest time that one router is waited for with a leaving notice. Others learn it from the
/// status of the next answer.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most routers notified at the same time.
const MAX_NOTICES: usize = 32;

#[derive(Clone)]
struct ControlServer(Arc<Shared>);

impl Control for ControlServer {
    async fn hello(self, _: Context, hello: Hello) -> Hello {
        log::debug!("event=hello node={} leaving={}", hello.node, hello.leaving);
        own_hello(&self.0)
    }

    async fn offer_config(self, _: Context, update: ConfigUpdate) -> ConfigAck {
        ConfigAck {
            node: self.0.settings.node.clone(),
            in_force: self.0.peer.offer(update).await,
        }
    }

    async fn newer_config(self, _: Context, than: ConfigVersion) -> Option<ConfigUpdate> {
        self.0.peer.newer(than).await
    }

    async fn borrow(self, _: Context, _request: LoanRequest) -> Result<Loan, LoanDenied> {
        Err(LoanDenied::NotOwner { owner: None })
    }

    async fn explain(self, _: Context, request_id: RequestId) -> Option<String> {
        let explained = lock(&self.0.explained);
        let record = explained
            .iter()
            .rev()
            .find(|r| r.request_id == request_id)?;
        serde_json::to_string(record).ok()
    }

    async fn node_state(self, _: Context) -> String {
        node_state(&self.0).to_string()
    }

    // Routers keep the evidence about prompts and grant the probes among themselves.
    async fn suspects(self, _: Context, _reports: Vec<SuspectReport>) {}

    async fn request_probe(self, _: Context, _parts: Vec<ModelPart>) -> DurationMs {
        NO_PROBE_PAUSE_MS
    }

    async fn suspect_requests(self, _: Context, _: Vec<SuspectReport<RequestDigest>>) {}

    async fn request_suspect_probe(self, _: Context, _: Vec<Suspect>) -> DurationMs {
        NO_PROBE_PAUSE_MS
    }
}

fn own_hello(shared: &Shared) -> Hello {
    let status = shared.status(None);
    Hello {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        config_version: shared.peer.announced(),
        // A notice is final for this process, whereas an operator can end a drain.
        leaving: shared.leaving(),
        status: Some(status),
    }
}

fn node_state(shared: &Shared) -> serde_json::Value {
    let status = shared.status(None);
    let (cached_blocks, synchronised) = shared.feed.state();
    let view = shared.upstream();
    serde_json::json!({
        "role": "agent",
        "node": status.node,
        "data_centre": shared.settings.data_centre,
        "upstream": status.upstream,
        "incarnation": status.agent_incarnation,
        "upstream_incarnation": status.upstream_incarnation,
        "weights": status.weights,
        "ready": view.ready,
        "accepting": status.accepting,
        "leaving": status.leaving,
        "config_version": status.config_version,
        "running": status.running,
        "queued": status.queued,
        "cached_blocks": cached_blocks,
        "cache_synchronised": synchronised,
        "kept_answers": lock(&shared.calls).len(),
        "kept_answer_bytes": shared.memory.total_bytes(),
        "explained_requests": lock(&shared.explained).len(),
        "kv_agents": lock(&shared.exchange).agent_count(),
        "known_pieces": lock(&shared.exchange).known_blocks(),
        "weight_lease": view.lease.map(|lease| lease.slot),
    })
}

/// Serves control connections for ever.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let incoming = serde_transport::tcp::listen_on(listener, Bincode::default).await;
    let mut incoming = match incoming {
        Ok(incoming) => incoming,
        Err(error) => {
            log::error!("event=control_listen_failed error={error:?}");
            return;
        }
    };
    while let Some(connection) = incoming.next().await {
        let Ok(transport) = connection else {
            continue;
        };
        let server = ControlServer(Arc::clone(&shared));
        let killed = shared.killed.clone();
        let connection = BaseChannel::with_defaults(transport)
            .execute(server.serve())
            .for_each_concurrent(None, |answer| answer);
        tokio::spawn(async move {
            killed.run_until_cancelled_owned(connection).await;
        });
    }
}

/// Tells the routers that the agent is leaving.
pub(crate) async fn send_leaving_notices(shared: &Shared, vms: Option<&Arc<dyn VmSource>>) {
    let routers = routers(shared, vms).await;
    let mut notices = FuturesUnordered::new();
    for router in routers {
        if notices.len() >= MAX_NOTICES {
            notices.next().await;
        }
        notices.push(async move {
            let notice = notify(shared, router);
            if tokio::time::timeout(NOTICE_TIMEOUT, notice).await.is_err() {
                log::info!("event=leaving_notice_timed_out router={router}");
            }
        });
    }
    while notices.next().await.is_some() {}
}

async fn routers(shared: &Shared, vms: Option<&Arc<dyn VmSource>>) -> Vec<SocketAddr> {
    let listed = match vms {
        Some(vms) => tokio::time::timeout(NOTICE_TIMEOUT, vms.vms()).await,
        None => return configured_peers(shared),
    };
    match listed {
        Ok(Ok(list)) => list
            .vms
            .iter()
            .filter(|vm| vm.role == VmRole::Router)
            .filter_map(|vm| vm.control_addr.parse().ok())
            .collect(),
        _ => configured_peers(shared),
    }
}

fn configured_peers(shared: &Shared) -> Vec<SocketAddr> {
    shared.settings.peers.iter().map(|peer| peer.0).collect()
}

async fn notify(shared: &Shared, router: SocketAddr) {
    let transport = match serde_transport::tcp::connect(router, Bincode::default).await {
        Ok(transport) => transport,
        Err(error) => {
            log::info!("event=leaving_notice_failed router={router} error={error:?}");
            return;
        }
    };
    let client = ControlClient::new(Config::default(), transport).spawn();
    let answer = client
        .hello(tarpc::context::current(), own_hello(shared))
        .await;
    if let Err(error) = answer {
        log::info!("event=leaving_notice_failed router={router} error={error:?}");
    }
}

//! Start and shutdown of a router.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dw_base::seeded_rng;
use dw_base::ConfigVersion;
use dw_base::Incarnation;
use dw_base::RequestId;
use dw_net::listen;
use dw_net::BindError;
use dw_wire::serve_control;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admin;
use crate::agents::Agents;
use crate::callers;
use crate::control::Handler;
use crate::explain::Records;
use crate::hello;
use crate::loans::Loans;
use crate::measures::Measures;
use crate::members::Members;
use crate::parts::Parts;
use crate::pool::Pool;
use crate::quarantine;
use crate::quarantine::Quarantine;
use crate::retry::Retries;
use crate::shared::Placer;
use crate::shared::Shared;
use crate::tokens::Tokens;
use crate::vms;

/// A running router.
pub struct Router {
    shared: Arc<Shared>,
    callers_addr: SocketAddr,
    control_addr: SocketAddr,
    admin_addr: Option<SocketAddr>,
    stop: CancellationToken,
    servers: JoinSet<()>,
    background: JoinSet<()>,
}

impl Router {
    /// Starts a router and reads the VM list once.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(parts: Parts) -> Result<Router, BindError> {
        let settings = parts.settings.clone();
        let (callers, callers_addr) = listen("listen", settings.listen.0).await?;
        let (control, control_addr) = listen("control", settings.control.0).await?;
        let statements = parts.statements.clone();
        let handle = parts.handle.clone();
        let shared = share(parts);
        handle.fill(&shared);
        let admin_addr = match settings.admin {
            None => None,
            Some(addr) => {
                let started = admin::start(addr.0, &shared, statements.as_ref());
                Some(started.map_err(|source| BindError {
                    what: "admin",
                    addr: addr.0,
                    source,
                })?)
            }
        };
        vms::start(&shared).await;
        let stop = CancellationToken::new();
        let mut servers = JoinSet::new();
        servers.spawn(callers::serve(shared.clone(), callers, stop.clone()));
        let handler = Arc::new(Handler(shared.clone()));
        let stopped = stop.clone().cancelled_owned();
        servers.spawn(serve_control(control, handler, stopped));
        let mut background = JoinSet::new();
        background.spawn(hello::heartbeats(shared.clone()));
        background.spawn(poll_vms(shared.clone()));
        background.spawn(quarantine::announce(shared.clone()));
        log::info!(
            node:% = shared.settings.node, callers:% = callers_addr, control:% = control_addr,
            admin:% = admin_addr.map_or_else(|| "none".to_owned(), |addr| addr.to_string());
            "router started"
        );
        Ok(Router {
            shared,
            callers_addr,
            control_addr,
            admin_addr,
            stop,
            servers,
            background,
        })
    }

    /// Returns the address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers_addr
    }

    /// Returns the address for control traffic.
    pub fn control_addr(&self) -> SocketAddr {
        self.control_addr
    }

    /// Returns the address of the administration API.
    pub fn admin_addr(&self) -> Option<SocketAddr> {
        self.admin_addr
    }

    /// Returns whether the router takes new requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the placement record of a recent request as JSON.
    pub fn explain(&self, request_id: &RequestId) -> Option<String> {
        self.shared.explain(request_id)
    }

    /// Returns the state of the node as JSON.
    pub fn node_state(&self) -> String {
        self.shared.node_state()
    }

    /// Refuses new requests, sends the leaving notice, finishes requests in flight and stops.
    pub async fn shutdown(mut self) {
        self.shared.draining.store(true, Ordering::SeqCst);
        log::info!(node:% = self.shared.settings.node; "router is draining");
        self.background.abort_all();
        self.shared.work.close();
        // The notice must not delay the end, and callers must not wait for the notice.
        tokio::join!(hello::leaving(&self.shared), self.shared.work.wait());
        self.stop.cancel();
        while self.servers.join_next().await.is_some() {}
        log::info!(node:% = self.shared.settings.node; "router stopped");
    }
}

fn share(parts: Parts) -> Arc<Shared> {
    let measures = Measures::new(&parts.metrics);
    let started = parts.clock.now();
    let node = parts.settings.node.clone();
    let limiter = parts
        .limiter
        .unwrap_or_else(|| Arc::new(Loans::new(parts.config.clone(), parts.handle.clone(), node)));
    Arc::new(Shared {
        // A later start has a later time, so that the incarnation grows.
        incarnation: Incarnation(parts.clock.now().0),
        settings: parts.settings,
        config: parts.config,
        vms: parts.vms,
        placer: Mutex::new(Placer {
            policy: parts.policy,
            rng: seeded_rng(parts.seed),
        }),
        limiter,
        retries: Mutex::new(Retries::new(parts.seed)),
        quarantine: Quarantine::default(),
        delegate: parts.delegate,
        clock: parts.clock,
        metrics: parts.metrics,
        measures,
        config_seen: Mutex::new((ConfigVersion(0), started)),
        tokens: Tokens::default(),
        members: Members::default(),
        records: Records::default(),
        agents: Agents::new(),
        pool: Pool::default(),
        work: TaskTracker::new(),
        draining: AtomicBool::new(false),
    })
}

async fn poll_vms(shared: Arc<Shared>) {
    let pause = Duration::from(shared.settings.vm_poll.0);
    loop {
        tokio::time::sleep(pause).await;
        vms::poll_once(&shared).await;
    }
}

//! Start and shutdown of a gateway.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dw_admit::Held;
use dw_admit::HeldBounds;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_fleet::View;
use dw_follow::ProxyList;
use dw_follow::TablePaths;
use dw_member::Directory;
use dw_net::datagrams;
use dw_net::listen;
use dw_net::start_text;
use dw_net::BindError;
use dw_place::Direct;
use dw_place::DirectSettings;
use dw_place::MixedSettings;
use dw_platform::Boot;
use dw_platform::ExplainSettings;
use dw_port::Codec;
use dw_port::Declaration;
use dw_port::DeclarationTimes;
use dw_port::Feed;
use dw_port::OriginTable;
use dw_port::QuarantineTable;
use dw_port::Registration;
use dw_port::TableProxies;
use dw_telem::Metrics;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::admission::Admissions;
use crate::caller;
use crate::configuration_lag;
use crate::configuration_lag::ConfigurationLag;
use crate::connections::Connections;
use crate::declaration_times::DeclarationTimeQueue;
use crate::declarations::follow_declarations;
use crate::drain::DrainTimes;
use crate::explain_server;
use crate::gossip::Gossip;
use crate::kv;
use crate::lag;
use crate::limits::RequestLimits;
use crate::metrics::GatewayMetrics;
use crate::origin_store;
use crate::origin_store::OriginStore;
use crate::origins;
use crate::origins::Origins;
use crate::pool::ConnectionPool;
use crate::probe;
use crate::quarantine;
use crate::quarantine::Quarantine;
use crate::quotas::Quotas;
use crate::registrations::follow_registrations;
use crate::shared::Shared;
use crate::upstream_end::registered_start;
use crate::upstream_end::withdraw_ends;
use crate::upstream_end::EndedUpstreams;
use crate::weights::Weights;

/// Number of heartbeat intervals that an outage of the registration table must last for
/// registrations of live upstreams to lapse in it: the platform drops a registration after three
/// missed heartbeats, and one is subtracted to allow for delays.
const LAPSE_HEARTBEATS: u64 = 2;

/// Interval between sweeps of idle connections and expired registrations.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Factor applied to the configured idle time to get the time after which the gateway closes a
/// caller's idle connection, so that it closes later than configured.
const IDLE_TIMEOUT_FACTOR: f64 = 1.1;

/// Interval between checks of open connections during shutdown.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which requests that still run at the end get their final answer.
const FINAL_ANSWERS_PAUSE: Duration = Duration::from_millis(50);

/// Error that prevents the start of a gateway.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The settings lack an address.
    #[error("the settings have no address for {0}; add it")]
    MissingAddress(&'static str),
}

/// Settings and adapters that a gateway needs to start.
pub struct GatewayParts {
    /// Settings at the start, before any reload.
    pub boot: Boot,
    /// Settings file, which is read again on SIGHUP.
    pub boot_path: PathBuf,
    /// Port for metrics, if they are served.
    pub metrics_port: Option<u16>,
    /// Whether prompts are placed with regard to those of routes with other aims.
    pub mixed_prompts: bool,
    /// Where operators may ask where a request would go, if they may.
    pub explain: Option<ExplainSettings>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Codec for the heads of requests and answers.
    pub codec: Arc<dyn Codec>,
    /// Feed of the operators' declarations.
    pub declarations: Box<dyn Feed<Declaration>>,
    /// Feed of the registrations of upstreams.
    pub registrations: Box<dyn Feed<Registration>>,
    /// The same tables through other processes, for while the store turns this one away.
    pub proxies: Arc<dyn TableProxies>,
    /// Store of the times at which weights were published.
    pub declaration_times: Box<dyn DeclarationTimes>,
    /// Table with the prompt parts and requests in quarantine.
    pub quarantine: Box<dyn QuarantineTable>,
    /// Table with the origins of streams.
    pub origins: Box<dyn OriginTable>,
}

/// A running gateway.
pub struct Gateway {
    shared: Rc<Shared>,
    boot_path: PathBuf,
    callers_addr: SocketAddr,
    ready_addr: SocketAddr,
    explain_addr: Option<SocketAddr>,
    accepting: JoinHandle<()>,
}

impl Gateway {
    /// Starts a gateway; must be called inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is missing or cannot be bound.
    pub async fn start(parts: GatewayParts) -> Result<Self, StartError> {
        let boot = Rc::new(parts.boot);
        let callers = boot.callers.ok_or(StartError::MissingAddress("callers"))?;
        let ready = boot
            .ready
            .ok_or(StartError::MissingAddress("the readiness probe"))?;
        let (callers, callers_addr) = listen("callers", callers).await?;
        let (ready, ready_addr) = listen("readiness", ready).await?;
        let inner = SocketAddr::new(boot.ip, boot.inner_ports.0);
        let socket = Rc::new(datagrams("inner", inner).await?);
        let quarantine = Quarantine::new(parts.quarantine);
        let limits = RequestLimits::new(socket.clone(), boot.inner_ports.0);
        let quotas = Quotas::new(socket.clone(), boot.inner_ports.0);
        let admissions = Admissions::new(socket.clone(), boot.inner_ports.0);
        let origins = Origins::new(
            socket.clone(),
            boot.inner_ports.0,
            boot.bounds.leaving_ms,
            OriginStore::new(parts.origins, boot.table_rates),
        );
        let shared = shared_state(
            &boot,
            parts.clock,
            parts.codec,
            (quarantine, limits, quotas, admissions, origins),
        );
        if parts.mixed_prompts {
            let mixed = MixedSettings::builder().build();
            let settings = DirectSettings::builder().mixed(mixed).build();
            shared.placement.replace(Direct::new(settings));
        }
        log::info!(
            node:% = boot.node, mixed_prompts = parts.mixed_prompts, callers:? = boot.callers, table:% = boot.table,
            data_centre:% = boot.data_centre;
            "starting gateway"
        );
        let declaration_times =
            DeclarationTimeQueue::start(shared.clone(), parts.declaration_times);
        let proxies = parts.proxies.clone();
        let declarations = TablePaths {
            store: parts.declarations,
            through: Box::new(move |proxy| proxies.declarations(proxy)),
        };
        let proxies = parts.proxies;
        let registrations = TablePaths {
            store: parts.registrations,
            through: Box::new(move |proxy| proxies.registrations(proxy)),
        };
        spawn(follow_declarations(
            shared.clone(),
            declarations,
            declaration_times,
        ));
        spawn(follow_registrations(shared.clone(), registrations));
        spawn(quarantine::restore(shared.clone()));
        spawn(origin_store::store_added(shared.clone()));
        spawn(kv::follow_all(shared.clone()));
        let gossip = Rc::new(Gossip::new(shared.clone(), socket));
        spawn(gossip.clone().announce_to_relays());
        spawn(gossip.receive_from_relays());
        spawn(probe::serve_ready(shared.clone(), ready));
        spawn(sweep(shared.clone()));
        spawn(lag::measure(shared.clone()));
        if let Some(port) = parts.metrics_port {
            let addr = SocketAddr::new(boot.ip, port);
            let shared = shared.clone();
            let text = move || shared.metrics.render();
            start_text("metrics", addr, Metrics::CONTENT_TYPE, text).await?;
        }
        let mut explain_addr = None;
        if let Some(settings) = parts.explain {
            let addr = SocketAddr::new(boot.ip, settings.port);
            let bound = explain_server::start(shared.clone(), addr, settings.token).await?;
            explain_addr = Some(bound);
        }
        let accepting = spawn(caller::accept(shared.clone(), callers));
        Ok(Gateway {
            shared,
            boot_path: parts.boot_path,
            callers_addr,
            ready_addr,
            explain_addr,
            accepting,
        })
    }

    /// Returns the address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers_addr
    }

    /// Returns the address of the readiness probe.
    pub fn ready_addr(&self) -> SocketAddr {
        self.ready_addr
    }

    /// Returns the address at which operators may ask where a request would go, if they may.
    pub fn explain_addr(&self) -> Option<SocketAddr> {
        self.explain_addr
    }

    /// Reads the settings file again and applies its bounds.
    pub fn reload(&self) {
        match Boot::read(&self.boot_path) {
            Ok(boot) => {
                log::info!(path:% = self.boot_path.display(); "reloaded settings");
                let bounds = HeldBounds::new(boot.memory);
                self.shared.held.borrow_mut().set_bounds(bounds);
                *self.shared.boot.borrow_mut() = Rc::new(boot);
            }
            Err(e) => {
                log::error!(error:% = e; "cannot reload settings; the previous ones stay in force")
            }
        }
    }

    /// Fails the readiness probe, lets running requests finish and returns before SIGKILL is due.
    pub async fn shutdown(self) {
        let started = self.shared.now();
        self.shared.draining.set(true);
        log::info!(connections = self.shared.connections.count(); "draining connections");
        let times = DrainTimes::new(self.shared.boot().bounds.grace_ms);
        self.shared
            .accepts_until
            .set(Some(started + times.accept_ms));
        let until = started + times.exit_ms;
        let handing_over = origins::hand_over(&self.shared);
        // Streams that begin meanwhile are told as they begin.
        let _ = tokio::time::timeout(times.accept_ms.into(), handing_over).await;
        let accept_until = started + times.accept_ms;
        tokio::time::sleep(accept_until.since(self.shared.now()).into()).await;
        self.accepting.abort();
        self.shared
            .connections
            .close_idle(DurationMs::ZERO, started);
        while self.shared.connections.count() > 0 && self.shared.now() < until {
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        if self.shared.connections.count() > 0 {
            self.shared.exit.notify_waiters();
            tokio::time::sleep(FINAL_ANSWERS_PAUSE).await;
        }
        log::info!(connections = self.shared.connections.count(); "stopping gateway");
    }
}

fn spawn(task: impl Future<Output = ()> + 'static) -> JoinHandle<()> {
    tokio::task::spawn_local(task)
}

fn shared_state(
    boot: &Rc<Boot>,
    clock: Arc<dyn Clock>,
    codec: Arc<dyn Codec>,
    (quarantine, limits, quotas, admissions, origins): (
        Quarantine,
        RequestLimits,
        Quotas,
        Admissions,
        Origins,
    ),
) -> Rc<Shared> {
    let lapse_ms = DurationMs(boot.heartbeat_ms.0 * LAPSE_HEARTBEATS);
    Rc::new(Shared {
        boot: RefCell::new(boot.clone()),
        clock,
        codec,
        routes: RefCell::new(None),
        configuration_invalid: Cell::new(false),
        configuration_lag: ConfigurationLag::default(),
        directory: RefCell::new(Directory::new(lapse_ms)),
        registrations_read: Cell::new(false),
        placement: RefCell::new(Direct::new(DirectSettings::builder().build())),
        view: RefCell::new(View::default()),
        tables: RefCell::default(),
        registrations_version: Cell::new(0),
        proxies: ProxyList::default(),
        weights: RefCell::new(Weights::new(boot.bounds.weights_ms)),
        budgets: RefCell::new(HashMap::new()),
        kv: RefCell::new(HashMap::new()),
        overload: RefCell::default(),
        congestion: RefCell::default(),
        held: Rc::new(RefCell::new(Held::new(HeldBounds::new(boot.memory)))),
        pool: ConnectionPool::default(),
        connections: Connections::default(),
        metrics: GatewayMetrics::new(),
        quarantine,
        limits,
        quotas,
        admissions,
        origins,
        ended: EndedUpstreams::default(),
        draining: Cell::new(false),
        accepts_until: Cell::default(),
        exit: Notify::new(),
        announcement_due: Notify::new(),
    })
}

/// Closes idle connections and drops expired registrations.
async fn sweep(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = shared.now();
        shared.directory.borrow_mut().expire(now);
        configuration_lag::observe(&shared, now);
        shared.limits.expire(now);
        shared.admissions.expire(now);
        let quarantined = shared.quarantine.expire(now);
        shared.metrics.set_quarantined(&quarantined);
        shared.origins.expire(now);
        withdraw_ends(&shared);
        let directory = shared.directory.borrow();
        shared.quotas.set_engines(&directory);
        if let Some(age_ms) = shared.tables.borrow().registrations_age_ms(now) {
            origins::observe(&shared, &directory, now - age_ms, now);
        }
        shared
            .ended
            .retain(&directory.all().map(registered_start).collect());
        shared.pool.sweep(|addr| directory.at(addr).is_some(), now);
        if let Some(routes) = shared.routes() {
            shared.quotas.retain(&routes.limited_organisations());
            let idle_ms = routes.limits().idle_ms.0 as f64 * IDLE_TIMEOUT_FACTOR;
            let idle_ms = DurationMs(idle_ms.max(1.0) as u64);
            shared.connections.close_idle(idle_ms, now);
        }
    }
}

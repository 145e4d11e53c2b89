//! Start of a sidecar, and the state that its tasks share.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use dw_base::Clock;
use dw_base::DataCentreId;
use dw_base::DurationMs;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_fleet::Relays;
use dw_fleet::TableHints;
use dw_net::datagrams;
use dw_net::start_text;
use dw_net::BindError;
use dw_origin::OriginKeeper;
use dw_permit::Issuer;
use dw_platform::Boot;
use dw_port::Declaration;
use dw_port::Engine;
use dw_port::Feed;
use dw_port::KvIndex;
use dw_port::TableProxy;
use dw_quota::Counter;
use dw_telem::Metrics;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::admission::Admissions;
use crate::cache::follow_cache;
use crate::gossip;
use crate::metrics::SidecarMetrics;
use crate::orders;
use crate::origins;
use crate::relay::Relay;
use crate::state::State;
use crate::stores::follow_stores;
use crate::table_proxy;
use crate::weights::follow_weights;

/// A sidecar cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for other processes cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The settings contain no engine.
    #[error("no engine configured on this VM; a sidecar runs only beside an engine")]
    NoEngine,
}

/// Settings and connections of a sidecar.
pub struct SidecarParts {
    /// Settings.
    pub boot: Boot,
    /// Port for metrics, if they are served.
    pub metrics_port: Option<u16>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// The engine.
    pub engine: Box<dyn Engine>,
    /// Index of the engine's cache.
    pub cache: Box<dyn KvIndex>,
    /// Feed of operators' declarations.
    pub declarations: Box<dyn Feed<Declaration>>,
    /// Creates what passes calls of routers on to the platform's table.
    pub table_proxy: Box<dyn Fn() -> Box<dyn TableProxy>>,
    /// Connects to a KV store.
    pub stores: Box<dyn Fn(SocketAddr) -> Box<dyn KvIndex>>,
}

/// State that all tasks of a sidecar share on its only thread.
pub(crate) struct Shared {
    pub(crate) node: NodeId,
    pub(crate) engine: SocketAddr,
    pub(crate) data_centre: DataCentreId,
    inner_port: u16,
    /// Time without a disruption from which the bounds of the deployment hold.
    pub(crate) settle_ms: DurationMs,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: RefCell<State>,
    pub(crate) socket: UdpSocket,
    pub(crate) relays: RefCell<Relays>,
    /// Positions up to which routers have read the platform's tables.
    pub(crate) hints: RefCell<TableHints>,
    /// Addresses of the KV stores.
    pub(crate) stores: RefCell<Vec<SocketAddr>>,
    pub(crate) relay: RefCell<Relay>,
    /// Issuer of permits of upstreams with a request limit.
    pub(crate) issuer: RefCell<Issuer>,
    /// Counter of the quotas of organisations.
    pub(crate) counter: RefCell<Counter>,
    /// Admissions at the engine.
    pub(crate) admissions: RefCell<Admissions>,
    /// Origins of streams that routers have told this sidecar.
    pub(crate) origins: RefCell<OriginKeeper>,
    pub(crate) metrics: SidecarMetrics,
    pub(crate) changed: Notify,
}

impl Shared {
    /// Returns whether other processes use this sidecar as a relay.
    pub(crate) fn is_relay(&self) -> bool {
        self.relay.borrow().is_used(self.clock.now())
    }

    /// Returns the relays in use of the own data centre.
    pub(crate) fn local_relays(&self, now: TimeMs) -> Vec<SocketAddr> {
        let order = self.state.borrow().members.relay_order(&self.data_centre);
        self.relays.borrow_mut().select(&order, now)
    }

    /// Records a datagram to these relays and returns the addresses of their sidecars, without this
    /// one.
    pub(crate) fn addrs_for_send(&self, relays: &[SocketAddr], now: TimeMs) -> Vec<SocketAddr> {
        let others = relays.iter().filter(|relay| **relay != self.engine);
        let mut selection = self.relays.borrow_mut();
        others
            .map(|relay| {
                selection.record_sent(*relay, now);
                self.sidecar_addr(*relay)
            })
            .collect()
    }

    /// Records a datagram to the relays in use of all other data centres and returns the addresses
    /// of their sidecars.
    pub(crate) fn remote_relays(&self, now: TimeMs) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let is_other = |data_centre: &&DataCentreId| **data_centre != self.data_centre;
        let others = state.members.data_centres().iter().filter(is_other);
        let orders = others.map(|data_centre| state.members.relay_order(data_centre));
        let relays: Vec<SocketAddr> = orders
            .flat_map(|order| self.relays.borrow_mut().select(&order, now))
            .collect();
        self.addrs_for_send(&relays, now)
    }

    /// Returns the other sidecars of the data centre.
    pub(crate) fn local_sidecars(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let engines = state.members.engines_in(&self.data_centre);
        let others = engines.filter(|engine| *engine != self.engine);
        others.map(|engine| self.sidecar_addr(engine)).collect()
    }

    /// Returns the address of the sidecar beside an engine.
    pub(crate) fn sidecar_addr(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.inner_port)
    }
}

/// A running sidecar.
pub struct Sidecar {
    shared: Rc<Shared>,
    metrics_addr: Option<SocketAddr>,
}

impl Sidecar {
    /// Starts a sidecar; must be called inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings contain no engine or an address cannot be bound.
    pub async fn start(parts: SidecarParts) -> Result<Self, StartError> {
        let boot = parts.boot;
        let engine = boot.engine.ok_or(StartError::NoEngine)?;
        let addr = SocketAddr::new(boot.ip, boot.inner_ports.0);
        let socket = datagrams("inner", addr).await?;
        let shared = Rc::new(Shared {
            node: boot.node.clone(),
            engine,
            data_centre: boot.data_centre.clone(),
            inner_port: boot.inner_ports.0,
            settle_ms: boot.bounds.settle_ms,
            issuer: RefCell::new(Issuer::new(engine, parts.clock.now())),
            counter: RefCell::new(Counter::new(engine, parts.clock.now())),
            admissions: RefCell::default(),
            origins: RefCell::default(),
            metrics: SidecarMetrics::new(parts.clock.now()),
            clock: parts.clock,
            socket,
            relays: RefCell::default(),
            hints: RefCell::default(),
            stores: RefCell::default(),
            relay: RefCell::default(),
            state: RefCell::new(State::new(engine, boot.bounds.weights_ms)),
            changed: Notify::new(),
        });
        log::info!(node:% = boot.node, engine:%, table:% = boot.table; "starting sidecar");
        let mut metrics_addr = None;
        if let Some(port) = parts.metrics_port {
            let addr = SocketAddr::new(boot.ip, port);
            let shared = shared.clone();
            let text = move || shared.metrics.render();
            let bound = start_text("metrics", addr, Metrics::CONTENT_TYPE, text).await?;
            metrics_addr = Some(bound);
        }
        spawn_local(table_proxy::serve(shared.clone(), addr, parts.table_proxy));
        spawn_local(follow_weights(shared.clone(), parts.declarations));
        spawn_local(follow_stores(shared.clone(), parts.stores));
        spawn_local(follow_cache(shared.clone(), parts.cache));
        spawn_local(gossip::announce_state(shared.clone()));
        spawn_local(gossip::receive_announcements(shared.clone()));
        spawn_local(orders::watch_engine(shared.clone(), parts.engine));
        Ok(Sidecar {
            shared,
            metrics_addr,
        })
    }

    /// Hands on what other processes have told this one, before it ends.
    pub async fn shutdown(self) {
        origins::hand_over(&self.shared).await;
    }

    /// Returns the address of the metrics, if they are served.
    pub fn metrics_addr(&self) -> Option<SocketAddr> {
        self.metrics_addr
    }
}

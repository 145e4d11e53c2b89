//! Start of a sidecar.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use dw_base::Clock;
use dw_base::DataCentreId;
use dw_base::NodeId;
use dw_base::TimeMs;
use dw_fleet::Relays;
use dw_fleet::TableHints;
use dw_net::datagrams;
use dw_net::start_text;
use dw_net::BindError;
use dw_platform::Boot;
use dw_port::Declaration;
use dw_port::Engine;
use dw_port::Feed;
use dw_port::KvIndex;
use dw_telem::Metrics;
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::cache::follow_cache;
use crate::gossip;
use crate::measures::Measures;
use crate::orders;
use crate::relay::Relay;
use crate::state::State;
use crate::stores::follow_stores;
use crate::weights::follow_weights;

/// A sidecar cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for other processes cannot be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The settings name no engine.
    #[error("the settings name no engine on this VM; run the sidecar beside an engine only")]
    NoEngine,
}

/// What a sidecar is made of.
pub struct SidecarParts {
    /// Settings.
    pub boot: Boot,
    /// Port for metrics, if they are served.
    pub metrics_port: Option<u16>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// The engine.
    pub engine: Box<dyn Engine>,
    /// What the engine has cached.
    pub cache: Box<dyn KvIndex>,
    /// What operators declare.
    pub declarations: Box<dyn Feed<Declaration>>,
    /// Connects to a store of kept KV cache.
    pub stores: Box<dyn Fn(SocketAddr) -> Box<dyn KvIndex>>,
}

/// State that all tasks of a sidecar share, on its only thread.
pub(crate) struct Shared {
    pub(crate) node: NodeId,
    pub(crate) engine: SocketAddr,
    pub(crate) data_centre: DataCentreId,
    inner_port: u16,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) state: RefCell<State>,
    pub(crate) socket: UdpSocket,
    pub(crate) relays: RefCell<Relays>,
    /// What routers have read of the platform's tables.
    pub(crate) hints: RefCell<TableHints>,
    /// Stores of kept KV cache.
    pub(crate) stores: RefCell<Vec<SocketAddr>>,
    pub(crate) relay: RefCell<Relay>,
    pub(crate) measures: Measures,
    pub(crate) changed: Notify,
}

impl Shared {
    /// Returns whether other processes use this sidecar as a relay.
    pub(crate) fn is_relay(&self) -> bool {
        self.relay.borrow().is_used(self.clock.now())
    }

    /// Returns the relays of the own data centre.
    pub(crate) fn own_relays(&self, now: TimeMs) -> Vec<SocketAddr> {
        let order = self.state.borrow().members.relay_order(&self.data_centre);
        self.relays.borrow_mut().select(&order, now)
    }

    /// Returns the sidecars of the relays that are to be told something, without this one.
    pub(crate) fn tell_relays(&self, relays: &[SocketAddr], now: TimeMs) -> Vec<SocketAddr> {
        let others = relays.iter().filter(|relay| **relay != self.engine);
        let mut told = self.relays.borrow_mut();
        others
            .map(|relay| {
                told.record_sent(*relay, now);
                self.sidecar(*relay)
            })
            .collect()
    }

    /// Returns the sidecars of the relays of all other data centres, which are to be told something.
    pub(crate) fn other_relays(&self, now: TimeMs) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let is_other = |data_centre: &&DataCentreId| **data_centre != self.data_centre;
        let others = state.members.data_centres().iter().filter(is_other);
        let orders = others.map(|data_centre| state.members.relay_order(data_centre));
        let relays: Vec<SocketAddr> = orders
            .flat_map(|order| self.relays.borrow_mut().select(&order, now))
            .collect();
        self.tell_relays(&relays, now)
    }

    /// Returns the other sidecars of the data centre.
    pub(crate) fn near_sidecars(&self) -> Vec<SocketAddr> {
        let state = self.state.borrow();
        let engines = state.members.engines_in(&self.data_centre);
        let others = engines.filter(|engine| *engine != self.engine);
        others.map(|engine| self.sidecar(engine)).collect()
    }

    fn sidecar(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.inner_port)
    }
}

/// A running sidecar.
pub struct Sidecar {
    metrics_addr: Option<SocketAddr>,
}

impl Sidecar {
    /// Starts a sidecar; must be called inside a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings name no engine or an address cannot be bound.
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
            measures: Measures::new(parts.clock.now()),
            clock: parts.clock,
            socket,
            relays: RefCell::default(),
            hints: RefCell::default(),
            stores: RefCell::default(),
            relay: RefCell::default(),
            state: RefCell::new(State::new(engine, boot.bounds.weights_ms)),
            changed: Notify::new(),
        });
        log::info!(node:% = boot.node, engine:%, table:% = boot.table; "sidecar starts");
        let mut metrics_addr = None;
        if let Some(port) = parts.metrics_port {
            let addr = SocketAddr::new(boot.ip, port);
            let shared = shared.clone();
            let text = move || shared.measures.render();
            let bound = start_text("metrics", addr, Metrics::CONTENT_TYPE, text).await?;
            metrics_addr = Some(bound);
        }
        spawn_local(follow_weights(shared.clone(), parts.declarations));
        spawn_local(follow_stores(shared.clone(), parts.stores));
        spawn_local(follow_cache(shared.clone(), parts.cache));
        spawn_local(gossip::tell_others(shared.clone()));
        spawn_local(gossip::hear_others(shared.clone()));
        spawn_local(orders::watch(shared, parts.engine));
        Ok(Sidecar { metrics_addr })
    }

    /// Returns the address of the metrics, if they are served.
    pub fn metrics_addr(&self) -> Option<SocketAddr> {
        self.metrics_addr
    }
}

//! State that all tasks of a gateway share. They run on a single thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use dw_admit::Congestion;
use dw_admit::Overload;
use dw_base::Clock;
use dw_base::ServiceId;
use dw_base::TimeMs;
use dw_cache::Contents;
use dw_fleet::TableState;
use dw_fleet::View;
use dw_follow::ProxyList;
use dw_member::Directory;
use dw_place::Direct;
use dw_platform::Boot;
use dw_port::Codec;
use dw_retry::BudgetSettings;
use dw_retry::BudgetShare;
use dw_route::RouteTable;
use tokio::sync::Notify;

use crate::admission::Admissions;
use crate::configuration_lag;
use crate::configuration_lag::ConfigurationLag;
use crate::connections::Connections;
use crate::limits::RequestLimits;
use crate::memory::HeldMemory;
use crate::metrics::GatewayMetrics;
use crate::origins::Origins;
use crate::pool::ConnectionPool;
use crate::quarantine::Quarantine;
use crate::quotas::Quotas;
use crate::upstream_end::EndedUpstreams;
use crate::weights::Weights;

/// State that all tasks of a gateway share.
pub(crate) struct Shared {
    pub(crate) boot: RefCell<Rc<Boot>>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) codec: Arc<dyn Codec>,
    pub(crate) routes: RefCell<Option<Rc<RouteTable>>>,
    /// Whether the newest configuration cannot be read, or not as a whole.
    pub(crate) configuration_invalid: Cell<bool>,
    pub(crate) configuration_lag: ConfigurationLag,
    pub(crate) directory: RefCell<Directory>,
    /// Whether the registrations have been read at least once.
    pub(crate) registrations_read: Cell<bool>,
    pub(crate) placement: RefCell<Direct>,
    /// State of the engines as announced by relays.
    pub(crate) view: RefCell<View>,
    pub(crate) tables: RefCell<TableState>,
    /// Position of the registrations in the history of the platform's table.
    pub(crate) registrations_version: Cell<u64>,
    /// Sidecars that pass calls on to the platform's table.
    pub(crate) proxies: ProxyList,
    pub(crate) weights: RefCell<Weights>,
    pub(crate) budgets: RefCell<HashMap<ServiceId, BudgetShare>>,
    pub(crate) kv: RefCell<HashMap<SocketAddr, Rc<RefCell<Contents>>>>,
    pub(crate) overload: RefCell<HashMap<ServiceId, Overload>>,
    pub(crate) congestion: RefCell<Congestion>,
    /// Memory that requests and answers hold.
    pub(crate) held: HeldMemory,
    pub(crate) pool: ConnectionPool,
    pub(crate) connections: Connections,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) quarantine: Quarantine,
    pub(crate) limits: RequestLimits,
    pub(crate) quotas: Quotas,
    pub(crate) admissions: Admissions,
    pub(crate) origins: Origins,
    pub(crate) ended: EndedUpstreams,
    pub(crate) draining: Cell<bool>,
    /// Until when requests are accepted, once the gateway drains.
    pub(crate) accepts_until: Cell<Option<TimeMs>>,
    /// Notifies the requests that still run when the process is about to exit.
    pub(crate) exit: Notify,
    /// Wakes the task that sends announcements to the relays.
    pub(crate) announcement_due: Notify,
}

impl Shared {
    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    pub(crate) fn boot(&self) -> Rc<Boot> {
        self.boot.borrow().clone()
    }

    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Returns whether the gateway accepts new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.draining.get()
            && self.registrations_read.get()
            && self.routes.borrow().is_some()
            && !configuration_lag::is_stale(self, self.now())
    }

    /// Returns whether it is too late to accept requests, as the process will soon exit.
    pub(crate) fn is_stopping(&self) -> bool {
        let now = self.now();
        self.accepts_until.get().is_some_and(|until| now >= until)
    }

    /// Counts a caller's request for the retry budget of its service.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        let now = self.now();
        self.with_budget(service, |share, _| share.record_request(now));
    }

    /// Takes one retry from the retry budget of a service, if it allows one.
    pub(crate) fn spend_retry(&self, service: &ServiceId) -> bool {
        let now = self.now();
        let spent = self.with_budget(service, |share, routers| share.spend(routers, now));
        self.metrics.record_retry(spent);
        spent
    }

    /// Calls `f` with the overload state of a service and returns its result.
    pub(crate) fn with_overload<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut Overload) -> T,
    ) -> T {
        let mut overload = self.overload.borrow_mut();
        f(overload.entry(service.clone()).or_default())
    }

    fn with_budget<T>(&self, service: &ServiceId, f: impl FnOnce(&mut BudgetShare, u32) -> T) -> T {
        let bounds = self.boot.borrow().bounds;
        let settings = BudgetSettings {
            ratio: bounds.retry_ratio,
            slack: bounds.retry_slack,
            window_ms: bounds.retry_window_ms,
        };
        let routers = self.placement.borrow().routers();
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.clone(), BudgetShare::new(settings));
        }
        let share = budgets.entry(service.clone());
        f(share.or_insert_with(|| BudgetShare::new(settings)), routers)
    }
}

//! Route table of one configuration version.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use dw_base::ConfigVersion;
use dw_base::DurationMs;
use dw_base::OrgId;
use dw_base::ServiceId;

use crate::limits::Limits;
use crate::organisation::Organisation;
use crate::route::Route;
use crate::service::KvStore;
use crate::service::Service;

/// Input from which a [`RouteTable`] is built.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTableParts {
    /// Configuration version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that serve requests.
    pub services: Vec<Service>,
    /// KV stores.
    pub kv_stores: Vec<KvStore>,
    /// Organisations; absent if requests need no API key. With an empty list no API key is valid.
    pub organisations: Option<Vec<Organisation>>,
    /// API keys of organisations that cannot be read; requests with them are refused.
    pub closed_keys: Vec<String>,
    /// Limits for requests of callers.
    pub limits: Limits,
}

/// Routes, services and API keys of one configuration version, indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    kv_stores: Vec<KvStore>,
    keys: HashMap<String, Arc<Organisation>>,
    closed_keys: HashSet<String>,
    needs_keys: bool,
    limits: Limits,
    shortest_objective_ms: Option<DurationMs>,
    mixed: HashSet<ServiceId>,
}

/// Route and organisation of a request.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// Route.
    pub route: Arc<Route>,
    /// Organisation to which the request's API key belongs.
    pub organisation: Option<Arc<Organisation>>,
}

/// Reason why a request was not resolved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unresolved {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the request has no valid one.
    NoKey,
    /// What the configuration says of the route or of the API key cannot be read.
    Closed,
}

impl RouteTable {
    /// Builds the table.
    pub fn new(parts: RouteTableParts) -> Self {
        let objectives = parts.routes.iter().map(|route| route.objective_ms);
        let shortest_objective_ms = objectives.min();
        let mixed = mixed_services(&parts.routes);
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let needs_keys = parts.organisations.is_some();
        let mut keys = HashMap::new();
        for organisation in parts.organisations.into_iter().flatten() {
            let organisation = Arc::new(organisation);
            // An empty key would be that of requests that name none.
            for key in organisation.keys.iter().filter(|key| !key.is_empty()) {
                keys.insert(key.clone(), organisation.clone());
            }
        }
        let services = parts.services.into_iter();
        RouteTable {
            version: parts.version,
            hosts,
            services: services.map(|s| (s.service.clone(), s)).collect(),
            kv_stores: parts.kv_stores,
            keys,
            closed_keys: parts.closed_keys.into_iter().collect(),
            needs_keys,
            limits: parts.limits,
            shortest_objective_ms,
            mixed,
        }
    }

    /// Returns the configuration version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits for requests of callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the shortest latency objective of all routes.
    pub fn shortest_objective_ms(&self) -> Option<DurationMs> {
        self.shortest_objective_ms
    }

    /// Returns a service by its name.
    pub fn service(&self, service: &ServiceId) -> Option<&Service> {
        self.services.get(service)
    }

    /// Returns whether routes with different priorities or latency objectives lead to a service.
    pub fn is_mixed(&self, service: &ServiceId) -> bool {
        self.mixed.contains(service)
    }

    /// Returns the KV stores.
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.kv_stores
    }

    /// Returns the organisations with a quota.
    pub fn limited_organisations(&self) -> HashSet<&OrgId> {
        let organisations = self.keys.values();
        let limited = organisations.filter(|organisation| organisation.quota.is_some());
        limited.map(|organisation| &organisation.org).collect()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Finds the route with the longest matching prefix and the organisation of the API key.
    ///
    /// # Errors
    ///
    /// Returns an error if no route matches, if the route requires an API key and `key` is not valid, or if
    /// the route or the key is closed.
    pub fn resolve(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Resolved, Unresolved> {
        let routes = self.hosts.get(&host.to_ascii_lowercase());
        let route = routes
            .and_then(|routes| routes.iter().find(|r| path.starts_with(&r.prefix)))
            .ok_or(Unresolved::NoRoute)?;
        let is_closed_key = |key: &str| self.closed_keys.contains(key);
        if route.is_closed() || (!route.anonymous && key.is_some_and(is_closed_key)) {
            return Err(Unresolved::Closed);
        }
        let organisation = key.and_then(|key| self.keys.get(key)).cloned();
        if self.needs_keys && !route.anonymous && organisation.is_none() {
            return Err(Unresolved::NoKey);
        }
        Ok(Resolved {
            route: route.clone(),
            organisation,
        })
    }
}

/// Returns the services to which routes with different priorities or latency objectives lead.
fn mixed_services(routes: &[Route]) -> HashSet<ServiceId> {
    let mut aims = HashMap::new();
    let mut mixed = HashSet::new();
    for route in routes {
        let aim = (route.priority, route.objective_ms);
        for destination in &route.destinations {
            if *aims.entry(&destination.service).or_insert(aim) != aim {
                mixed.insert(destination.service.clone());
            }
        }
    }
    mixed
}

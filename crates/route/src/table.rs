//! All routes of one version of the configuration.

use std::collections::HashMap;
use std::sync::Arc;

use dw_base::ConfigVersion;
use dw_base::ServiceId;

use crate::limits::Limits;
use crate::organisation::Organisation;
use crate::route::Route;
use crate::service::KvStore;
use crate::service::Service;

/// What a table is built from.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTableParts {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services that serve requests.
    pub services: Vec<Service>,
    /// Stores of kept KV cache.
    pub kv_stores: Vec<KvStore>,
    /// Organisations; requests need no key if there are none.
    pub organisations: Vec<Organisation>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// All routes of one version of the configuration, indexed for lookups.
#[derive(Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, Service>,
    kv_stores: Vec<KvStore>,
    keys: HashMap<String, Arc<Organisation>>,
    needs_keys: bool,
    limits: Limits,
}

/// Route and organisation of a request.
#[derive(Clone, Debug)]
pub struct Resolved {
    /// Route.
    pub route: Arc<Route>,
    /// Organisation whose key the request carries.
    pub organisation: Option<Arc<Organisation>>,
}

/// Why a request is not forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unresolved {
    /// No route has this host and path.
    NoRoute,
    /// The route needs a key, and the request has none that is known.
    NoKey,
}

impl RouteTable {
    /// Builds the index.
    pub fn new(parts: RouteTableParts) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let needs_keys = !parts.organisations.is_empty();
        let mut keys = HashMap::new();
        for organisation in parts.organisations {
            let organisation = Arc::new(organisation);
            for key in &organisation.keys {
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
            needs_keys,
            limits: parts.limits,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a service that serves requests.
    pub fn service(&self, service: &ServiceId) -> Option<&Service> {
        self.services.get(service)
    }

    /// Returns the stores of kept KV cache.
    pub fn kv_stores(&self) -> &[KvStore] {
        &self.kv_stores
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Finds the route with the longest matching prefix and the organisation of the key.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such route, or if it needs a key and `key` is not known.
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

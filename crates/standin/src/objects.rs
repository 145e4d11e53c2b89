//! Stand-in for the object store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use bytes::Bytes;
use dw_store::Objects;
use dw_store::StoreError;
use http::header::IF_NONE_MATCH;
use http::Method;
use http::Request;
use http::StatusCode;

use crate::platform::store_error_reply;
use crate::platform::Counters;
use crate::platform::FaultInjector;
use crate::platform::PlatformFaults;
use crate::platform::PlatformLimits;
use crate::server::bytes_reply;
use crate::server::error_reply;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse_json;
use crate::server::query_param;
use crate::server::serve;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::ServerHandle;

/// An in-memory object store with fault injection.
#[derive(Debug)]
pub struct MemoryObjects {
    injector: FaultInjector,
    objects: Mutex<BTreeMap<String, Bytes>>,
}

impl Default for MemoryObjects {
    fn default() -> Self {
        Self::new(PlatformLimits::default())
    }
}

impl MemoryObjects {
    /// Creates an empty store.
    pub fn new(limits: PlatformLimits) -> Self {
        MemoryObjects {
            injector: FaultInjector::new("object store", limits),
            objects: Mutex::default(),
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.injector.set_faults(faults);
    }

    /// Returns the call counters.
    pub fn counters(&self) -> Counters {
        self.injector.counters()
    }

    fn objects(&self) -> MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the store has an object, without counting a read.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.objects().contains_key(key)
    }

    async fn put(&self, key: &str, request: &Request<Bytes>) -> Reply {
        let conditional = request
            .headers()
            .get(IF_NONE_MATCH)
            .is_some_and(|value| value.as_bytes() == b"*");
        if !conditional {
            let message = "objects are immutable: send the header If-None-Match: *";
            return error_reply(StatusCode::BAD_REQUEST, "bad_request", message);
        }
        match self.create(key, request.body().clone()).await {
            Ok(true) => bytes_reply(StatusCode::CREATED, Bytes::new()),
            Ok(false) => bytes_reply(StatusCode::PRECONDITION_FAILED, Bytes::new()),
            Err(error) => store_error_reply(&error),
        }
    }

    async fn get_reply(&self, key: &str) -> Reply {
        match self.get(key).await {
            Ok(Some(value)) => bytes_reply(StatusCode::OK, value),
            Ok(None) => bytes_reply(StatusCode::NOT_FOUND, Bytes::new()),
            Err(error) => store_error_reply(&error),
        }
    }

    async fn list_reply(&self, prefix: &str) -> Reply {
        match self.list(prefix).await {
            Ok(keys) => json_reply(StatusCode::OK, &keys),
            Err(error) => store_error_reply(&error),
        }
    }
}

#[async_trait]
impl Objects for MemoryObjects {
    async fn create(&self, key: &str, value: Bytes) -> Result<bool, StoreError> {
        self.injector.admit_write().await?;
        let created = {
            let mut objects = self.objects();
            let absent = !objects.contains_key(key);
            if absent {
                objects.insert(key.to_owned(), value);
            }
            absent
        };
        self.injector.finish_write()?;
        Ok(created)
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, StoreError> {
        self.injector.admit_read().await?;
        Ok(self.objects().get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        self.injector.admit_read().await?;
        Ok(self
            .objects()
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, _)| key.clone())
            .collect())
    }
}

#[async_trait]
impl Handler for MemoryObjects {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path();
        match (request.method(), path, path.strip_prefix("/v1/objects/")) {
            (&Method::PUT, _, Some(key)) => self.put(key, &request).await,
            (&Method::GET, _, Some(key)) => self.get_reply(key).await,
            (&Method::GET, "/v1/objects", None) => {
                self.list_reply(query_param(&request, "prefix").unwrap_or_default())
                    .await
            }
            (&Method::GET, "/v1/counters", None) => json_reply(StatusCode::OK, &self.counters()),
            (&Method::POST, "/faults", None) => match parse_json(&request) {
                Ok(faults) => {
                    self.set_faults(faults);
                    json_reply(StatusCode::OK, &serde_json::json!({}))
                }
                Err(malformed) => malformed.reply(),
            },
            _ => not_found(&request),
        }
    }
}

/// Starts a server for `objects` on `addr`.
pub async fn start_objects(
    addr: SocketAddr,
    objects: Arc<MemoryObjects>,
) -> io::Result<ServerHandle> {
    serve(addr, objects).await
}

//! Stand-in for the weight store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::vms::WeightsInfo;
use http::Method;
use http::Request;
use http::StatusCode;

use crate::platform::store_error_reply;
use crate::platform::Counters;
use crate::platform::FaultInjector;
use crate::platform::PlatformFaults;
use crate::platform::PlatformLimits;
use crate::server::bytes_reply;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse_json;
use crate::server::serve;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::ServerHandle;

/// A simulated weight store with fault injection and a read rate limit; it has every version of
/// every model.
#[derive(Debug)]
pub struct MemoryWeights {
    injector: FaultInjector,
    size_bytes: u64,
}

impl MemoryWeights {
    /// Creates a store in which each weights version has `size_bytes`.
    pub fn new(limits: PlatformLimits, size_bytes: u64) -> Self {
        MemoryWeights {
            injector: FaultInjector::new("weight store", limits),
            size_bytes,
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

    async fn weights(&self, path: &str) -> Reply {
        if let Err(error) = self.injector.admit_read().await {
            return store_error_reply(&error);
        }
        let info = path.rsplit_once('/').and_then(|(model, version)| {
            Some(WeightsInfo {
                model: model.to_owned(),
                size_bytes: self.size_bytes,
                weights_version: version.parse().ok()?,
            })
        });
        match info {
            Some(info) => json_reply(StatusCode::OK, &info),
            None => bytes_reply(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}

#[async_trait]
impl Handler for MemoryWeights {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        let path = request.uri().path();
        match (request.method(), path, path.strip_prefix("/v1/weights/")) {
            (&Method::GET, _, Some(version_path)) => self.weights(version_path).await,
            (&Method::GET, "/v1/counters", _) => json_reply(StatusCode::OK, &self.counters()),
            (&Method::POST, "/faults", _) => match parse_json(&request) {
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

/// Starts a server for `weights` on `addr`.
pub async fn start_weights(
    addr: SocketAddr,
    weights: Arc<MemoryWeights>,
) -> io::Result<ServerHandle> {
    serve(addr, weights).await
}

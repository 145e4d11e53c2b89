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
use crate::platform::Gate;
use crate::platform::PlatformFaults;
use crate::platform::PlatformLimits;
use crate::server::bytes_reply;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse;
use crate::server::serve;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::Running;

/// A weight store that knows every version of every model, with a limited rate of reads.
#[derive(Debug)]
pub struct MemoryWeights {
    gate: Gate,
    size_bytes: u64,
}

impl MemoryWeights {
    /// Creates a store in which all weights have the same size.
    pub fn new(limits: PlatformLimits, size_bytes: u64) -> Self {
        MemoryWeights {
            gate: Gate::new("weight store", limits),
            size_bytes,
        }
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.gate.set_faults(faults);
    }

    /// Returns the calls received so far.
    pub fn counters(&self) -> Counters {
        self.gate.counters()
    }

    async fn weights(&self, path: &str) -> Reply {
        if let Err(error) = self.gate.read().await {
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
            (&Method::GET, _, Some(wanted)) => self.weights(wanted).await,
            (&Method::GET, "/v1/counters", _) => json_reply(StatusCode::OK, &self.counters()),
            (&Method::POST, "/faults", _) => match parse(&request) {
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

/// Starts the weight store on `addr`.
pub async fn start_weights(addr: SocketAddr, weights: Arc<MemoryWeights>) -> io::Result<Running> {
    serve(addr, weights).await
}

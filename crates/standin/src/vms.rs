//! Stand-in for the VM list.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::vms::Vm;
use dw_api::vms::VmList;
use dw_base::Clock;
use dw_base::DurationMs;
use dw_base::SystemClock;
use dw_store::StoreError;
use dw_store::VmSource;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::time::Instant;

use crate::platform::store_error_reply;
use crate::platform::Counters;
use crate::platform::FaultInjector;
use crate::platform::PlatformFaults;
use crate::platform::PlatformLimits;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse_json;
use crate::server::serve;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::ServerHandle;

/// An in-memory VM list with fault injection; changes become visible after a lag.
#[derive(Debug)]
pub struct MemoryVms {
    injector: FaultInjector,
    lag: Duration,
    clock: SystemClock,
    history: Mutex<VecDeque<(Instant, VmList)>>,
}

impl MemoryVms {
    /// Creates an empty list.
    pub fn new(limits: PlatformLimits, lag: DurationMs) -> Self {
        let empty = VmList {
            as_of_ms: 0,
            seq: 0,
            vms: Vec::new(),
        };
        MemoryVms {
            injector: FaultInjector::new("VM list", limits),
            lag: lag.into(),
            clock: SystemClock::new(),
            history: Mutex::new(VecDeque::from([(Instant::now(), empty)])),
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

    /// Replaces the VMs; the change becomes visible after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.update(|_| vms);
    }

    /// Replaces the VMs with the result of `change`; the change becomes visible after the lag.
    pub fn update(&self, change: impl FnOnce(Vec<Vm>) -> Vec<Vm>) {
        let mut history = self.history();
        let (seq, vms) = history
            .back()
            .map(|(_, list)| (list.seq, list.vms.clone()))
            .unwrap_or_default();
        let list = VmList {
            as_of_ms: self.clock.now().0,
            seq: seq + 1,
            vms: change(vms),
        };
        history.push_back((Instant::now() + self.lag, list));
    }

    fn visible_list(&self) -> Option<VmList> {
        let now = Instant::now();
        let mut history = self.history();
        while history.get(1).is_some_and(|(from, _)| *from <= now) {
            history.pop_front();
        }
        history.front().map(|(_, list)| list.clone())
    }

    fn history(&self) -> MutexGuard<'_, VecDeque<(Instant, VmList)>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl VmSource for MemoryVms {
    async fn vms(&self) -> Result<VmList, StoreError> {
        self.injector.admit_read().await?;
        self.visible_list().ok_or(StoreError::Unavailable {
            service: "VM list",
            detail: "no VM list available".to_owned(),
        })
    }
}

#[async_trait]
impl Handler for MemoryVms {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/v1/vms") => match self.vms().await {
                Ok(list) => json_reply(StatusCode::OK, &list),
                Err(error) => store_error_reply(&error),
            },
            (&Method::PUT, "/v1/vms") => match parse_json(&request) {
                Ok(vms) => {
                    self.set_vms(vms);
                    json_reply(StatusCode::OK, &serde_json::json!({}))
                }
                Err(malformed) => malformed.reply(),
            },
            (&Method::GET, "/v1/counters") => json_reply(StatusCode::OK, &self.counters()),
            (&Method::POST, "/faults") => match parse_json(&request) {
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

/// Starts a server for `vms` on `addr`.
pub async fn start_vms(addr: SocketAddr, vms: Arc<MemoryVms>) -> io::Result<ServerHandle> {
    serve(addr, vms).await
}

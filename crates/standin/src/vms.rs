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
use crate::platform::Gate;
use crate::platform::PlatformFaults;
use crate::platform::PlatformLimits;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse;
use crate::server::serve;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::Running;

/// A VM list in memory, which shows each change only after a lag.
#[derive(Debug)]
pub struct MemoryVms {
    gate: Gate,
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
            gate: Gate::new("VM list", limits),
            lag: lag.into(),
            clock: SystemClock::new(),
            history: Mutex::new(VecDeque::from([(Instant::now(), empty)])),
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

    /// Replaces the VMs; readers see the change after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.update(|_| vms);
    }

    /// Replaces the VMs with those that `change` returns; readers see the change after the lag.
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

    fn visible(&self) -> Option<VmList> {
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
        self.gate.read().await?;
        self.visible().ok_or(StoreError::Unavailable {
            service: "VM list",
            detail: "no list yet".to_owned(),
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
            (&Method::PUT, "/v1/vms") => match parse(&request) {
                Ok(vms) => {
                    self.set_vms(vms);
                    json_reply(StatusCode::OK, &serde_json::json!({}))
                }
                Err(malformed) => malformed.reply(),
            },
            (&Method::GET, "/v1/counters") => json_reply(StatusCode::OK, &self.counters()),
            (&Method::POST, "/faults") => match parse(&request) {
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

/// Starts the VM list service for `vms` on `addr`.
pub async fn start_vms(addr: SocketAddr, vms: Arc<MemoryVms>) -> io::Result<Running> {
    serve(addr, vms).await
}

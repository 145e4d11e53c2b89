//! Stand-in for a plain service.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dw_api::service::CallRequest;
use dw_api::service::CallResponse;
use dw_api::service::Execution;
use dw_api::service::Executions;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::server::error_reply;
use crate::server::json_reply;
use crate::server::not_found;
use crate::server::parse_json;
use crate::server::serve;
use crate::server::ConnectionAborted;
use crate::server::Handler;
use crate::server::Reply;
use crate::server::ServerHandle;

/// Settings of a plain service; the execution time is divided by `speedup`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Duration of one execution.
    pub service_ms: f64,
    /// Maximum number of concurrent executions; further calls wait.
    pub max_running: usize,
    /// Factor by which the service runs faster than configured.
    pub speedup: f64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        ServiceSettings {
            service_ms: 30.0,
            max_running: 8,
            speedup: 1.0,
        }
    }
}

impl ServiceSettings {
    /// Returns the key of the first invalid setting, and a remedy.
    pub fn invalid_setting(&self) -> Option<(&'static str, &'static str)> {
        if !(self.service_ms.is_finite() && self.service_ms >= 0.0) {
            return Some(("service_ms", "use a number of at least 0"));
        }
        if !(self.speedup.is_finite() && self.speedup > 0.0) {
            return Some(("speedup", "use a number above 0"));
        }
        (self.max_running == 0).then_some(("max_running", "use at least 1"))
    }
}

/// Fault switches of a plain service; each posted set replaces the previous one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Factor by which executions are slowed down.
    pub slow_factor: f64,
    /// Whether calls are refused with 503 and not executed.
    pub refuse: bool,
    /// Number of upcoming calls that are executed but get no response.
    pub lose_answers: u64,
    /// Number of upcoming calls whose connection is closed without an execution.
    pub cut_before: u64,
    /// One-time: executions in progress are aborted, their connections are closed, and the
    /// incarnation grows.
    pub crash: bool,
}

impl Default for ServiceFaults {
    fn default() -> Self {
        ServiceFaults {
            slow_factor: 1.0,
            refuse: false,
            lose_answers: 0,
            cut_before: 0,
            crash: false,
        }
    }
}

/// A plain service that records every execution.
#[derive(Debug)]
pub struct PlainService {
    settings: ServiceSettings,
    slots: Semaphore,
    started_at: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: ServiceFaults,
    executions: Executions,
    disconnect: CancellationToken,
}

/// How the fault switches require a call to be handled.
enum CallAction {
    Execute { lose_answer: bool },
    Refuse,
    Disconnect,
}

impl PlainService {
    /// Creates a service with an empty execution log.
    pub fn new(settings: ServiceSettings) -> Self {
        PlainService {
            slots: Semaphore::new(settings.max_running),
            settings,
            started_at: Instant::now(),
            state: Mutex::new(State {
                faults: ServiceFaults::default(),
                executions: Executions {
                    executions: Vec::new(),
                    incarnation: 1,
                },
                disconnect: CancellationToken::new(),
            }),
        }
    }

    /// Returns all executions so far, including those before a crash.
    pub fn executions(&self) -> Executions {
        self.state().executions.clone()
    }

    /// Replaces all fault switches and executes the one-time ones.
    pub fn set_faults(&self, mut faults: ServiceFaults) {
        let mut state = self.state();
        if std::mem::take(&mut faults.crash) {
            state.executions.incarnation += 1;
            std::mem::take(&mut state.disconnect).cancel();
        }
        state.faults = faults;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_action(&self) -> CallAction {
        let mut state = self.state();
        if state.faults.refuse {
            return CallAction::Refuse;
        }
        if state.faults.cut_before > 0 {
            state.faults.cut_before -= 1;
            return CallAction::Disconnect;
        }
        let lose_answer = state.faults.lose_answers > 0;
        state.faults.lose_answers -= u64::from(lose_answer);
        CallAction::Execute { lose_answer }
    }

    async fn call(self: &Arc<Self>, call: CallRequest) -> Reply {
        let lose_answer = match self.next_action() {
            CallAction::Refuse => {
                let message = "refused by the `refuse` fault switch; not executed";
                return error_reply(StatusCode::SERVICE_UNAVAILABLE, "overloaded", message);
            }
            CallAction::Disconnect => return Err(ConnectionAborted),
            CallAction::Execute { lose_answer } => lose_answer,
        };
        // As in a real service, an execution continues when the caller's connection is closed.
        let execution = tokio::spawn(Arc::clone(self).execute(call));
        let answer = execution.await.map_err(|_| ConnectionAborted)??;
        if lose_answer {
            return Err(ConnectionAborted);
        }
        json_reply(StatusCode::OK, &answer)
    }

    async fn execute(
        self: Arc<Self>,
        call: CallRequest,
    ) -> Result<CallResponse, ConnectionAborted> {
        let disconnect = self.state().disconnect.clone();
        let work = async {
            let _slot = self.slots.acquire().await.map_err(|_| ConnectionAborted)?;
            let index = self.record_start(&call);
            let slow_factor = self.state().faults.slow_factor;
            let seconds = self.settings.service_ms * slow_factor / 1000.0 / self.settings.speedup;
            sleep(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)).await;
            Ok(index)
        };
        let index = tokio::select! {
            () = disconnect.cancelled() => return Err(ConnectionAborted),
            index = work => index?,
        };
        if let Some(execution) = self.state().executions.executions.get_mut(index) {
            execution.finished = true;
        }
        Ok(CallResponse {
            body: serde_json::json!({
                "service": call.service,
                "execution": index,
                "request": call.body,
            }),
            request_id: call.request_id,
            status: 200,
        })
    }

    /// Records the start of an execution and returns its index.
    fn record_start(&self, call: &CallRequest) -> usize {
        let mut state = self.state();
        state.executions.executions.push(Execution {
            finished: false,
            key: call.key.clone(),
            request_id: call.request_id.clone(),
            service: call.service.clone(),
            started_ms: u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            user: call.user.clone(),
        });
        state.executions.executions.len() - 1
    }
}

#[async_trait]
impl Handler for Arc<PlainService> {
    async fn handle(&self, request: Request<Bytes>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/v1/calls") => match parse_json(&request) {
                Ok(call) => self.call(call).await,
                Err(malformed) => malformed.reply(),
            },
            (&Method::GET, "/v1/executions") => json_reply(StatusCode::OK, &self.executions()),
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

/// Starts a server for `service` on `addr`.
pub async fn start_service(
    addr: SocketAddr,
    service: Arc<PlainService>,
) -> io::Result<ServerHandle> {
    serve(addr, Arc::new(service)).await
}

//! Fault injection, rate limits and call counters of the stand-ins for platform services.

use std::future;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use dw_store::NodeBudget;
use dw_store::StoreError;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::server::error_reply;
use crate::server::ConnectionAborted;
use crate::server::Reply;

/// Kind of outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Each call is refused with 503 and not executed.
    Refuse,
    /// Each connection is closed without a response, and the call is not executed.
    Cut,
    /// Each call hangs without a response and is not executed.
    Hang,
}

/// Fault switches of the table service, object store, VM list and weight store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Current outage.
    pub outage: Outage,
    /// Additional latency of each call.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect but get no response.
    pub lose_answers: u64,
}

/// Call counters of a stand-in.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counters {
    /// Reads executed.
    pub reads: u64,
    /// Writes executed, including those whose preconditions failed.
    pub writes: u64,
    /// Calls refused by the rate limit.
    pub rate_limited: u64,
    /// Calls that failed because of an outage.
    pub outage: u64,
    /// Writes that took effect but got no response.
    pub lost_answers: u64,
}

/// Rate limits of a platform service.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformLimits {
    /// Maximum reads per second.
    pub reads_per_s: f64,
    /// Maximum writes per second.
    pub writes_per_s: f64,
}

impl Default for PlatformLimits {
    /// Returns the rates specified in section 1 of the design page.
    fn default() -> Self {
        PlatformLimits {
            reads_per_s: 2_000.0,
            writes_per_s: 400.0,
        }
    }
}

impl PlatformLimits {
    /// Returns rates that are too high for any test to reach.
    pub fn unlimited() -> Self {
        PlatformLimits {
            reads_per_s: 1e12,
            writes_per_s: 1e12,
        }
    }
}

/// Applies fault switches and rate limits to each call of a platform service, and counts the calls.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    service: &'static str,
    budget: NodeBudget,
    state: Mutex<InjectorState>,
}

#[derive(Debug, Default)]
struct InjectorState {
    faults: PlatformFaults,
    counters: Counters,
}

impl FaultInjector {
    pub(crate) fn new(service: &'static str, limits: PlatformLimits) -> Self {
        FaultInjector {
            service,
            budget: NodeBudget::new(limits.reads_per_s, limits.writes_per_s),
            state: Mutex::default(),
        }
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.state().faults = faults;
    }

    pub(crate) fn counters(&self) -> Counters {
        self.state().counters
    }

    /// Admits a read, or returns the injected or rate-limit error.
    pub(crate) async fn admit_read(&self) -> Result<(), StoreError> {
        self.admit(self.budget.take_read(), false).await?;
        self.state().counters.reads += 1;
        Ok(())
    }

    /// Admits a write, or returns the injected or rate-limit error.
    pub(crate) async fn admit_write(&self) -> Result<(), StoreError> {
        self.admit(self.budget.take_write(), true).await?;
        self.state().counters.writes += 1;
        Ok(())
    }

    /// Returns an error after a write has taken effect if its response is to be lost.
    pub(crate) fn finish_write(&self) -> Result<(), StoreError> {
        let mut state = self.state();
        if state.faults.lose_answers == 0 {
            return Ok(());
        }
        state.faults.lose_answers -= 1;
        state.counters.lost_answers += 1;
        Err(self.unknown_outcome("response lost"))
    }

    async fn admit(&self, within_rate: bool, write: bool) -> Result<(), StoreError> {
        let delay_ms = self.state().faults.delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let outage = self.record_outage();
        match outage {
            Outage::None if within_rate => Ok(()),
            Outage::None => {
                self.state().counters.rate_limited += 1;
                Err(self.unavailable("rate limit of the service exceeded"))
            }
            Outage::Refuse => Err(self.unavailable("outage")),
            Outage::Cut if write => Err(self.unknown_outcome("connection closed")),
            Outage::Cut => Err(self.unavailable("connection closed")),
            Outage::Hang => future::pending().await,
        }
    }

    fn record_outage(&self) -> Outage {
        let mut state = self.state();
        let outage = state.faults.outage;
        state.counters.outage += u64::from(outage != Outage::None);
        outage
    }

    fn unavailable(&self, detail: &str) -> StoreError {
        StoreError::Unavailable {
            service: self.service,
            detail: detail.to_owned(),
        }
    }

    fn unknown_outcome(&self, detail: &str) -> StoreError {
        StoreError::UnknownOutcome {
            service: self.service,
            detail: detail.to_owned(),
        }
    }

    fn state(&self) -> MutexGuard<'_, InjectorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts an error of an in-memory service to its HTTP response.
pub(crate) fn store_error_reply(error: &StoreError) -> Reply {
    match error {
        StoreError::UnknownOutcome { .. } => Err(ConnectionAborted),
        StoreError::Unavailable { .. } => error_reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
            &error.to_string(),
        ),
        StoreError::RateLimited { .. } => error_reply(
            StatusCode::TOO_MANY_REQUESTS,
            "rate_limited",
            &error.to_string(),
        ),
        StoreError::Rejected { .. } => {
            error_reply(StatusCode::BAD_REQUEST, "bad_request", &error.to_string())
        }
    }
}
